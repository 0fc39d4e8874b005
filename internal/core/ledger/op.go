package ledger

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// OpKind is the kind of an operation on a key.
type OpKind int

// Operations.
const (
	OpClaim   OpKind = iota // claim the key for an attempt
	OpFinish                // record the answer of the attempt that holds the claim
	OpRelease               // release the key: the attempt provably did not run
)

// Result is the result of an operation.
type Result int

// Results.
const (
	Pending  Result = iota
	Won             // the operation's value was accepted by a majority
	Taken           // the key is claimed by another attempt; see Op.Value
	Reused          // the key was used for a different request
	TooOld          // the key was issued before the generation's birth, or its retention is over
	Conflict        // finish or release of an attempt that does not hold the claim
)

// Op is one operation by a proposer. Start, Handle and Retry return the messages to
// send.
type Op struct {
	Kind    OpKind
	Key     string
	Attempt string
	Owner   string // host that executes the attempt
	Digest  []byte // identifies the request
	Answer  *pb.LedgerAnswer
	// IssuedMS is when the key was issued; RetentionMS is how long the key is retained.
	IssuedMS    int64
	RetentionMS int64
	NowMS       int64
	// Abandoned reports whether this proposer gave up an attempt before dispatching it,
	// so that its claim may be taken over.
	Abandoned func(attempt string) bool

	Result Result
	Value  *pb.LedgerValue // newest value seen
	Full   bool            // a replica refused because its memory is full

	proposer   string
	members    []string
	ballot     *pb.Ballot
	highest    uint64
	phase      Kind
	votes      map[string]*pb.LedgerMessage
	refused    map[string]Reason
	generation uint64
	next       *pb.LedgerValue
	wins       bool
}

// Start begins the operation. proposer is unique to one run of the process.
func (o *Op) Start(proposer string, members []string) []*pb.LedgerMessage {
	o.proposer, o.members = proposer, members
	return o.Retry()
}

// StartAfterClaim begins the operation directly after a successful claim by the same
// proposer. The claim's accepts also promised the next ballot, so its votes serve
// as this operation's promises and the first phase is skipped.
func (o *Op) StartAfterClaim(claim *Op) []*pb.LedgerMessage {
	o.proposer, o.members, o.highest = claim.proposer, claim.members, claim.highest+1
	o.ballot = nextBallot(claim.ballot)
	o.Value, o.generation = claim.Value, claim.generation
	o.next = o.nextValue(claim.Value, 0)
	if o.Result != Pending {
		return nil
	}
	return o.sendAccepts()
}

// nextBallot returns the ballot that an accept of b promises in addition.
func nextBallot(b *pb.Ballot) *pb.Ballot {
	return &pb.Ballot{Round: b.Round + 1, Proposer: b.Proposer}
}

func (o *Op) sendAccepts() []*pb.LedgerMessage {
	o.phase = Accept
	o.votes = map[string]*pb.LedgerMessage{}
	o.refused = map[string]Reason{}
	return o.broadcast(&pb.LedgerMessage{
		Kind: uint32(Accept), Value: o.next, Generation: o.generation, Accepted: nextBallot(o.ballot),
	})
}

// Retry restarts the operation with a higher ballot.
func (o *Op) Retry() []*pb.LedgerMessage {
	o.highest++
	o.ballot = &pb.Ballot{Round: o.highest, Proposer: o.proposer}
	o.phase = Prepare
	o.votes = map[string]*pb.LedgerMessage{}
	o.refused = map[string]Reason{}
	return o.broadcast(&pb.LedgerMessage{Kind: uint32(Prepare)})
}

// Stuck reports whether the current ballot can no longer reach a majority.
func (o *Op) Stuck() bool {
	return o.Result == Pending && len(o.members)-len(o.refused) < majority(len(o.members))
}

func (o *Op) broadcast(m *pb.LedgerMessage) []*pb.LedgerMessage {
	out := make([]*pb.LedgerMessage, 0, len(o.members))
	for _, id := range o.members {
		out = append(out, &pb.LedgerMessage{
			Kind: m.Kind, Slot: SlotOf(o.Key), From: o.proposer, To: id, Key: o.Key,
			Ballot: o.ballot, Value: m.Value, Generation: m.Generation, Accepted: m.Accepted,
		})
	}
	return out
}

