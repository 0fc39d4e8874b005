package consensus

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// LiveStore is the store of a control host that is live. A store's ID changes if its data
// folder is lost.
type LiveStore struct {
	ID      string
	Address string
	// Region and FailureDomain are the control host's location; "" if unknown.
	Region, FailureDomain string
}

// RepairLimits holds the limits for NextMembers.
type RepairLimits struct {
	// MaxVoters is the maximum number of voters. Five tolerate the loss of any two.
	MaxVoters int
	// LostAfter is how long a member must leave the leader's messages unanswered
	// before it counts as lost and a caught-up learner may replace it. It is
	// longer than a restart.
	LostAfter time.Duration
}

// NextMembers returns the next membership change that brings the group closer
// to a full set of voters, or nil if no change is needed. It makes one step
// at a time and adds before it removes:
//
//   - Live stores outside the group become learners, and learners that are superseded, or
//     lost and not live, are removed: all in one step, because learners do not change the
//     quorum.
//   - A caught-up learner becomes a voter if there are too few voters or if a
//     voter is lost. Learners in the region, then in the failure domain, with the fewest
//     voters are preferred, so that the loss of one does not include a majority.
//   - A lost voter is removed once there is one voter more than needed.
//
// A member is superseded if another live store has its address: its data folder
// was lost, and its identity never returns. unansweredFor is how long each member
// has not answered the leader.
func NextMembers(st Status, live []LiveStore, unansweredFor map[string]time.Duration, l RepairLimits) *pb.RaftMembers {
	if st.Role != Leader {
		return nil
	}
	g := newGroupView(st, live, unansweredFor, l)
	next := proto.Clone(st.Members).(*pb.RaftMembers)
	if g.replaceLearners(next, live) {
		return next
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

// groupView holds what NextMembers derives from its arguments.
type groupView struct {
	member, live, superseded, lost map[string]bool
	voters, targetVoters           int
	caughtUp                       map[string]bool
	location                       map[string]LiveStore // live stores by ID
	// inRegion and inDomain count the voters that are not lost.
	inRegion, inDomain map[string]int
}

func newGroupView(st Status, live []LiveStore, unansweredFor map[string]time.Duration, l RepairLimits) *groupView {
	g := &groupView{
		member: map[string]bool{}, live: map[string]bool{}, superseded: map[string]bool{}, lost: map[string]bool{}, caughtUp: map[string]bool{},
		location: map[string]LiveStore{}, inRegion: map[string]int{}, inDomain: map[string]int{},
	}
	at := map[string]string{}
	addresses := map[string]bool{}
	for _, s := range live {
		at[s.Address] = s.ID
		g.live[s.ID] = true
		g.location[s.ID] = s
		addresses[s.Address] = true
	}
	for _, m := range st.Members.Members {
		g.member[m.Id] = true
		if id, ok := at[m.Address]; ok && id != m.Id {
			g.superseded[m.Id] = true
		}
		g.lost[m.Id] = g.superseded[m.Id] || unansweredFor[m.Id] >= l.LostAfter
		if !m.Learner {
			g.voters++
			addresses[m.Address] = true // a lost voter counts too, because it may return
		}
		if at, ok := g.location[m.Id]; ok && !m.Learner && !g.lost[m.Id] {
			g.inRegion[at.Region]++
			g.inDomain[at.FailureDomain]++
		}
	}
	for _, r := range st.Replicas {
		g.caughtUp[r.ID] = r.CaughtUp
	}
	g.targetVoters = min(l.MaxVoters, len(addresses))
	if g.targetVoters%2 == 0 {
		g.targetVoters--
	}
	return g
}

// replaceLearners removes the obsolete learners from m and adds the live stores outside the group. It reports whether
// m changed.
func (g *groupView) replaceLearners(m *pb.RaftMembers, live []LiveStore) bool {
	before := len(m.Members)
	m.Members = slices.DeleteFunc(m.Members, func(e *pb.RaftMember) bool {
		return e.Learner && (g.superseded[e.Id] || (g.lost[e.Id] && !g.live[e.Id]))
	})
	changed := len(m.Members) != before
	for _, s := range live {
		if !g.member[s.ID] {
			m.Members = append(m.Members, &pb.RaftMember{Id: s.ID, Address: s.Address, Learner: true})
			changed = true
		}
	}
	return changed
}

// removable returns a lost voter that is no longer needed, or "" if there is none.
func (g *groupView) removable(st Status) string {
	if g.voters <= max(g.targetVoters, 1) {
		return ""
	}
	for _, m := range st.Members.Members {
		if !m.Learner && g.lost[m.Id] && m.Id != st.ID {
			return m.Id
		}
	}
	return ""
}

// promotable returns the preferred caught-up learner to become a voter, or "" if there is
// none or no voter is needed. While no voter is lost, it waits for a preferred learner that
// is still catching up, because a less preferred one would then stay a voter.
func (g *groupView) promotable(st Status) string {
	lostVoter := false
	for _, m := range st.Members.Members {
		lostVoter = lostVoter || (!m.Learner && g.lost[m.Id])
	}
	if g.voters >= g.targetVoters && !lostVoter {
		return ""
	}
	best := ""
	for _, m := range st.Members.Members {
		if !m.Learner || g.lost[m.Id] || (lostVoter && !g.caughtUp[m.Id]) {
			continue
		}
		if best == "" || g.preferred(m.Id, best) {
			best = m.Id
		}
	}
	if best != "" && !g.caughtUp[best] {
		return ""
	}
	return best
}

// preferred reports whether learner id is a better choice of voter than learner other: its
// location is known, its region or then its failure domain has fewer voters, or, if these are
// equal, it alone is caught up.
func (g *groupView) preferred(id, other string) bool {
	a, knownA := g.location[id]
	b, knownB := g.location[other]
	if knownA != knownB {
		return knownA
	}
	if x, y := g.inRegion[a.Region], g.inRegion[b.Region]; x != y {
		return x < y
	}
	if x, y := g.inDomain[a.FailureDomain], g.inDomain[b.FailureDomain]; x != y {
		return x < y
	}
	return g.caughtUp[id] && !g.caughtUp[other]
}
