package serverlimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func TestAnswersChangeLimits(t *testing.T) {
	named := func(perSecond float64) Advertisement { return Advertisement{PerSecond: perSecond, Named: true} }
	for name, c := range map[string]struct {
		before    Limit
		answer    Advertisement
		known     uint64
		withdraws bool
		want      Limit
	}{
		"none named":                            {Limit{}, Advertisement{}, 0, true, Limit{}},
		"first named":                           {Limit{}, named(2), 0, true, Limit{1, 2}},
		"named again":                           {Limit{3, 2}, named(2), 3, true, Limit{4, 2}},
		"named again, overtaken":                {Limit{3, 2}, named(2), 1, true, Limit{4, 2}},
		"lowered":                               {Limit{3, 2}, named(1), 1, true, Limit{4, 1}},
		"raised":                                {Limit{3, 2}, named(5), 3, true, Limit{4, 5}},
		"raised by an answer that may be older": {Limit{3, 2}, named(5), 2, true, Limit{3, 2}},
		"withdrawn":                             {Limit{3, 2}, Advertisement{}, 3, true, Limit{3, 0}},
		"not named by an answer that may be older":     {Limit{3, 2}, Advertisement{}, 2, true, Limit{3, 2}},
		"not named by a refusal":                       {Limit{3, 2}, Advertisement{}, 3, false, Limit{3, 2}},
		"named after its withdrawal":                   {Limit{3, 0}, named(7), 3, true, Limit{4, 7}},
		"named by an answer older than the withdrawal": {Limit{3, 0}, named(7), 1, true, Limit{4, 7}},
		"invalid": {Limit{3, 2}, Advertisement{Invalid: "x"}, 3, true, Limit{3, 2}},
		"zero is the lowest rate that is applied":         {Limit{}, named(0), 0, true, Limit{1, MinPerSecond}},
		"lower than the lowest rate that is applied":      {Limit{}, named(0.01), 0, true, Limit{1, MinPerSecond}},
		"zero, while the lowest rate applied is in force": {Limit{1, MinPerSecond}, named(0), 0, true, Limit{2, MinPerSecond}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.before.after(c.answer, c.known, c.withdraws); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestMergeIsAJoin checks that limits may be merged in any order and any number of times.
func TestMergeIsAJoin(t *testing.T) {
	limit := rapid.Custom(func(t *rapid.T) Limit {
		return Limit{uint64(rapid.IntRange(0, 3).Draw(t, "revision")), float64(rapid.IntRange(0, 3).Draw(t, "per_second"))}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := limit.Draw(t, "a"), limit.Draw(t, "b"), limit.Draw(t, "c")
		if Merge(a, b) != Merge(b, a) || Merge(a, Merge(b, c)) != Merge(Merge(a, b), c) || Merge(a, a) != a {
			t.Fatalf("%+v, %+v, %+v", a, b, c)
		}
		if Merge(a, b).Revision < max(a.Revision, b.Revision) {
			t.Fatalf("%+v and %+v merge to a lower revision", a, b)
		}
	})
}

// TestUnchangedLimitIsRenewed checks how often a limit that a server goes on advertising gets a new revision.
func TestUnchangedLimitIsRenewed(t *testing.T) {
	table, renewed := NewTable(), 0
	for at := time.Duration(0); at < 10*renewalInterval; at += renewalInterval / 20 {
		before := table.Get(7).Revision
		if table.Observe(7, Advertisement{PerSecond: 2, Named: true}, before, true, start.Add(at)) != (at == 0) {
			t.Errorf("after %s: the rate did not change as expected", at)
		}
		if table.Get(7).Revision != before {
			renewed++
		}
	}
	if renewed != 10 {
		t.Errorf("%d revisions in 10 renewal intervals", renewed)
	}
}

func TestLimitsOfUnknownProcessesExpire(t *testing.T) {
	table := NewTable()
	for _, key := range []uint32{1, 2} {
		table.Observe(key, Advertisement{PerSecond: 2, Named: true}, 0, true, start)
	}
	known := func(key uint32) bool { return key == 1 }
	table.Expire(known, start.Add(retention))
	if !table.Get(2).InForce() {
		t.Error("the limit of a process that is not known yet was dropped")
	}
	table.Expire(known, start.Add(retention+time.Second))
	if !table.Get(1).InForce() || table.Get(2).InForce() {
		t.Errorf("limits %+v, %+v", table.Get(1), table.Get(2))
	}
}
