package gateway

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/overload"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// Limits of the admission of callers' requests.
const (
	// admissionInterval is the shortest time between two updates of a controller: its figures arrive four times a
	// second.
	admissionInterval = 100 * time.Millisecond
	// admissionMaxAge is the age of other hosts' loads from which a controller gets no updates. The controller
	// itself bounds how long its last plan applies.
	admissionMaxAge = 1200 * time.Millisecond
	// minReturnShare is the part of the route's time by which a caller must allow less than that to count as one that
	// waited for a Retry-After. Callers of one route state times that differ by up to 15%.
	minReturnShare = 0.2
)

// maxRejectionCauses bounds the causes that are counted for a service.
const maxRejectionCauses = 64

// Urgencies of requests at servers; lower values are served first. A request without one is served like urgency 5.
const (
	urgencyFirst, urgencySecond, urgencyOther = 1, 3, 5
	urgencyLateFirst, urgencyLateOther        = 7, 8
)

// urgencyOf returns the urgency with which a request is sent to a server; 0 for none.
func urgencyOf(class, classes int, deferred bool) int {
	switch {
	case deferred && class > 0:
		return urgencyLateOther
	case deferred:
		return urgencyLateFirst
	case classes == 0:
		return 0
	case class == 0:
		return urgencyFirst
	case class == 1:
		return urgencySecond
	}
	return urgencyOther
}

// admissionKey identifies a controller: a service, and the regions whose servers may run a request. Requests that
// may use different regions have different room.
type admissionKey struct{ service, regions string }

// admissionController is implemented by overload.Controller.
type admissionController interface {
	Update(classes []overload.Class, room overload.Room, now time.Time) overload.Plan
	Decide(r overload.Request, now time.Time) overload.Decision
	Refused(class int, now time.Time)
	Served(class int, now time.Time)
}

// admission is the admission of requests under one key.
type admission struct {
	controller admissionController
	classes    []configstate.UrgencyClass
	plan       overload.Plan
	room       overload.Room
	surplus    []float64 // by class
	updatedAt  time.Time
	inReach    bool             // a server was in reach at the last update; otherwise the plan is for no slots
	rejected   map[string]int64 // by class and cause
}

// overloadState is the state of admission of all services. It is guarded by Gateway.mu.
type overloadState struct {
	record     *configstate.Record // of which classes are known
	classes    map[string][]configstate.UrgencyClass
	admissions map[admissionKey]*admission
	// newController makes the controller of an admission.
	newController func(overload.Options) admissionController
}

func newOverloadState() overloadState {
	return overloadState{
		admissions:    map[admissionKey]*admission{},
		newController: func(o overload.Options) admissionController { return overload.New(o) },
	}
}

// classesOf returns the urgency classes of a service in a record; nil if its requests are not ordered. The caller
// holds g.mu.
func (g *Gateway) classesOf(record *configstate.Record, service string) []configstate.UrgencyClass {
	if g.o.OrderOff {
		return nil
	}
	o := &g.overload
	if o.record != record {
		o.record, o.classes = record, map[string][]configstate.UrgencyClass{}
		o.dropOldAdmissions()
	}
	return o.classesOf(service)
}

func (o *overloadState) classesOf(service string) []configstate.UrgencyClass {
	classes, known := o.classes[service]
	if !known {
		classes = o.record.UrgencyClasses(service)
		o.classes[service] = classes
	}
	return classes
}

// dropOldAdmissions drops the admissions of services whose classes are others in the record, or that have none there.
func (o *overloadState) dropOldAdmissions() {
	maps.DeleteFunc(o.admissions, func(key admissionKey, a *admission) bool {
		return !slices.Equal(a.classes, o.classesOf(key.service))
	})
}

// setClass determines the urgency class of a request.
func (g *Gateway) setClass(x *execution) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if x.classes = g.classesOf(x.record, x.service); x.classes == nil {
		return
	}
	priority := 0
	if x.team != nil {
		priority = x.team.Priority
	}
	x.class = configstate.ClassOf(x.classes, priority, x.route.Priority)
}

// waited returns for how long a caller has waited since its first attempt, as far as the time that it still allows
// shows; 0 if it has not waited for a Retry-After.
func (x *execution) waited() time.Duration {
	used := time.Duration(x.route.TimeoutMS)*time.Millisecond - x.r.Wait
	if x.r.Wait <= 0 || used < x.recognizedWait() {
		return 0
	}
	return used
}

