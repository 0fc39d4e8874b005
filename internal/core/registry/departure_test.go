package registry

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const beat = 1200 // ms between two announcements

// TestOldMessagesDoNotUndoNewerOnes guards against sound servers that are taken out by a message of an earlier process
// at their address or under their ID, and against servers that left and are used again. Server a has the start 20 and
// announces itself at 0, 1200 and 2400 ms, and as often as stated after the old message at 2500 ms.
func TestOldMessagesDoNotUndoNewerOnes(t *testing.T) {
	other := func(start int64, edit func(s *Server)) func(r *Registry) {
		return func(r *Registry) {
			s := announcement("b", "x", 1, 2500)
			s.Start = start
			if edit != nil {
				edit(&s)
			}
			r.Announce(s, at(2500))
		}
	}
	leave := func(id string, start int64) func(r *Registry) {
		return func(r *Registry) { r.Leave(id, start, at(2500)) }
	}
	both := func(list ...func(r *Registry)) func(r *Registry) {
		return func(r *Registry) {
			for _, f := range list {
				f(r)
			}
		}
	}
	for _, c := range []struct {
		name    string
		start   int64 // of a
		message func(r *Registry)
		inUse   []bool // a, after so many announcements since
		other   bool   // b is in use at the end
	}{
		{"another ID, an earlier start", 20, other(10, nil), []bool{true, true, true}, false},
		{"another ID, an earlier start, passed on", 20, other(10, func(s *Server) { s.Via = "w2" }), []bool{true, true, true}, false},
		{"another ID, no start", 20, other(0, nil), []bool{true, true, true}, false},
		{"another ID, no start, draining", 20, other(0, func(s *Server) { s.Leaving = true }), []bool{true, true, true}, false},
		{"another ID, no start, for another service", 20, other(0, func(s *Server) { s.Service = "shop" }), []bool{true, true, true}, false},
		{"another ID, an earlier start, and its leave", 20, both(other(10, nil), leave("b", 10)), []bool{true, true, true}, false},
		{"another ID, no start, and its leave", 20, both(other(0, nil), leave("b", 0)), []bool{true, true, true}, false},
		{"another ID, a later start by a clock that is ahead", 20, other(30, nil), []bool{false, false, true}, false},
		{"another ID, both without a start", 0, other(0, nil), []bool{false, false, true}, false},
		{"leave without a start", 20, leave("a", 0), []bool{false, false, true}, false},
		{"leave of the first start", 20, leave("a", 10), []bool{true, true, true}, false},
		{"leave, and no start is announced", 0, leave("a", 0), []bool{false, false, true}, false},
		{"the same ID, an earlier start, at another address", 20, func(r *Registry) { r.Announce(started(10, "y", 900, 2500), at(2500)) }, []bool{true, true, true}, false},
		{"the same ID, no start, a higher sequence number", 20, func(r *Registry) { r.Announce(started(0, "x", 900, 2500), at(2500)) }, []bool{true, true, true}, false},
		{"the same ID, no start, draining", 20, func(r *Registry) {
			s := started(0, "x", 900, 2500)
			s.Leaving = true
			r.Announce(s, at(2500))
		}, []bool{true, true, true}, false},
		{"departure that another control host passes on", 20, func(r *Registry) { r.MergeDepartures("a", 20, []uint64{5}, at(2500)) }, []bool{false, false, true}, false},
		{"departure that another control host of an earlier version passes on", 20, func(r *Registry) { r.MergeDepartures("a", 20, nil, at(2500)) }, []bool{false, false, true}, false},
		{"another server took the address and goes on", 20, func(r *Registry) {
			for i := range 6 {
				r.Announce(func() Server { s := announcement("b", "x", uint64(1+i), 2500+i*beat); s.Start = 30; return s }(), at(2500+i*beat))
			}
		}, []bool{false, false, false}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRegistry()
			announce := func(seq uint64, ms int) {
				s := started(c.start, "x", seq, ms)
				r.Announce(s, at(ms))
			}
			for i := range 3 {
				announce(uint64(1+i), i*beat)
			}
			c.message(r)
			for i, want := range c.inUse {
				if i > 0 {
					announce(uint64(3+i), 2400+i*beat)
				}
				s := r.Server("a")
				if inUse := r.Listed(s, "west") && !s.Leaving; inUse != want {
					t.Errorf("in use after %d announcements: %t, want %t", i, inUse, want)
				}
			}
			if b := r.Server("b"); b != nil && r.Listed(b, "west") != c.other {
				t.Errorf("the other server in use: %t, want %t", r.Listed(b, "west"), c.other)
			}
		})
	}
}

