package dispatch

import (
	"fmt"
	"math"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/overload"
)

// A service whose configuration allows it serves requests in order of urgency: servers start a waiting request of a
// more urgent class before those of less urgent ones. Loads of other hosts do not state the class of requests, so
// they are split by the classes' shares of the work that arrives in the region.

// slotTimeWindow is the number of newest requests over which the mean slot time of a class is taken: a host of many
// completes that many within seconds, and the mean then varies by less than a tenth from chance.
const slotTimeWindow = 32

// classWork is what this host knows of the requests of one urgency class of a service.
type classWork struct {
	arrivalsKey, returnsKey string // of Fleet.arrivals
	slotMS                  float64
	samples                 int
}

func (w *classWork) addSlotTime(ms float64) {
	w.samples = min(w.samples+1, slotTimeWindow)
	w.slotMS += (ms - w.slotMS) / float64(w.samples)
}

// classKey returns the key in Fleet.arrivals of the requests of a class.
func classKey(service string, class int, waited bool) string {
	kind := "first"
	if waited {
		kind = "waited"
	}
	return fmt.Sprintf("%s\x00%d\x00%s", service, class, kind)
}

// workOf returns the work of the first n classes of a service.
func (f *Fleet) workOf(service string, n int) []*classWork {
	list := f.classes[service]
	for i := len(list); i < n; i++ {
		list = append(list, &classWork{arrivalsKey: classKey(service, i, false), returnsKey: classKey(service, i, true)})
		f.classes[service] = list
	}
	return list[:n]
}

// RecordClassArrival records that a caller sent this host a request of one of a service's n urgency classes. waited
// is set if the caller has waited for a Retry-After before.
func (f *Fleet) RecordClassArrival(service string, class, n int, waited bool, now time.Time) {
	w := f.workOf(service, n)[class]
	if waited {
		f.RecordArrival(w.returnsKey, now)
		return
	}
	f.RecordArrival(w.arrivalsKey, now)
}

// ClassLoad is the requests of one urgency class that callers of the region send.
type ClassLoad struct {
	ArrivalsPerSecond float64 // first attempts, over all hosts
	ReturnsPerSecond  float64 // retries that waited for their Retry-After
	SlotTime          time.Duration
}

// WorkParts returns for each class the part of the work of all classes that it and the more urgent ones are; 1 if
// nothing is known.
func WorkParts(loads []ClassLoad) []float64 {
	out := make([]float64, len(loads))
	sum := 0.0
	for i, l := range loads {
		sum += (l.ArrivalsPerSecond + l.ReturnsPerSecond) * l.SlotTime.Seconds()
		out[i] = sum
	}
	for i := range out {
		if sum > 0 {
			out[i] /= sum
		} else {
			out[i] = 1
		}
	}
	return out
}

// ClassLoads returns the loads of a service's n urgency classes, most urgent first. SlotTime is that of this host's
// own requests, or the service's mean until one has ended.
func (f *Fleet) ClassLoads(service string, engine bool, n int, now time.Time) []ClassLoad {
	out := make([]ClassLoad, n)
	for i, w := range f.workOf(service, n) {
		slotMS := w.slotMS
		if w.samples == 0 {
			slotMS = 1000 / f.requestsPerSlot(service, engine)
		}
		out[i] = ClassLoad{f.arrivalsOf(w.arrivalsKey, now).perSecond(now), f.arrivalsOf(w.returnsKey, now).perSecond(now), time.Duration(slotMS * float64(time.Millisecond))}
	}
	return out
}

// arrivalsOf returns the arrivals under a key. It adds an empty entry for a missing one, so that the next view brings
// the arrivals at other hosts, and keeps it while it is read, though no caller of this host sends such requests.
func (f *Fleet) arrivalsOf(key string, now time.Time) *arrivals {
	a := f.arrivals[key]
	if a == nil {
		a = &arrivals{at: now}
		f.arrivals[key] = a
	}
	a.count, a.at = a.decayed(now), now
	return a
}

// recordSlotTime records how long a request held a slot. The wait for the slot does not count: of the time to the
// first byte, at most the expected prefill at a server of this speed does.
func (f *Fleet) recordSlotTime(c *Choice, first time.Duration, now time.Time) {
	j := c.job
	if j.Classes == 0 {
		return
	}
	e := f.speedOf(j.Service)
	firstMS := e.AnswerMS()
	if j.Engine {
		firstMS = e.BeginMS() + (c.tokensAhead+c.UncoveredTokens)/e.PrefillTokensPerMS()
	}
	firstMS *= f.steadyFactor(c.Server)
	first = max(first, 0)
	held := now.Sub(c.startedAt) - first + min(first, time.Duration(firstMS*float64(time.Millisecond)))
	f.workOf(j.Service, j.Classes)[j.Class].addSlotTime(float64(held) / float64(time.Millisecond))
}

// updateUrgencyShare sets the job's notLessUrgent, by arrivals times slot time; 1 if nothing is known.
func (f *Fleet) updateUrgencyShare(j *Job, now time.Time) {
	if j.notLessUrgent = 1; j.leastUrgent() {
		return
	}
	j.notLessUrgent = WorkParts(f.ClassLoads(j.Service, j.Engine, j.Classes, now))[j.Class]
}

// leastUrgent reports whether no request of the service is less urgent than the job's.
func (j *Job) leastUrgent() bool { return j.Class >= j.Classes-1 }

