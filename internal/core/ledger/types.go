package ledger

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Slots is the number of partitions of the keys.
const Slots = 64

// Kind is the kind of a LedgerMessage.
type Kind uint32

// Message kinds. Each request kind is followed by its reply.
const (
	Prepare Kind = iota + 1
	Promise
	Accept
	Accepted
	Query
	QueryReply
	RecoveryQuery
	RecoveryStatus
	Join
	JoinState
	FormPrepare
	FormPromise
	Formed
)

// State is the state of a key.
type State uint32

// States of a key.
const (
	Free State = iota
	Claimed
	Done
	Released
)

// Reason is why a replica refused a request.
type Reason uint32

// Reasons of a refusal.
const (
	ReasonBallot     Reason = iota + 1 // a higher ballot was promised
	ReasonRecovering                   // the replica is recovering and does not vote
	ReasonFull                         // no memory for a new key
	ReasonGeneration                   // the accept belongs to another generation
)

// SlotOf returns the partition of a key.
func SlotOf(key string) uint32 { return uint32(xxhash.Sum64String(key) % Slots) }

// Member is a host that may hold replicas.
type Member struct {
	ID            string
	FailureDomain string
}

// ReplicaSet returns the sorted IDs of the members that hold a partition. They are
// chosen by rendezvous hashing and spread over the failure domains as evenly as
// possible.
func ReplicaSet(members []Member, slot uint32, replicas int) []string {
	ranked := append([]Member(nil), members...)
	score := func(m Member) uint64 {
		return xxhash.Sum64String(m.ID + "\x00" + string(rune(slot+1)))
	}
	sort.Slice(ranked, func(i, j int) bool {
		a, b := score(ranked[i]), score(ranked[j])
		return a > b || (a == b && ranked[i].ID < ranked[j].ID)
	})
	want := min(replicas, len(ranked))
	if want%2 == 0 {
		want-- // an even number tolerates no more failures than the next lower odd one
	}
	used := map[string]int{}
	var set []string
	for round := 1; len(set) < want; round++ {
		for _, m := range ranked {
			if len(set) < want && used[m.FailureDomain] < round && !contains(set, m.ID) {
				used[m.FailureDomain]++
				set = append(set, m.ID)
			}
		}
	}
	sort.Strings(set)
	return set
}

func contains(list []string, s string) bool {
	for _, e := range list {
		if e == s {
			return true
		}
	}
	return false
}

// ballotLess reports whether ballot a is lower than b; nil is the lowest.
func ballotLess(a, b *pb.Ballot) bool {
	if a.GetRound() != b.GetRound() {
		return a.GetRound() < b.GetRound()
	}
	return a.GetProposer() < b.GetProposer()
}

// consistentVotes returns the votes of the highest generation among them, without
// those whose sender's incarnation is superseded according to another vote.
func consistentVotes(votes map[string]*pb.LedgerMessage) []*pb.LedgerMessage {
	top := map[string]uint64{}
	var generation uint64
	for _, v := range votes {
		generation = max(generation, v.Generation)
	}
	for _, v := range votes {
		if v.Generation != generation {
			continue
		}
		for id, inc := range v.Vector {
			top[id] = max(top[id], inc)
		}
	}
	var out []*pb.LedgerMessage
	for id, v := range votes {
		if v.Generation == generation && v.Vector[id] >= top[id] {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].From < out[j].From })
	return out
}

func majority(n int) int { return n/2 + 1 }