// recognizedWait returns the shortest wait for a Retry-After that a caller's stated time shows.
func (x *execution) recognizedWait() time.Duration {
	return max(overload.MinRetryAfter, time.Duration(minReturnShare*float64(x.route.TimeoutMS)*float64(time.Millisecond)))
}

// admissionOf returns the admission of a request, which is new if its classes have changed. The caller holds g.mu.
func (g *Gateway) admissionOf(x *execution) *admission {
	key := admissionKey{x.service, g.permittedRegions(x)}
	a := g.overload.admissions[key]
	if a == nil || !slices.Equal(a.classes, x.classes) {
		a = &admission{classes: x.classes, rejected: map[string]int64{}}
		a.controller = g.overload.newController(overload.Options{
			Random: g.o.Random, Hosts: g.fleet.Neighbors, SurplusOf: func(class int, _ float64) float64 { return a.surplus[class] },
		})
		g.overload.admissions[key] = a
	}
	return a
}

// permittedRegions returns the names of the regions whose servers may run a request, sorted.
func (g *Gateway) permittedRegions(x *execution) string {
	var names []string
	for _, region := range g.o.Regions {
		if x.permits(region) && !slices.Contains(names, region) {
			names = append(names, region)
		}
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// admitByRoom decides whether the room for a caller's request suffices. It returns nil for a request that another
// host forwarded, for attempts after the first, for streams that are taken up, and for services without urgency
// classes.
func (g *Gateway) admitByRoom(x *execution) *failure.Error {
	if x.classes == nil || x.r.Origin != "" || x.sends > 0 || x.takesUpStream() {
		return nil
	}
	now := g.o.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.admissionOf(x)
	inReach := g.fleet.InReach(x.service, x.permits, now)
	g.updateAdmission(x, a, inReach, now)
	if !inReach {
		return nil // the choice of a server waits for one or states why none is usable
	}
	// A request beyond its team's quota, or that no region in reach may run, is no demand for the room.
	g.fleet.RecordClassArrival(x.service, x.class, len(x.classes), x.waited() > 0, now)
	if !g.startup.KnowsServers(now) || !a.inReach {
		return nil // the slots and the arrivals that are known yet are too few for a decision
	}
	d := a.controller.Decide(g.admissionRequest(x, now), now)
	if d.Admit {
		return nil
	}
	g.logRejection(x, a, d, now)
	return notRun(failure.Overloaded, d.RetryAfter, "service %q is short of room for requests of class %d", x.service, x.class)
}

func (g *Gateway) admissionRequest(x *execution, now time.Time) overload.Request {
	r := overload.Request{Class: x.class, Team: x.teamName(), Weight: 1, Waited: x.waited(), Remaining: x.deadline.Sub(now), Recognized: x.recognizedWait()}
	if x.team != nil && x.team.Weight > 0 {
		r.Weight = x.team.Weight
	}
	return r
}

// updateAdmission gives a controller the current figures, unless it had them lately or they are too old.
func (g *Gateway) updateAdmission(x *execution, a *admission, inReach bool, now time.Time) {
	if now.Sub(a.updatedAt) < admissionInterval || g.fleet.LoadsAge(now) > admissionMaxAge {
		return
	}
	engine := x.isEngine()
	a.inReach = inReach
	a.updatedAt, a.room = now, g.fleet.Room(x.service, engine, x.permits, now)
	var classes []overload.Class
	loads := g.fleet.ClassLoads(x.service, engine, len(x.classes), now)
	a.surplus = a.surplus[:0]
	for _, part := range dispatch.WorkParts(loads) {
		a.surplus = append(a.surplus, g.fleet.Surplus(x.service, engine, part, x.permits, now))
	}
	for i, l := range loads {
		c := overload.Class{Priority: i, Target: x.classes[i].Target, SlotTime: l.SlotTime}
		if x.permits(g.o.Region) || !g.runsHere(x, i) {
			c.ArrivalsPerSecond, c.ReturnsPerSecond = l.ArrivalsPerSecond, l.ReturnsPerSecond
		}
		classes = append(classes, c)
	}
	a.plan = a.controller.Update(classes, a.room, now)
}

// runsHere reports whether the own region's servers may run requests of a class. Such a class takes no room that
// other regions lend to requests which may not run in the own one.
func (g *Gateway) runsHere(x *execution, class int) bool {
	return slices.ContainsFunc(x.record.Routes, func(r configstate.Route) bool {
		return r.Priority == x.classes[class].Priority && r.SendsTo(x.service) && r.Permits(g.o.Region)
	})
}

func (x *execution) isEngine() bool {
	s, ok := x.record.RoutedService(x.service)
	return ok && s.Engine != nil
}

// recordAdmissionAnswer tells the controller of a request's class that a server answered it, or rejected it because
// the server was full. An answer to a request with the classes of an earlier configuration is left out.
func (g *Gateway) recordAdmissionAnswer(x *execution, a *Answer) {
	if x.classes == nil {
		return
	}
	now := g.o.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.overload.admissions[admissionKey{x.service, g.permittedRegions(x)}]
	switch {
	case current == nil || !slices.Equal(current.classes, x.classes):
	case a.rejectedAsFull():
		current.controller.Refused(x.class, now)
	case a.Verdict == Ran && !isFailure(a.Status):
		current.controller.Served(x.class, now)
	}
}

// rejectedAsFull reports whether the server did not run the request because it had no room. A server that asks for
// a pause may have another reason.
func (a *Answer) rejectedAsFull() bool {
	return a.Verdict == NotRun && a.Status == http.StatusServiceUnavailable && a.Pause.For <= 0
}

// logRejection counts and logs that a request was rejected before it was sent anywhere.
func (g *Gateway) logRejection(x *execution, a *admission, d overload.Decision, now time.Time) {
	class := fmt.Sprintf("class_%d", x.class)
	if cause := class + " " + d.Reason; a.rejected[cause] > 0 || len(a.rejected) < maxRejectionCauses {
		a.rejected[cause]++
	}
	g.o.Metrics.Add("overload_rejected", 1)
	g.o.Metrics.Add("overload_rejected_"+x.service+"_"+class, 1)
	g.o.Log.Info("request rejected by admission", "request_id", x.r.ID, "route", x.route.Name, "team", x.teamName(), "service", x.service, "class", x.class,
		"cause", d.Reason, "fraction", d.Fraction, "room", a.room.Slots-a.room.Requests, "slots", a.room.Slots, "surplus", a.surplus[x.class], "backlog", max(0, a.room.Requests-a.room.Slots), "demand", a.plan.Demand, "class_room", a.plan.Room,
		"waited_ms", x.waited().Milliseconds(), "remaining_ms", x.deadline.Sub(now).Milliseconds(), "retry_after_ms", d.RetryAfter.Milliseconds(),
		"figures_age_ms", now.Sub(a.updatedAt).Milliseconds(), "view_age_ms", g.fleet.LoadsAge(now).Milliseconds())
}

// AdmissionStatus is the state of the admission of a service's requests that the same regions may run.
type AdmissionStatus struct {
	Service   string           `json:"service"`
	Regions   string           `json:"regions"`   // that may run the requests
	Slots     float64          `json:"slots"`     // usable slots of the region's servers
	Requests  float64          `json:"requests"`  // requests there
	Surplus   float64          `json:"surplus"`   // slots that other regions can lend
	Fractions []float64        `json:"fractions"` // of each class that is admitted, most urgent first
	Rejected  map[string]int64 `json:"rejected"`  // by class and cause
	AgeMS     int64            `json:"age_ms"`    // since the last update
}

// Admission returns the state of admission, by service and regions.
func (g *Gateway) Admission() []AdmissionStatus {
	now := g.o.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	out := []AdmissionStatus{}
	for key, a := range g.overload.admissions {
		if a.updatedAt.IsZero() {
			continue
		}
		s := AdmissionStatus{key.service, key.regions, a.room.Slots, a.room.Requests, a.room.Surplus, slices.Clone(a.plan.Fractions), map[string]int64{}, now.Sub(a.updatedAt).Milliseconds()}
		for cause, n := range a.rejected {
			s.Rejected[cause] = n
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b AdmissionStatus) int {
		return strings.Compare(a.Service+"\x00"+a.Regions, b.Service+"\x00"+b.Regions)
	})
	return out
}
