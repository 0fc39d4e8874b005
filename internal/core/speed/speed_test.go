package speed

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// engine is a simulated engine with a prefill rate in tokens per ms and a fixed time to the
// first event in ms.
type engine struct{ rate, begin float64 }

func (e engine) firstEventMS(read, ahead float64) float64 { return e.begin + (read+ahead)/e.rate }

// TestEstimatesRandomEngines feeds answers of engines of random speed. Every fifth answer is an
// outlier: the engine had cached more than expected, or was delayed. The estimates must come
// within 10% of the engine's speed.
func TestEstimatesRandomEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := engine{rapid.Float64Range(10, 300).Draw(t, "rate"), rapid.Float64Range(5, 200).Draw(t, "begin")}
		est := New(0)
		for i := range 200 {
			read := rapid.Float64Range(minPrefillTokens, 12_000).Draw(t, "read")
			small := rapid.Float64Range(0, maxShortPromptTokens).Draw(t, "small")
			ahead := rapid.Float64Range(0, 0.2).Draw(t, "ahead") * read
			long, short := e.firstEventMS(read, ahead), e.firstEventMS(small, 0)
			if i%5 == 0 {
				factor := rapid.SampledFrom([]float64{0.3, 4}).Draw(t, "factor")
				long, short = long*factor, short*factor
			}
			est.ObserveFirstEvent(Sample{PrefillTokens: read, QueuedAheadTokens: ahead, FirstEventMS: long})
			est.ObserveFirstEvent(Sample{PrefillTokens: small, FirstEventMS: short})
		}
		if off := est.PrefillTokensPerMS()/e.rate - 1; math.Abs(off) > 0.1 {
			t.Errorf("rate %.1f, the engine's is %.1f", est.PrefillTokensPerMS(), e.rate)
		}
		if off := est.BeginMS() - e.begin; math.Abs(off) > 0.1*e.begin+5 {
			t.Errorf("begin %.1f ms, the engine's is %.1f", est.BeginMS(), e.begin)
		}
	})
}

// TestAdaptsToRateChange makes the engines four times slower and then as fast as before, and
// checks the rate each time after sampleWindow long prompts.
func TestAdaptsToRateChange(t *testing.T) {
	est := New(0)
	for _, rate := range []float64{100, 25, 100} {
		e := engine{rate, 30}
		for range sampleWindow {
			est.ObserveFirstEvent(Sample{PrefillTokens: 100, FirstEventMS: e.firstEventMS(100, 0)})
			est.ObserveFirstEvent(Sample{PrefillTokens: 5000, FirstEventMS: e.firstEventMS(5000, 0)})
		}
		if off := est.PrefillTokensPerMS()/rate - 1; math.Abs(off) > 0.1 {
			t.Errorf("rate %.1f, the engines' is %.1f", est.PrefillTokensPerMS(), rate)
		}
	}
}

// TestIgnoresUnusableSamples checks that an answer without a time, a prompt of intermediate size
// and a prompt queued behind others change no estimate.
func TestIgnoresUnusableSamples(t *testing.T) {
	for _, s := range []Sample{{PrefillTokens: 5000}, {PrefillTokens: 700, FirstEventMS: 1}, {PrefillTokens: 5000, QueuedAheadTokens: 4000, FirstEventMS: 1}, {PrefillTokens: 10, QueuedAheadTokens: 900, FirstEventMS: 1}} {
		est := New(0)
		for range sampleWindow {
			est.ObserveFirstEvent(s)
		}
		if est.PrefillTokensPerMS() != New(0).PrefillTokensPerMS() || est.BeginMS() != initialBeginMS {
			t.Errorf("%+v moved the estimates to %.1f tokens/ms, %.1f ms", s, est.PrefillTokensPerMS(), est.BeginMS())
		}
	}
}

// TestPlainServiceAnswerTime checks the estimated answer time of a plain service.
func TestPlainServiceAnswerTime(t *testing.T) {
	est := New(0)
	for range minPromptSamples {
		est.ObserveAnswer(62)
	}
	if est.AnswerMS() != 62 {
		t.Errorf("answer time %.1f ms, want 62", est.AnswerMS())
	}
}

// TestHoldTime checks the estimated slot time: its initial value, its mean, and the bound on the
// effect of one very long answer.
func TestHoldTime(t *testing.T) {
	e := New(0)
	if got := e.HoldMS(); got != initialHoldMS {
		t.Errorf("initial slot time %v ms", got)
	}
	for range 200 {
		e.ObserveHold(2500)
	}
	if got := e.HoldMS(); got < 2400 || got > 2500 {
		t.Errorf("slot time %v ms after answers of 2,500 ms", got)
	}
	e.ObserveHold(1e9)
	if got := e.HoldMS(); got > 2500+maxHoldMS/sampleWindow {
		t.Errorf("slot time %v ms after one very long answer", got)
	}
	e.ObserveHold(-1)
}

// TestOutputTimeIsThatOfSlowAnswers guards against forecasts by the median, which half of the answers exceed.
func TestOutputTimeIsThatOfSlowAnswers(t *testing.T) {
	e := New(0)
	for i := range minPromptSamples - 1 {
		e.ObserveOutput(100, float64(1000+i))
	}
	if got := e.OutputMS(100); got != 0 {
		t.Errorf("%v ms after %d answers, want 0", got, minPromptSamples-1)
	}
	for i := range sampleWindow {
		e.ObserveOutput(100, float64(100*(i+1)))
	}
	if got := e.OutputMS(200); got != 2*2900 {
		t.Errorf("%v ms for 200 tokens, want twice that of the fourth slowest of 32 answers of 100 tokens, 2,900 ms", got)
	}
}