// TestLaterServerTakesTheAddress guards against a server that is kept out of its address by the one before it.
func TestLaterServerTakesTheAddress(t *testing.T) {
	for _, c := range []struct {
		name          string
		holder, start int64
		heardMS       int // of the holder, before the first announcement of the other server at 10 s
		after         int // announcements after which the other server must be in use
	}{
		{"a later start", 10, 20, 100, 1},
		{"a start by a clock that is behind", 20, 10, 100, 2},
		{"no start, the holder was just heard", 20, 0, 100, 2},
		{"no start, the holder is silent", 20, 0, 2000, 1},
		{"a start after one that is not known", 0, 20, 100, 1},
		{"neither has a start", 0, 0, 100, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRegistry()
			now := 10_000
			for i := range 3 {
				ms := now - c.heardMS - (2-i)*beat
				r.Announce(started(c.holder, "x", uint64(1+i), ms), at(ms))
			}
			for i := range c.after {
				s := announcement("b", "x", uint64(1+i), now+i*beat)
				s.Start, s.Service = c.start, "shop"
				r.Announce(s, at(now+i*beat))
			}
			if a, b := r.Server("a"), r.Server("b"); r.Listed(a, "west") || !r.Listed(b, "west") {
				t.Errorf("in use: the earlier one %t, the later one %t", r.Listed(a, "west"), r.Listed(b, "west"))
			}
		})
	}
}

// process is a process of a backend server in drawn histories.
type process struct {
	id, addr string
	start    int64
	seq      uint64
	next     int // when it announces itself next, in ms
	host     int // control host that it announces itself to
	alive    bool
	left     bool // it has sent its leave and announces itself no more
}

// delayed is a message that arrives at a time.
type delayed struct {
	ms   int
	what func(ms int)
}

// world is a history of servers and control hosts.
type world struct {
	t     *rapid.T
	hosts []*Registry
	procs []*process
	late  []delayed
	// leftAt holds the processes of which a control host has received the leave.
	leftAt []map[*process]bool
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t}
	for range 3 {
		w.hosts = append(w.hosts, newRegistry())
		w.leftAt = append(w.leftAt, map[*process]bool{})
	}
	return w
}

// at returns the process that runs at an address or under an ID; nil for none.
func (w *world) running(match func(p *process) bool) *process {
	for _, p := range w.procs {
		if p.alive && match(p) {
			return p
		}
	}
	return nil
}

// start starts a process at a free address under a free ID. Its clock may be behind the others'.
func (w *world) start(ms int) {
	id, addr := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.t, "id"), rapid.SampledFrom([]string{"x", "y"}).Draw(w.t, "address")
	if w.running(func(p *process) bool { return p.id == id || p.addr == addr }) != nil {
		return
	}
	w.procs = append(w.procs, &process{id: id, addr: addr, start: int64(1_000_000 + ms), next: ms, host: rapid.IntRange(0, 2).Draw(w.t, "host"), alive: true})
}

// announce sends a process's next announcement. One that is delayed is not acknowledged, and the next one goes to
// another control host.
func (w *world) announce(p *process, ms, delay int) {
	p.seq++
	p.next = ms + beat
	host, seq := p.host, p.seq
	arrive := func(ms int) {
		s := announcement(p.id, p.addr, seq, ms)
		s.Start = p.start
		w.hosts[host].Announce(s, at(ms))
	}
	if delay == 0 {
		arrive(ms)
		return
	}
	p.host = (p.host + 1) % len(w.hosts)
	w.late = append(w.late, delayed{ms + delay, arrive})
}

