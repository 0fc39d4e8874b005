package speed

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// engine is a drawn engine whose answers are observed.
type engine struct{ rate, begin float64 }

func (e engine) first(read, ahead float64) float64 { return e.begin + (read+ahead)/e.rate }

// TestLearnsDrawnEngines feeds answers of engines of any speed, of which each fifth tells
// something else than the engine's speed: more was kept than expected, or the engine was
// held up. The figures must come within a tenth.
func TestLearnsDrawnEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := engine{rapid.Float64Range(10, 300).Draw(t, "rate"), rapid.Float64Range(5, 200).Draw(t, "begin")}
		est := New(0)
		for i := range 200 {
			read := rapid.Float64Range(minReading, 12_000).Draw(t, "read")
			small := rapid.Float64Range(0, maxStarting).Draw(t, "small")
			ahead := rapid.Float64Range(0, 0.2).Draw(t, "ahead") * read
			long, short := e.first(read, ahead), e.first(small, 0)
			if i%5 == 0 {
				odd := rapid.SampledFrom([]float64{0.3, 4}).Draw(t, "odd")
				long, short = long*odd, short*odd
			}
			est.Event(Sample{Read: read, Ahead: ahead, FirstMS: long})
			est.Event(Sample{Read: small, FirstMS: short})
		}
		if off := est.Rate()/e.rate - 1; math.Abs(off) > 0.1 {
			t.Errorf("rate %.1f, the engine's is %.1f", est.Rate(), e.rate)
		}
		if off := est.BeginMS() - e.begin; math.Abs(off) > 0.1*e.begin+5 {
			t.Errorf("begin %.1f ms, the engine's is %.1f", est.BeginMS(), e.begin)
		}
	})
}

// TestFollowsAChange checks that a service whose engines become four times slower is known
// as such after as many long prompts as are kept, and as before after as many again.
func TestFollowsAChange(t *testing.T) {
	est := New(0)
	for _, rate := range []float64{100, 25, 100} {
		e := engine{rate, 30}
		for range kept {
			est.Event(Sample{Read: 100, FirstMS: e.first(100, 0)})
			est.Event(Sample{Read: 5000, FirstMS: e.first(5000, 0)})
		}
		if off := est.Rate()/rate - 1; math.Abs(off) > 0.1 {
			t.Errorf("rate %.1f, the engines' is %.1f", est.Rate(), rate)
		}
	}
}

// TestWhatIsLeftOut checks the answers that tell nothing: no time, a prompt of middling size,
// and one that waited behind others.
func TestWhatIsLeftOut(t *testing.T) {
	for _, s := range []Sample{{Read: 5000}, {Read: 700, FirstMS: 1}, {Read: 5000, Ahead: 4000, FirstMS: 1}, {Read: 10, Ahead: 900, FirstMS: 1}} {
		est := New(0)
		for range kept {
			est.Event(s)
		}
		if est.Rate() != New(0).Rate() || est.BeginMS() != startBegin {
			t.Errorf("%+v moved the figures to %.1f tokens/ms, %.1f ms", s, est.Rate(), est.BeginMS())
		}
	}
}

// TestPlainService learns the time of a plain service's answers.
func TestPlainService(t *testing.T) {
	est := New(0)
	for range enough {
		est.Answer(62)
	}
	if est.AnswerMS() != 62 {
		t.Errorf("%.1f ms", est.AnswerMS())
	}
}

// TestHold follows how long requests keep their slots, from a start value and with one
// answer that took very long.
func TestHold(t *testing.T) {
	e := New(0)
	if got := e.HoldMS(); got != startHold {
		t.Errorf("%v at first", got)
	}
	for range 200 {
		e.End(2500)
	}
	if got := e.HoldMS(); got < 2400 || got > 2500 {
		t.Errorf("%v after answers of 2,500 ms", got)
	}
	e.End(1e9)
	if got := e.HoldMS(); got > 2500+maxHold/kept {
		t.Errorf("%v after one that never ended", got)
	}
	e.End(-1)
}
