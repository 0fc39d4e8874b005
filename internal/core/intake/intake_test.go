package intake

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const kib = 1 << 10

var start = time.Unix(1000, 0)

// at returns a time after the start, in ms.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newPool(connections, bodies int64, holders int) *Pool {
	return New(Options{Limits: [Parts]int64{Connections: connections, Unread: 64 * kib, Bodies: bodies}, MaxHolders: holders})
}

// enter opens a connection that begins a request at a time.
func enter(t *testing.T, p *Pool, now time.Time) *Holder {
	t.Helper()
	h, d, _ := p.Enter(kib, now)
	if d != Granted {
		t.Fatalf("no connection: %v", d)
	}
	p.Begin(h, now)
	return h
}

// TestWhichConnectionEnds checks which of several connections ends for a new one.
func TestWhichConnectionEnds(t *testing.T) {
	type state func(p *Pool, h *Holder)
	silent := func(*Pool, *Holder) {}
	begun := func(ms int) state { return func(p *Pool, h *Holder) { p.Begin(h, at(ms)) } }
	received := func(ms int, bytes int64) state {
		return func(p *Pool, h *Holder) { p.Begin(h, at(0)); p.Received(h, bytes, at(ms)) }
	}
	executing := func(p *Pool, h *Holder) { p.Begin(h, at(0)); p.Execute(h, at(1)) }
	kept := func(ms int) state {
		return func(p *Pool, h *Holder) { executing(p, h); p.Finish(h, at(ms)) }
	}
	cases := map[string]struct {
		states []state
		want   int // index of the connection that ends; -1 for none
	}{
		"a silent one, not one that sends":         {[]state{received(900, 64*kib), silent}, 1},
		"a byte is no progress":                    {[]state{begun(500), received(900, 1)}, 1},
		"a kept connection after a silent one":     {[]state{kept(2), silent}, 1},
		"one that has been kept for long":          {[]state{kept(2), begun(900)}, 0},
		"none that executes":                       {[]state{executing, executing}, -1},
		"one that sends, not one that executes":    {[]state{executing, received(900, 64*kib)}, 1},
		"the longest without progress":             {[]state{received(800, 64*kib), received(700, 64*kib)}, 1},
		"one whose answer its caller receives now": {[]state{executing, func(p *Pool, h *Holder) { executing(p, h); p.Close(h, at(990)) }}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPool(int64(len(c.states))*kib, 0, 0)
			var all []*Holder
			for _, s := range c.states {
				h, _, _ := p.Enter(kib, at(0))
				s(p, h)
				all = append(all, h)
			}
			_, d, ends := p.Enter(kib, at(1000))
			if c.want < 0 {
				if d != Refused || len(ends) > 0 {
					t.Errorf("decision %v, %d end", d, len(ends))
				}
				return
			}
			if d != Wait || len(ends) != 1 || ends[0] != all[c.want] {
				t.Fatalf("decision %v, ends %v of %v", d, ends, all)
			}
			if _, d, ends := p.Enter(kib, at(1001)); d != Wait || len(ends) > 0 {
				t.Errorf("before the end of the first: decision %v, %d end", d, len(ends))
			}
			p.Remove(ends[0])
			if _, d, _ := p.Enter(kib, at(1002)); d != Granted {
				t.Errorf("after the end: decision %v", d)
			}
		})
	}
}

// TestStalledBodyGoesFirst checks that a body that has stopped short of its end makes room for a newcomer, and that bodies
// that make progress do not.
func TestStalledBodyGoesFirst(t *testing.T) {
	p := newPool(kib*kib, 100*kib, 0)
	stalled := enter(t, p, at(0))
	if d, _ := p.Grow(stalled, Bodies, 90*kib, at(0)); d != Granted {
		t.Fatal("a body alone is refused")
	}
	newcomer := enter(t, p, at(200))
	if d, _ := p.Grow(newcomer, Bodies, 20*kib, at(200)); d != Refused {
		t.Errorf("after 200 ms: decision %v", d)
	}
	d, ends := p.Grow(newcomer, Bodies, 20*kib, at(300))
	if d != Wait || len(ends) != 1 || ends[0] != stalled {
		t.Fatalf("after 300 ms: decision %v, %d end", d, len(ends))
	}
	if p.Execute(stalled, at(301)) {
		t.Error("an evicted request runs")
	}
	p.Remove(stalled)
	if d, _ := p.Grow(newcomer, Bodies, 20*kib, at(302)); d != Granted {
		t.Errorf("after the end: decision %v", d)
	}
}

