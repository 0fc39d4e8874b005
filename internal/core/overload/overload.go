// Package overload decides, on an entry host, which requests for a service are admitted while the service's servers
// are short of room, and when the callers of the others should retry. It does no I/O and reads no clock.
package overload

import "time"

// Options configures a Controller.
type Options struct {
	// Random returns a random number in [0, 1).
	Random func() float64
	// Hosts returns the number of entry hosts that share the region's room, this one included.
	Hosts func() int
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
}

// Decision is the result of Decide.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // of a rejection
	Reason     string        // of a rejection
	Fraction   float64       // fraction of the class's new requests that is admitted
}

// Plan is the fractions of each class's requests that are admitted.
type Plan struct {
	Fractions []float64 // by class
}

// Controller holds the admission state of one service on an entry host. It is not safe for concurrent use.
type Controller struct{ o Options }

// New returns a Controller that admits all requests until the first update.
func New(o Options) *Controller { return &Controller{o} }

// Update computes the plan from the classes, most urgent first, and the room.
func (c *Controller) Update(classes []Class, room Room, now time.Time) Plan { return Plan{} }

// Decide decides on one request.
func (c *Controller) Decide(r Request, now time.Time) Decision {
	return Decision{Admit: true, Fraction: 1}
}

// Refused records that a server rejected a request of a class because it was full.
func (c *Controller) Refused(class int, now time.Time) {}

// Served records that a server answered a request of a class.
func (c *Controller) Served(class int, now time.Time) {}