// Handle processes a replica's reply and returns the messages to send next.
func (o *Op) Handle(m *pb.LedgerMessage) []*pb.LedgerMessage {
	if o.Result != Pending || !proto.Equal(m.Ballot, o.ballot) {
		return nil
	}
	expected := Promise
	if o.phase == Accept {
		expected = Accepted
	}
	if Kind(m.Kind) != expected {
		return nil
	}
	if !m.Ok {
		o.refused[m.From] = Reason(m.Reason)
		o.Full = o.Full || Reason(m.Reason) == ReasonFull
		o.highest = max(o.highest, m.Accepted.GetRound())
		return nil
	}
	o.votes[m.From] = m
	votes := consistentVotes(o.votes)
	if len(votes) < majority(len(o.members)) {
		return nil
	}
	if o.phase == Prepare {
		return o.decide(votes)
	}
	if votes[0].Generation == o.generation {
		o.complete()
	}
	return nil
}

// decide computes the next value from a majority's promises.
func (o *Op) decide(votes []*pb.LedgerMessage) []*pb.LedgerMessage {
	var accepted *pb.Ballot
	var current *pb.LedgerValue
	for _, v := range votes {
		if ballotLess(accepted, v.Accepted) {
			accepted, current = v.Accepted, v.Value
		}
	}
	o.Value = current
	o.generation = votes[0].Generation
	next := o.nextValue(current, votes[0].BirthMs)
	if o.Result != Pending {
		return nil
	}
	o.next = next
	return o.sendAccepts()
}

// nextValue returns the value to write, given the current one. It sets Result if
// nothing is to be written.
func (o *Op) nextValue(current *pb.LedgerValue, birthMS int64) *pb.LedgerValue {
	if o.Kind == OpClaim {
		return o.nextClaim(current, birthMS)
	}
	if current.GetAttempt() != o.Attempt {
		o.Result = Conflict
		return nil
	}
	o.wins = true
	if State(current.State) == Done {
		return current
	}
	next := proto.Clone(current).(*pb.LedgerValue)
	next.ExpiresMs = o.NowMS + o.RetentionMS
	next.State = uint32(Released)
	if o.Kind == OpFinish {
		next.State = uint32(Done)
		next.Answer = o.Answer
	}
	return next
}

func (o *Op) nextClaim(current *pb.LedgerValue, birthMS int64) *pb.LedgerValue {
	state := State(current.GetState())
	switch {
	case state == Free && o.IssuedMS < birthMS:
		o.Result = TooOld
		return nil
	case o.IssuedMS+o.RetentionMS < o.NowMS:
		o.Result = TooOld
		return nil
	case (state == Claimed || state == Done) && !bytes.Equal(current.RequestDigest, o.Digest):
		o.Result = Reused
		return nil
	case state == Claimed && (current.Attempt == o.Attempt || o.Abandoned != nil && o.Abandoned(current.Attempt)):
		// The claim of an attempt that this proposer never dispatched.
	case state == Claimed || state == Done:
		o.wins = false
		return current // written back, so that a majority holds the claim
	}
	o.wins = true
	return &pb.LedgerValue{
		State: uint32(Claimed), Owner: o.Owner, Attempt: o.Attempt,
		RequestDigest: o.Digest, ExpiresMs: o.NowMS + o.RetentionMS,
	}
}

func (o *Op) complete() {
	o.Value = o.next
	if o.wins {
		o.Result = Won
		return
	}
	o.Result = Taken
}

// Queries returns the messages that read a key without requesting a promise.
func Queries(key, proposer string, members []string) []*pb.LedgerMessage {
	var out []*pb.LedgerMessage
	for _, id := range members {
		out = append(out, &pb.LedgerMessage{Kind: uint32(Query), Slot: SlotOf(key), From: proposer, To: id, Key: key})
	}
	return out
}