// orderByUrgency reduces an engine's state for a job to the work that it has to wait for: running requests, and the
// waiting ones that are not less urgent. ahead is the number of requests there that are not less urgent.
func (e *engineState) orderByUrgency(ahead float64) {
	if e.requests <= e.slots {
		return
	}
	e.overtakes = e.waitingAhead() - math.Max(math.Min(1, e.waitingAhead()), ahead+1-e.slots)
	// Prefill that is pending and KV cache are taken to be spread evenly over the requests. This overestimates the
	// prefill ahead of the job, as running requests have little of it pending.
	part := (e.requests - e.overtakes) / e.requests
	e.pendingMS *= part
	e.memory *= part
}

// waitingAhead returns the number of requests that must end before a new one gets a slot if it is served last.
func (e *engineState) waitingAhead() float64 { return math.Max(0, e.requests+1-e.slots) }

// requestsNotLessUrgent returns the estimated number of requests at a server, deferred ones left out, that are not
// less urgent than a job.
func (f *Fleet) requestsNotLessUrgent(s *Server, j *Job, now time.Time) float64 {
	others := f.requestsAt(s, now) - float64(s.own.requests)
	n := j.notLessUrgent * others
	for class, own := range s.ownByClass {
		if class <= j.Class {
			n += float64(own)
		}
	}
	return n
}

// urgencyAtServer takes the order of urgency at a server into account.
func (f *Fleet) urgencyAtServer(e engineState, s *Server, j *Job, now time.Time) engineState {
	if !j.leastUrgent() {
		e.orderByUrgency(f.requestsNotLessUrgent(s, j, now))
	}
	return e
}

// urgencyInRegion takes the order of urgency at an average server of another region into account. The classes'
// shares there are assumed to be those of the own region.
func urgencyInRegion(e engineState, j *Job) engineState {
	if !j.leastUrgent() {
		e.orderByUrgency(j.notLessUrgent * e.requests)
	}
	return e
}

// deferredAhead returns the number of requests behind which a deferred request waits besides those that its estimate
// counts: the deferred ones, and the less urgent ones that are not deferred. A deferred request of the most urgent
// class goes before the deferred ones of the others.
func (f *Fleet) deferredAhead(s *Server, j *Job, now time.Time) float64 {
	factor := f.unreportedFactor(j.Service, now)
	deferred := float64(s.deferred) + factor*float64(s.othersDeferred)
	if j.leastUrgent() || !j.Engine {
		return deferred
	}
	if j.Class == 0 {
		deferred *= j.notLessUrgent
	}
	e := engineState{requests: f.requestsAt(s, now), slots: float64(max(1, s.Slots))}
	e.orderByUrgency(f.requestsNotLessUrgent(s, j, now))
	return deferred + e.overtakes
}

// countClass adds n to the server's count of this host's requests of the job's class that are not deferred.
func (s *Server) countClass(j *Job, n int) {
	if j.Classes == 0 {
		return
	}
	for len(s.ownByClass) < j.Classes {
		s.ownByClass = append(s.ownByClass, 0)
	}
	s.ownByClass[j.Class] = max(0, s.ownByClass[j.Class]+n)
}

// lendable is the fraction of another region's slots up to which requests are sent there: its own load varies, and
// its figures are 0.4 s old.
const lendable = 0.9

// Room returns the free capacity of a service's servers for requests that the regions for which permits holds may
// run.
func (f *Fleet) Room(service string, engine bool, permits func(region string) bool, now time.Time) overload.Room {
	r := overload.Room{Surplus: f.Surplus(service, engine, 1, permits, now)}
	if !permits(f.o.Region) {
		return r
	}
	perSlot, factor := f.requestsPerSlot(service, engine), f.unreportedFactor(service, now)
	for _, s := range f.warmServers(service, now) {
		r.Slots += f.slowStartSlots(s, f.limitedSlots(s, perSlot/f.steadyFactor(s)), now)
		r.Requests += f.requestsAt(s, now) + float64(s.deferred) + factor*float64(s.othersDeferred)
	}
	return r
}

// InReach reports whether a server is known, in a region for which permits holds, that may be sent requests of the
// service, whether it has free capacity or not.
func (f *Fleet) InReach(service string, permits func(region string) bool, now time.Time) bool {
	for key, r := range f.regions {
		if key.service == service && permits(key.region) && r.servers+r.limitedServers > 0 && now.Sub(r.asOf) <= maxRegionAge {
			return true
		}
	}
	if !permits(f.o.Region) {
		return false
	}
	for _, s := range f.servers { // not warmServers, which sorts: this is called for each request
		if s.Service == service && f.isWarm(s, now) {
			return true
		}
	}
	return false
}

// Surplus returns this region's part of the slots that other regions can lend to requests of a class. part is the part
// of their requests that is not less urgent: those of the less urgent ones, which wait behind the class, are taken to
// be free. Without it a region whose own servers are lost rejects urgent requests while others run less urgent ones.
// Regions without a surplus of their own are assumed to draw on it equally.
func (f *Fleet) Surplus(service string, engine bool, part float64, permits func(region string) bool, now time.Time) float64 {
	sum, drawing := 0.0, 1.0
	for key, r := range f.regions {
		if key.service != service || now.Sub(r.asOf) > maxRegionAge {
			continue
		}
		_, slots := r.capacity(f.requestsPerSlot(service, engine))
		spare := slots*lendable - part*r.requests - float64(r.forwarded.requests)
		switch {
		case spare <= 0:
			drawing++
		case permits(key.region):
			sum += spare
		}
	}
	return sum / drawing
}
