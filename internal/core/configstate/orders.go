package configstate

import (
	"encoding/hex"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// SubjectOfEngineOrders is the subject of all orders to engines: their log entries do not name the engine.
const SubjectOfEngineOrders = "engines"

// Subject returns what an operator's command concerns. Of two commands with one subject, the later one supersedes the
// earlier. It is "" for a command that is ordered in another way: a configuration by its version, a table of issuers'
// shares by its revision.
func Subject(c *pb.Command) string {
	switch {
	case c.Evacuate != "":
		return "evacuation of " + c.Evacuate
	case c.Restore != "":
		return "evacuation of " + c.Restore
	case c.Quarantine != nil:
		return "quarantine of " + hex.EncodeToString(c.Quarantine.Fingerprint)
	case c.Lift != nil:
		return "quarantine of " + hex.EncodeToString(c.Lift.Fingerprint)
	case c.OrderCounter > 0:
		return SubjectOfEngineOrders
	}
	return ""
}

// maxOrderSubjects bounds the subjects of an OrderIndex.
const maxOrderSubjects = 4096

// OrderIndex records at which log index the last command on each subject stands. It is derived from the log and not
// replicated. After a restart from a snapshot the index of a subject is not known: it is taken to be that of the
// snapshot, which is not less.
type OrderIndex struct {
	floor uint64 // lower bound of the indexes that Last returns
	last  map[string]uint64
}

// NewOrderIndex returns the index after a snapshot of the log up to an index.
func NewOrderIndex(snapshot uint64) *OrderIndex {
	return &OrderIndex{floor: snapshot, last: map[string]uint64{}}
}

// Record adds a committed command. Commands must be added in the order of the log.
func (o *OrderIndex) Record(index uint64, c *pb.Command) {
	subject := Subject(c)
	if subject == "" {
		return
	}
	if len(o.last) >= maxOrderSubjects {
		o.floor = index - 1
		clear(o.last)
	}
	o.last[subject] = index
}

// Last returns the log index of the last command on a subject, or a higher one if it is not known.
func (o *OrderIndex) Last(subject string) uint64 { return max(o.floor, o.last[subject]) }

// LoggedCommand is a command at its place in the log.
type LoggedCommand struct {
	Index   uint64
	Command *pb.Command
}

// Superseded reports whether an order may be followed in the log already: it returns the index of the last command on the
// order's subject, and whether that is after the index up to which the order's receiver had applied the log. unapplied are
// the commands of a leader's log that are not recorded yet, oldest first.
func (o *OrderIndex) Superseded(subject string, applied uint64, unapplied []LoggedCommand) (last uint64, superseded bool) {
	last = o.Last(subject)
	for _, c := range unapplied {
		if Subject(c.Command) == subject {
			last = c.Index
		}
	}
	return last, last > applied
}
