package overload

import (
	"fmt"
	"testing"
	"time"
)

// Changes in the played load, while demand exceeds the slots by half.
const (
	changeDemand = 1.5
	changeAt     = burstStart + 3*time.Second
)

// shareOf counts decisions and those that admitted.
type shareOf struct{ decided, admitted int }

func (s *shareOf) add(admitted bool) {
	if s.decided++; admitted {
		s.admitted++
	}
}

func (s shareOf) ratio() float64 { return ratio(s.admitted, s.decided) }

// newChange returns a played load with admission in which demand exceeds the slots by half from burstStart on.
func newChange(hosts int) *play {
	return newPlay(scenario{usual: 0.7, burst: changeDemand, hosts: hosts, admission: true})
}

// arriveFromTeam0 starts less urgent requests of team 0, with a demand as a part of the slots, until a time.
func (p *play) arriveFromTeam0(demand float64, until time.Duration) {
	if p.now >= until {
		return
	}
	rate := demand * playEngines * playSlots / playSlot[1].Seconds()
	p.after(time.Duration(p.r.ExpFloat64()/rate*1e9), func() { p.arriveFromTeam0(demand, until) })
	p.attempt(&playRequest{class: 1, first: p.now})
}

// TestHotKey guards against callers of other teams that are rejected since one key has half of the traffic. The others
// need three quarters of the slots.
func TestHotKey(t *testing.T) { checkHotKey(t, 4) }

// TestHotKeyAtManyHosts guards against the same where each host sees few requests of each team.
func TestHotKeyAtManyHosts(t *testing.T) {
	for _, hosts := range []int{80, 300} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) { checkHotKey(t, hosts) })
	}
}

func checkHotKey(t *testing.T, hosts int) {
	var hot shareOf
	p := newPlay(scenario{usual: changeDemand / 2, burst: changeDemand / 2, hosts: hosts, admission: true})
	p.after(burstStart, func() { p.arriveFromTeam0(changeDemand/2, burstEnd) })
	p.decided = func(x *playRequest, admitted bool) {
		if x.team == 0 && p.inBurst() {
			hot.add(admitted)
		}
	}
	r := p.run()
	others := ratio(r.fairRejected, r.fair)
	t.Logf("%d hosts: %.4f of %d requests of other teams rejected, %.3f of %d of the hot key admitted", hosts, others, r.fair, hot.ratio(), hot.decided)
	if others > 0.005 || hot.ratio() > 0.9 {
		t.Errorf("%.4f of the other teams' requests rejected, %.3f of the hot key's admitted", others, hot.ratio())
	}
}

// TestAddedHosts guards against hosts that reject or admit without figures when they are added in an overload, and
// against callers of the present hosts that get less since they are there.
func TestAddedHosts(t *testing.T) {
	for _, hosts := range []int{4, 40} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			play := func(added int) (old, later shareOf, r result) {
				p, known := newChange(hosts), hosts
				for i := range p.hosts {
					p.hosts[i] = New(Options{Random: p.r.Float64, Hosts: func() int { return known }})
				}
				p.after(changeAt, func() {
					for range added {
						p.hosts = append(p.hosts, New(Options{Random: p.r.Float64, Hosts: func() int { return hosts + added }}))
						p.update(len(p.hosts) - 1) // its first view
					}
					p.after(playAge, func() { known += added })
				})
				p.decided = func(x *playRequest, admitted bool) {
					switch {
					case p.now < changeAt || !p.inBurst():
					case x.host < hosts:
						old.add(admitted)
					default:
						later.add(admitted)
					}
				}
				return old, later, p.run()
			}
			before, _, _ := play(0)
			old, added, r := play(hosts)
			inTime, most := sum(changeAt, burstEnd, r.inTime[:]...)/7, sum(3*time.Second, burstStart, r.inTime[:]...)/5
			t.Logf("%d hosts: admitted %.3f without the change, %.3f by the old and %.3f by the added ones; in time per second %.0f, %.0f before the overload", hosts, before.ratio(), old.ratio(), added.ratio(), inTime, most)
			// An added host has counted few requests of each team yet and cuts fewer of them. The excess may be at most
			// the tenth by which answers in time may fall.
			if old.ratio() < before.ratio()-0.02 || added.ratio() < old.ratio()-0.02 || added.ratio() > 1.1*old.ratio() || inTime < 0.9*most {
				t.Errorf("admitted %.3f without the change, %.3f by the old and %.3f by the added hosts; %.0f in time per second, %.0f before", before.ratio(), old.ratio(), added.ratio(), inTime, most)
			}
		})
	}
}

// TestSlowHost guards against callers of a slow host that get neither a response nor a rejection in time, and against
// a slow host that lowers what the others admit.
func TestSlowHost(t *testing.T) {
	for _, hosts := range []int{4, 80} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			play := func(delay time.Duration) (own, others shareOf, late int) {
				p := newChange(hosts)
				p.delay = func(host int) time.Duration {
					if host > 0 || p.now < changeAt || !p.inBurst() {
						return 0
					}
					return delay
				}
				p.decided = func(x *playRequest, admitted bool) {
					switch {
					case p.now < changeAt || !p.inBurst():
					case x.host > 0:
						others.add(admitted)
					default:
						if own.add(admitted); p.now-x.first >= playDeadline[x.class] {
							late++
						}
					}
				}
				p.run()
				return own, others, late
			}
			_, before, _ := play(0)
			own, others, late := play(700 * time.Millisecond)
			t.Logf("%d hosts: admitted %.3f by the others without the change, %.3f with it, %.3f by the slow host; %d late", hosts, before.ratio(), others.ratio(), own.ratio(), late)
			if others.ratio() < before.ratio()-0.02 || late > 0 || own.admitted == 0 {
				t.Errorf("admitted %.3f by the others without the change, %.3f with it, %.3f by the slow host; %d late", before.ratio(), others.ratio(), own.ratio(), late)
			}
		})
	}
}

// TestRevokedKey guards against a share that is still kept for a key two seconds after it was revoked. The others
// alone need more than there is.
func TestRevokedKey(t *testing.T) {
	for _, hosts := range []int{4, 80, 300} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			play := func(extra float64) (later shareOf, revokedAdmitted int) {
				p := newPlay(scenario{usual: 0.7, burst: 1.2, hosts: hosts, admission: true})
				p.revokedAt = changeAt
				if extra > 0 {
					p.after(burstStart, func() { p.arriveFromTeam0(extra, changeAt) })
				}
				p.decided = func(x *playRequest, admitted bool) {
					switch {
					case x.team == 0 && p.now >= changeAt && admitted:
						revokedAdmitted++
					case x.class == 1 && p.now >= changeAt+2*time.Second && p.inBurst():
						later.add(admitted)
					}
				}
				p.run()
				return later, revokedAdmitted
			}
			never, _ := play(0)
			later, revoked := play(0.75)
			t.Logf("%d hosts: %d less urgent requests admitted from 2 s after the revocation, %d if the key was never used", hosts, later.admitted, never.admitted)
			if float64(later.admitted) < 0.9*float64(never.admitted) || revoked > 0 {
				t.Errorf("%d admitted from 2 s after the revocation, %d if the key was never used; %d requests with it admitted", later.admitted, never.admitted, revoked)
			}
		})
	}
}
