package serverpause

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func seconds(s float64) Demand { return Demand{For: time.Duration(s * float64(time.Second))} }

func TestAnswersBeginPauses(t *testing.T) {
	type answer struct {
		ms int
		d  Demand
	}
	for name, c := range map[string]struct {
		answers []answer
		until   int // end of the pause, in ms
		repeats int
	}{
		"no demand":                                   {[]answer{{0, Demand{}}}, -1, 0},
		"invalid":                                     {[]answer{{0, Demand{Invalid: "x"}}}, -1, 0},
		"a fraction":                                  {[]answer{{0, seconds(0.25)}}, 250, 0},
		"negative":                                    {[]answer{{0, seconds(-1)}}, -1, 0},
		"longer than the bound":                       {[]answer{{0, Demand{For: 30 * MaxPause}}}, int(MaxPause.Milliseconds()), 0},
		"a later answer with a later end":             {[]answer{{0, seconds(3)}, {1000, seconds(3)}}, 4000, 0},
		"a later answer with an earlier end":          {[]answer{{0, seconds(3)}, {1000, seconds(1)}}, 3000, 0},
		"a later answer without a demand":             {[]answer{{0, seconds(3)}, {1000, Demand{}}}, 3000, 0},
		"a later answer that cannot be decoded":       {[]answer{{0, seconds(3)}, {1000, Demand{Invalid: "x"}}}, 3000, 0},
		"asked again soon after the end":              {[]answer{{0, seconds(3)}, {4000, seconds(1)}, {6000, seconds(1)}}, 7000, 2},
		"asked again long after the end":              {[]answer{{0, seconds(3)}, {13100, seconds(1)}}, 14100, 0},
		"asked again within the pause is no repetion": {[]answer{{0, seconds(3)}, {100, seconds(3)}, {200, seconds(3)}}, 3200, 0},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			for _, a := range c.answers {
				table.Record(1, a.d, 0, at(a.ms))
			}
			p := table.Get(1)
			want := at(c.until)
			if c.until < 0 {
				want = time.Time{}
			}
			if !p.Until.Equal(want) || p.Repeats != c.repeats {
				t.Errorf("ends at %v after %d repeats, want %v after %d", p.Until, p.Repeats, want, c.repeats)
			}
		})
	}
}

func TestShareRisesAfterThePause(t *testing.T) {
	table := NewTable()
	if share := table.Get(1).Share(start); share != 1 {
		t.Errorf("share %g of a server that never asked", share)
	}
	table.Record(1, seconds(3), 0, start)
	for ms, want := range map[int]float64{0: 0, 2999: 0, 3000: 0, 3750: 0.5, 4500: 1, 60_000: 1} {
		if got := table.Get(1).Share(at(ms)); got != want {
			t.Errorf("share %g at %d ms, want %g", got, ms, want)
		}
	}
}

// TestPauseEndsOnlyWithAProvenProcess guards against a new process that answered under its predecessor's ID
// and is not known to have asked.
func TestPauseEndsOnlyWithAProvenProcess(t *testing.T) {
	for name, c := range map[string]struct {
		ask        Demand
		heardAfter int // the old process is known to have run after that, in ms
		until      int // end of the new one's pause, in ms; -1 for none
	}{
		"the old process was heard of after it asked":      {seconds(3), 1, -1},
		"the old process was heard of before it asked":     {seconds(3), -1, 3000},
		"a long pause that the new one may not have asked": {seconds(600), -1, int(maxUnprovenPause.Milliseconds())},
		"no pause": {Demand{}, -1, -1},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			table.Record(1, c.ask, 0, start)
			table.Succeed(1, 2, at(c.heardAfter), at(500))
			want := time.Time{}
			if c.until >= 0 {
				want = at(c.until)
			}
			if got := table.Get(2).Until; !got.Equal(want) {
				t.Errorf("the new process pauses until %v, want %v", got, want)
			}
		})
	}
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for key := range uint32(maxEntries + 100) {
		table.Record(key, Demand{For: time.Duration(key+1) * time.Second}, 0, start)
	}
	if table.Len() != maxEntries || table.Get(99).Left(start) != 0 || table.Get(100).Left(start) == 0 {
		t.Errorf("%d entries; the first to end that is kept is not key 100", table.Len())
	}
	table.Expire(start.Add(MaxPause + repeatWindow + time.Second))
	if table.Len() != 0 {
		t.Errorf("%d entries after all have ended", table.Len())
	}
}

// TestNothingShortensAPause plays random answers, moves between keys, expiries and steps of time, and checks
// that no pause ends before the time that a server asked for.
func TestNothingShortensAPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now, key := NewTable(), start, uint32(1)
		var until time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				d := Demand{For: time.Duration(rapid.Int64Range(-1000, 20_000).Draw(t, "ask_ms")) * time.Millisecond}
				table.Record(key, d, rapid.Float64Range(0, 0.999).Draw(t, "random"), now)
				if end := now.Add(d.For); d.For > 0 && end.After(until) {
					until = end
				}
			case 1:
				table.Record(key, Demand{Invalid: "x"}, 0, now)
			case 2:
				table.Rekey(key, key+1)
				key++
			case 3:
				table.Expire(now)
			case 4:
				now = now.Add(time.Duration(rapid.Int64Range(0, 4000).Draw(t, "advance_ms")) * time.Millisecond)
			}
			p := table.Get(key)
			if now.Before(until) && (p.Left(now) < until.Sub(now) || p.Share(now) > 0) {
				t.Fatalf("%s left at %v, asked until %v", p.Left(now), now, until)
			}
			if late := p.Left(now) - max(0, until.Sub(now)); late > maxSpread {
				t.Fatalf("the pause ends %s late", late)
			}
		}
	})
}
