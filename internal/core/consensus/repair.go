package consensus

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// LiveStore is a control host's store that was heard lately.
type LiveStore struct {
	ID      string
	Address string
	// Region and FailureDomain say where it is; "" for unknown.
	Region, FailureDomain string
}

// RepairLimits bounds the repair of the group.
type RepairLimits struct {
	// MaxVoters bounds the voters. Five bear the loss of any two.
	MaxVoters int
	// LostAfter is how long a voter must be silent before a caught-up learner
	// may take its place. It is longer than a restart.
	LostAfter time.Duration
}

// NextMembers returns the next membership change that brings the group closer
// to a full set of voters, or nil when there is nothing to do. It makes one step
// at a time and adds before it removes:
//
//   - live stores outside the group become learners, all in one step, as learners change no
//     quorum; a learner that is gone leaves;
//   - a caught-up learner becomes a voter while voters are missing, or when a
//     voter is lost: one of the region, then the failure domain, with the fewest voters, so
//     that the loss of one takes no majority with it;
//   - a lost voter is removed once there is a voter more than needed.
//
// A member is superseded when another live store has its address: its data folder
// was lost, and its identity never comes back. silent tells for how long each
// member has not answered.
func NextMembers(st Status, live []LiveStore, silent map[string]time.Duration, l RepairLimits) *pb.RaftMembers {
	if st.Role != Leader {
		return nil
	}
	g := newGroupView(st, live, silent, l)
	next := proto.Clone(st.Members).(*pb.RaftMembers)
	for _, s := range live {
		if !g.member[s.ID] {
			next.Members = append(next.Members, &pb.RaftMember{Id: s.ID, Address: s.Address, Learner: true})
		}
	}
	if len(next.Members) > len(st.Members.Members) {
		return next
	}
	for i, m := range next.Members {
		if m.Learner && (g.superseded[m.Id] || (g.lost[m.Id] && !g.live[m.Id])) {
			next.Members = append(next.Members[:i], next.Members[i+1:]...)
			return next
		}
	}
	if id := g.removable(st); id != "" {
		kept := next.Members[:0]
		for _, m := range next.Members {
			if m.Id != id {
				kept = append(kept, m)
			}
		}
		next.Members = kept
		return next
	}
	if id := g.promotable(st); id != "" {
		for _, m := range next.Members {
			if m.Id == id {
				m.Learner = false
			}
		}
		return next
	}
	return nil
}

// groupView is what NextMembers derives from its input.
type groupView struct {
	member, live, superseded, lost map[string]bool
	voters, target                 int
	caughtUp                       map[string]bool
	place                          map[string]LiveStore // of the stores heard lately, by ID
	// inRegion and inDomain count the voters that are not lost.
	inRegion, inDomain map[string]int
}

func newGroupView(st Status, live []LiveStore, silent map[string]time.Duration, l RepairLimits) *groupView {
	g := &groupView{
		member: map[string]bool{}, live: map[string]bool{}, superseded: map[string]bool{}, lost: map[string]bool{}, caughtUp: map[string]bool{},
		place: map[string]LiveStore{}, inRegion: map[string]int{}, inDomain: map[string]int{},
	}
	at := map[string]string{}
	addresses := map[string]bool{}
	for _, s := range live {
		at[s.Address] = s.ID
		g.live[s.ID] = true
		g.place[s.ID] = s
		addresses[s.Address] = true
	}
	for _, m := range st.Members.Members {
		g.member[m.Id] = true
		if id, ok := at[m.Address]; ok && id != m.Id {
			g.superseded[m.Id] = true
		}
		g.lost[m.Id] = g.superseded[m.Id] || silent[m.Id] >= l.LostAfter
		if !m.Learner {
			g.voters++
			addresses[m.Address] = true // also of a lost one: it may come back
		}
		if at, ok := g.place[m.Id]; ok && !m.Learner && !g.lost[m.Id] {
			g.inRegion[at.Region]++
			g.inDomain[at.FailureDomain]++
		}
	}
	for _, r := range st.Replicas {
		g.caughtUp[r.ID] = r.CaughtUp
	}
	g.target = min(l.MaxVoters, len(addresses))
	if g.target%2 == 0 {
		g.target--
	}
	return g
}

// removable returns a lost voter that the group can spare.
func (g *groupView) removable(st Status) string {
	if g.voters <= max(g.target, 1) {
		return ""
	}
	for _, m := range st.Members.Members {
		if !m.Learner && g.lost[m.Id] && m.Id != st.ID {
			return m.Id
		}
	}
	return ""
}

// promotable returns a caught-up learner that the group needs as a voter: one of the best
// place. While no voter is lost, a better placed learner that is still catching up is waited
// for: the group would keep the worse one.
func (g *groupView) promotable(st Status) string {
	lostVoter := false
	for _, m := range st.Members.Members {
		lostVoter = lostVoter || (!m.Learner && g.lost[m.Id])
	}
	if g.voters >= g.target && !lostVoter {
		return ""
	}
	best := ""
	for _, m := range st.Members.Members {
		if !m.Learner || g.lost[m.Id] || (lostVoter && !g.caughtUp[m.Id]) {
			continue
		}
		if best == "" || g.better(m.Id, best) {
			best = m.Id
		}
	}
	if best != "" && !g.caughtUp[best] {
		return ""
	}
	return best
}

// better reports whether a learner is the better voter than another: its place has fewer
// voters; at equal places one that is caught up.
func (g *groupView) better(id, than string) bool {
	a, knownA := g.place[id]
	b, knownB := g.place[than]
	if knownA != knownB {
		return knownA
	}
	if x, y := g.inRegion[a.Region], g.inRegion[b.Region]; x != y {
		return x < y
	}
	if x, y := g.inDomain[a.FailureDomain], g.inDomain[b.FailureDomain]; x != y {
		return x < y
	}
	return g.caughtUp[id] && !g.caughtUp[than]
}