// leave sends a process's leave, without its start if the process does not name it.
func (w *world) leave(p *process, ms, delay int, named bool) {
	p.left = true
	host := p.host
	arrive := func(ms int) {
		start := int64(0)
		if named {
			start = p.start
		}
		w.hosts[host].Leave(p.id, start, at(ms))
		if s := w.hosts[host].Server(p.id); s.Start == p.start {
			w.leftAt[host][p] = true
		}
	}
	if delay == 0 {
		arrive(ms)
		return
	}
	w.late = append(w.late, delayed{ms + delay, arrive})
}

// exchange passes the state of a control host on to another one.
func (w *world) exchange(from, to, ms int) {
	for _, s := range w.hosts[from].DirectServers("west", at(ms)) {
		if s.Gone {
			w.hosts[to].MergeDepartures(s.ID, s.Start, slices.Clone(s.Departures), at(ms))
			continue
		}
		if !s.AnnouncedHere() {
			continue
		}
		c := Server{
			ID: s.ID, Start: s.Start, Service: s.Service, Address: s.Address, FailureDomain: s.FailureDomain, Sequence: s.Sequence,
			Slots: s.Slots, LastSeen: s.LastSeen, FirstSeen: s.FirstSeen, Via: fmt.Sprint("d", from), Overruled: slices.Clone(s.Overruled), ProvedElsewhere: s.ProvedAt,
		}
		w.hosts[to].Announce(c, at(ms))
	}
	for p := range w.leftAt[from] {
		if s := w.hosts[to].Server(p.id); s != nil && s.Start == p.start && s.Gone {
			w.leftAt[to][p] = true
		}
	}
}

// deliver delivers the messages that are due.
func (w *world) deliver(ms int) {
	w.late = slices.DeleteFunc(w.late, func(d delayed) bool {
		if d.ms > ms {
			return false
		}
		d.what(ms)
		return true
	})
}

// checkLeft checks that no control host lists a process whose leave it has received.
func (w *world) checkLeft(ms int) {
	for i, r := range w.hosts {
		r.Expire(at(ms-100), at(ms))
		for p := range w.leftAt[i] {
			if s := r.Server(p.id); s != nil && s.Start == p.start && r.Listed(s, "west") {
				w.t.Fatalf("at %d ms host %d lists %s of start %d, which has left", ms, i, p.id, p.start)
			}
		}
	}
}

// TestSoundServersAreInUse draws histories of servers that crash, start again under their IDs or at their addresses, and
// leave, whose messages arrive late and in any order at three control hosts. No process is listed once its leave was
// received. When no message is late any more, each process that announces itself is listed everywhere after two
// announcements and the exchanges that follow.
func TestSoundServersAreInUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		delay := func() int {
			if rapid.IntRange(0, 3).Draw(t, "late") > 0 {
				return 0
			}
			return 100 * rapid.IntRange(11, 90).Draw(t, "delay")
		}
		ms := 0
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			ms += 100
			w.deliver(ms)
			for _, p := range w.procs {
				if p.alive && !p.left && p.next <= ms {
					w.announce(p, ms, delay())
				}
			}
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2:
				w.start(ms)
			case 3:
				if p := w.running(func(p *process) bool { return true }); p != nil {
					p.alive = false
				}
			case 4:
				if p := w.running(func(p *process) bool { return !p.left }); p != nil {
					w.leave(p, ms, delay(), rapid.Bool().Draw(t, "named"))
				}
			case 5, 6:
				w.exchange(rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to"), ms)
			}
			w.checkLeft(ms)
		}
		for _, d := range w.late { // all that is late arrives now
			d.what(ms)
		}
		w.late = nil
		for end := ms + 3*beat; ms < end; ms += 100 {
			for _, p := range w.procs {
				if p.alive && !p.left && p.next <= ms {
					w.announce(p, ms, 0)
				}
			}
			if ms%300 == 0 {
				for from := range w.hosts {
					for to := range w.hosts {
						if from != to {
							w.exchange(from, to, ms)
						}
					}
				}
			}
			w.checkLeft(ms)
		}
		for _, p := range w.procs {
			if !p.alive || p.left {
				continue
			}
			for i, r := range w.hosts {
				if s := r.Server(p.id); s == nil || s.Start != p.start || !r.Listed(s, "west") {
					t.Errorf("host %d does not list %s of start %d at %s: %+v", i, p.id, p.start, p.addr, s)
				}
			}
		}
	})
}
