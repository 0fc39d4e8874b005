// Package overload decides, on an entry host, which requests for a service are admitted while the service's servers
// are short of room, and when the callers of the others should retry. It does no I/O and reads no clock.
package overload

import (
	"math"
	"time"
)

// Options configures a Controller.
type Options struct {
	// Random returns a random number in [0, 1).
	Random func() float64
	// Hosts returns the number of entry hosts that share the region's room, this one included.
	Hosts func() int
	// SurplusOf returns how many slots of Room.Surplus regions that are permitted to a class can lend. nil means that
	// all classes may use all of it.
	SurplusOf func(class int, surplus float64) float64
}

// Class is one urgency class of a service's requests in the host's region.
type Class struct {
	Priority          int
	Target            time.Duration // latency target
	ArrivalsPerSecond float64       // first attempts by the region's callers, over all hosts
	ReturnsPerSecond  float64       // the same for retries that waited for their Retry-After
	SlotTime          time.Duration // mean time for which a request holds a slot
}

// Room is the room for a service in the host's region.
type Room struct {
	Slots    float64 // usable slots of the region's servers
	Requests float64 // requests at the region's servers, waiting ones included
	// Surplus is the number of slots that other regions can lend.
	Surplus float64
}

// Request is a request that is to be admitted.
type Request struct {
	Class     int // index in the list of classes
	Team      string
	Weight    float64       // of the team
	Waited    time.Duration // since the caller's first attempt, as far as it is known
	Remaining time.Duration // until the caller's deadline
	// Recognized is the shortest wait that Waited shows, as callers' stated times vary; at least MinRetryAfter applies.
	Recognized time.Duration
}

// Decision is the result of Decide.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // of a rejection
	Reason     string        // of a rejection
	Fraction   float64       // fraction of the class's new requests that is admitted
}

// Reasons of rejections.
const (
	// ReasonReserved means that RetryAfter is the time of a reservation.
	ReasonReserved = "overloaded: retry at the reserved time"
	// ReasonNoPlace means that all places before the caller's latest retry are reserved, or that the request is a retry,
	// for which none is reserved. RetryAfter is that latest time; without current figures it is random.
	ReasonNoPlace = "overloaded: no place left in the caller's time"
	// ReasonNoTime means that the caller's remaining time allows no retry. RetryAfter is 0: no time is to be named.
	ReasonNoTime = "overloaded: too little time left for a retry"
	// ReasonTooLate means that the request cannot be answered in its remaining time. RetryAfter is 0.
	ReasonTooLate = "the remaining time is too short for any answer"
)

// Parameters of decisions.
const (
	// MinRemaining is the remaining time below which no answer is possible: an idle engine takes longer to its first
	// event.
	MinRemaining = 50 * time.Millisecond
	// MinRetryAfter is the shortest time after which a caller is asked to retry, and the shortest wait of a retry that
	// counts as one that waited.
	MinRetryAfter = 300 * time.Millisecond
	// minUpdateInterval is the least time between two plans, since the figures change no faster.
	minUpdateInterval = 100 * time.Millisecond
	// maxStateAge is the age beyond which fractions, reservations and counts are no longer used.
	maxStateAge = 2 * time.Second
)

// Plan is the fractions of each class's requests that are admitted, and the figures that led to them. The slices are by
// class and must not be changed.
type Plan struct {
	Fractions []float64 // of new requests
	Returns   []float64 // of retries that waited for a reservation
	Room      []float64 // slots left by more urgent classes
	Demand    []float64 // slots that the class's arrivals and returns occupy
	Allowed   []float64 // permitted backlog of the class and the less urgent ones, in requests
	Backlog   float64   // requests waiting for a slot
	Part      float64   // permitted wait at servers, as a part of the latency target
}

// Controller holds the admission state of one service on an entry host. It is not safe for concurrent use.
type Controller struct {
	o         Options
	states    []*classState
	plan      Plan
	part      backlogPart
	updatedAt time.Time // of the last plan
	calledAt  time.Time // last call of any method
	epoch     time.Time // reservations are kept as the time since then
	cutAt     time.Time // last reduction by a rejection without current figures
}

// classState is what a Controller keeps for one class.
type classState struct {
	class    Class
	index    int
	shares   shares
	teams    teams
	rate     float64 // reservations of this host per second
	calendar calendar
	credits  [kinds]credit
	own      ownFraction
}

// kind is what a request's waiting time says about its earlier attempts.
type kind int

const (
	fresh    kind = iota // a first attempt, or a retry before MinRetryAfter
	reserved             // a retry at a reserved time
	unplaced             // a retry at the latest time that the caller honours, for which no place was left
	kinds
)

// New returns a Controller that admits all requests until the first update.
func New(o Options) *Controller {
	if o.Random == nil {
		o.Random = func() float64 { return 0.5 }
	}
	if o.Hosts == nil {
		o.Hosts = func() int { return 1 }
	}
	if o.SurplusOf == nil {
		o.SurplusOf = func(_ int, surplus float64) float64 { return surplus }
	}
	return &Controller{o: o, part: newBacklogPart()}
}