// TestPoolOnRandomArrivals checks with drawn arrivals that no budget is exceeded, that no request ends while it executes,
// that a body alone is granted whatever fits, and that a newcomer with a small body is not refused while one has stalled.
func TestPoolOnRandomArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(rapid.Int64Range(4, 64).Draw(t, "connections")*kib, rapid.Int64Range(16, 256).Draw(t, "bodies")*kib, rapid.IntRange(0, 50).Draw(t, "holders"))
		var open []*Holder
		now := at(0)
		remove := func(h *Holder) {
			p.Remove(h)
			for i := range open {
				if open[i] == h {
					open = append(open[:i], open[i+1:]...)
					return
				}
			}
		}
		end := func(list []*Holder) {
			for _, h := range list {
				if h.phase == Executing {
					t.Fatal("a request was evicted while it executed")
				}
				remove(h)
			}
		}
		pick := func() *Holder { return open[rapid.IntRange(0, len(open)-1).Draw(t, "which")] }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			},
			"connect": func(t *rapid.T) {
				h, d, ends := p.Enter(kib, now)
				end(ends)
				if d == Granted {
					p.Begin(h, now)
					open = append(open, h)
				}
			},
			"send": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				h := pick()
				n := rapid.Int64Range(1, 64).Draw(t, "KiB") * kib
				p.Received(h, n, now)
				alone := p.Used(Bodies) == h.held[Bodies]
				fits := p.Used(Bodies)+n <= p.Limit(Bodies)
				d, ends := p.Grow(h, Bodies, n, now)
				if d == Refused && len(ends) > 0 {
					t.Fatal("a refused request has evicted others")
				}
				if alone && fits && d != Granted {
					t.Fatalf("a body alone is not granted: %v", d)
				}
				end(ends)
			},
			"execute": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				p.Execute(pick(), now)
			},
			"answer": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				h := pick()
				p.Shrink(h, Bodies, h.held[Bodies])
				p.Finish(h, now)
			},
			"leave": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				remove(pick())
			},
			"": func(t *rapid.T) {
				var sum [Parts]int64
				for _, h := range open {
					for part := range Parts {
						sum[part] += h.held[part]
					}
				}
				for part := range Parts {
					if sum[part] != p.Used(part) || p.Used(part) > p.Limit(part) || p.Used(part) < 0 {
						t.Fatalf("%s: %d held, %d counted of %d", part.Name(), sum[part], p.Used(part), p.Limit(part))
					}
				}
			},
		})
	})
}

// TestSmallBodyPassesStalledOnes checks with drawn crowds that a small body is granted, or waits for one that ends, while
// any body has stalled.
func TestSmallBodyPassesStalledOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 256 * kib
		p := newPool(kib*kib, limit, 0)
		for range rapid.IntRange(1, 60).Draw(t, "crowd") {
			h, _, _ := p.Enter(kib, at(0))
			p.Begin(h, at(0))
			for range rapid.IntRange(1, 6).Draw(t, "pieces") {
				n := rapid.Int64Range(1, 32).Draw(t, "KiB") * kib
				if d, _ := p.Grow(h, Bodies, n, at(0)); d == Granted {
					p.Received(h, n, at(0))
				}
			}
		}
		h, d, _ := p.Enter(kib, at(1000))
		if d != Granted {
			t.Fatal("no connection")
		}
		p.Begin(h, at(1000))
		for d = Wait; d == Wait; {
			var ends []*Holder
			d, ends = p.Grow(h, Bodies, 8*kib, at(1000))
			for _, e := range ends {
				p.Remove(e)
			}
		}
		if d != Granted {
			t.Fatalf("a body of 8 KiB is refused; %d of %d are held", p.Used(Bodies), int64(limit))
		}
	})
}

// TestUnreadFallsWithConnections checks that what a new connection's socket may hold falls with the number of connections,
// so that the sum stays within its budget.
func TestUnreadFallsWithConnections(t *testing.T) {
	p := newPool(kib*kib, 0, 0)
	last := p.NextUnread(4)
	for range 100 {
		h, _, _ := p.Enter(kib, at(0))
		n := p.NextUnread(4)
		if n > last {
			t.Fatalf("%d after %d", n, last)
		}
		p.ReserveUnread(h, n)
		last = n
	}
	if p.Used(Unread) > p.Limit(Unread) {
		t.Errorf("%d of %d", p.Used(Unread), p.Limit(Unread))
	}
}

func BenchmarkGrowWithoutPressure(b *testing.B) {
	p := newPool(1<<30, 1<<30, 0)
	h, _, _ := p.Enter(kib, at(0))
	p.Begin(h, at(0))
	b.ReportAllocs()
	for b.Loop() {
		p.Grow(h, Bodies, kib, at(1))
		p.Shrink(h, Bodies, kib)
	}
}

func BenchmarkEnterUnderPressure(b *testing.B) {
	p := newPool(2000*kib, 0, 0)
	b.ReportAllocs()
	for b.Loop() {
		_, d, ends := p.Enter(kib, at(1))
		for _, h := range ends {
			p.Remove(h)
		}
		if d == Refused {
			b.Fatal("refused")
		}
	}
}