// Update computes the plan from the classes, most urgent first, and the room. ArrivalsPerSecond of a class includes
// retries before MinRetryAfter. An update within 100 ms of the last one has no effect.
func (c *Controller) Update(classes []Class, room Room, now time.Time) Plan {
	c.dropOldState(now)
	if len(classes) == len(c.states) && len(classes) > 0 && now.Sub(c.updatedAt) < minUpdateInterval {
		return c.plan
	}
	c.updatedAt = now
	c.setClasses(classes)
	c.plan = c.fill(room, now)
	hosts := math.Max(1, float64(c.o.Hosts()))
	for i, s := range c.states {
		s.rate = reservationRate(c.plan.Room[i], s.class.SlotTime) / hosts
		s.teams.setConstant((clean(s.class.ArrivalsPerSecond) + clean(s.class.ReturnsPerSecond)) / hosts)
		s.teams.setLevel(s.shares, now)
		s.own.set(s.shares.fresh)
	}
	return c.plan
}

// Decide decides on one request.
func (c *Controller) Decide(r Request, now time.Time) Decision {
	c.dropOldState(now)
	if r.Class < 0 || r.Class >= len(c.states) {
		return Decision{Admit: true, Fraction: 1}
	}
	s := c.states[r.Class]
	k := kindOf(r)
	p, fraction := c.chance(s, k, r, now)
	if r.Remaining < MinRemaining {
		return Decision{Reason: ReasonTooLate, Fraction: fraction}
	}
	admitted := s.credits[k].take(p)
	if k == fresh {
		s.teams.settle(fraction, admitted)
	}
	if admitted {
		return Decision{Admit: true, Fraction: fraction}
	}
	after, reason := c.retryAfter(s, r, now)
	return Decision{RetryAfter: after, Reason: reason, Fraction: fraction}
}

// chance returns the fraction of requests like r that is admitted, and the fraction of the class's new requests.
func (c *Controller) chance(s *classState, k kind, r Request, now time.Time) (p, fraction float64) {
	t := s.teams.record(r.Team, r.Weight, k, now)
	if c.stale(now) {
		fraction = s.own.at(now, c.updatedAt.Add(maxStateAge))
		return fraction, fraction
	}
	switch fraction = s.shares.fresh; k {
	case reserved:
		return s.shares.reserved, fraction
	case unplaced:
		return s.shares.unplaced, fraction
	}
	return s.teams.chance(t, fraction, now), fraction
}

// kindOf returns the kind of a request. Reserved times are at most placeLimit of a third of the caller's time, and a
// caller without a place is told the whole third. So the waiting time separates the two at any host, without state,
// except for some of the callers that state less than the usual time.
func kindOf(r Request) kind {
	third := (max(r.Waited, 0) + max(r.Remaining, 0)) / 3
	switch {
	case r.Waited < max(MinRetryAfter, r.Recognized):
		return fresh
	case float64(r.Waited) < (1+placeLimit)/2*float64(third):
		return reserved
	}
	return unplaced
}

// Refused records that a server rejected a request of a class because it was full.
func (c *Controller) Refused(class int, now time.Time) {
	c.dropOldState(now)
	c.part.refused(now)
	if c.stale(now) && now.Sub(c.cutAt) >= minUpdateInterval {
		c.cutAt = now
		c.cutOwn(now)
	}
}

// Served records that a server answered a request of a class.
func (c *Controller) Served(class int, now time.Time) {
	c.dropOldState(now)
	c.part.served(now)
}

// stale reports whether the plan is too old to be used.
func (c *Controller) stale(now time.Time) bool { return now.Sub(c.updatedAt) > maxStateAge }

// setClasses keeps the state of classes whose position and priority are unchanged.
func (c *Controller) setClasses(classes []Class) {
	states := make([]*classState, len(classes))
	for i, class := range classes {
		if i < len(c.states) && c.states[i].class.Priority == class.Priority {
			states[i] = c.states[i]
		} else {
			states[i] = c.newState(i)
		}
		states[i].class = class
	}
	c.states = states
}

func (c *Controller) newState(index int) *classState {
	s := &classState{index: index, teams: newTeams()}
	for k := range s.credits {
		s.credits[k] = credit(math.Min(0.999, clean(c.o.Random())))
	}
	return s
}

// dropOldState drops counts, reservations and the permitted backlog after a time without any call, in which the
// process did not run or the service had no requests.
func (c *Controller) dropOldState(now time.Time) {
	if c.epoch.IsZero() {
		c.epoch = now
	}
	if !c.calledAt.IsZero() && now.Sub(c.calledAt) > maxStateAge {
		c.part = newBacklogPart()
		for _, s := range c.states {
			s.teams, s.calendar = newTeams(), calendar{}
		}
	}
	c.calledAt = now
}

// credit is the sum of the fractions of past requests less the number admitted. It admits the stated fraction with
// less variance than independent draws. Its random first value keeps hosts from admitting at the same time.
type credit float64

// take adds a fraction and reports whether the request is admitted.
func (c *credit) take(fraction float64) bool {
	if fraction <= 0 {
		return false
	}
	*c += credit(math.Min(1, fraction))
	if *c < 1-1e-9 {
		return false
	}
	*c = max(0, *c-1)
	return true
}

// clean returns x as a finite number that is not negative; 0 for NaN.
func clean(x float64) float64 {
	if math.IsNaN(x) || x < 0 {
		return 0
	}
	return math.Min(x, 1e12)
}
