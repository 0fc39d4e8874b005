package quotashare

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Issuer is a control host that can grant units.
type Issuer struct {
	Store         string
	Address       string
	FailureDomain string
}

// View is what the leader knows about the control hosts.
type View struct {
	// FailureDomains are the failure domains among which the whole is divided equally.
	FailureDomains []string
	// Live are the members of the group from which a message was received recently.
	Live []Issuer
	// Applied reports whether a store is known to have applied the current table.
	Applied func(store string) bool
}

// PlannerOptions configures a Planner.
type PlannerOptions struct {
	// JoinDelay is how long all live control hosts of a failure domain must have been live before
	// one without a share gets one, so that those which start together get theirs in one change.
	JoinDelay time.Duration
	// GoneAfter is how long a control host must not be live before the live ones of its failure
	// domain get its share. It is longer than a restart.
	GoneAfter time.Duration
	// DomainGoneAfter is how long a failure domain must have no live control host before the other
	// failure domains get its part. A shorter partition changes no shares.
	DomainGoneAfter time.Duration
	// ReturnDelay is the longest time until units that a control host has given out are free again.
	ReturnDelay time.Duration
	// FenceDelay is the time after which a control host grants no more units by a table that was
	// replaced, although it may not have applied a later one.
	FenceDelay time.Duration
}

// Planner plans the changes of the table on the leader. It is created at the start of a leadership,
// and counts delays from then on. It is not safe for concurrent use.
type Planner struct {
	o          PlannerOptions
	begin      time.Time
	entries    map[string]*entryRecord // by store, of the current table
	liveSince  map[string]time.Time    // by store
	domainSeen map[string]time.Time    // by failure domain, last time with a live control host
}

// entryRecord is what the planner observed of an entry with an unchanged share.
type entryRecord struct {
	share     uint32
	since     time.Time
	appliedAt time.Time // when the control host was first known to have applied it; zero for not yet
	liveAt    time.Time
}

// NewPlanner returns a planner of a leader that was elected at now.
func NewPlanner(o PlannerOptions, now time.Time) *Planner {
	return &Planner{o: o, begin: now, entries: map[string]*entryRecord{}, liveSince: map[string]time.Time{}, domainSeen: map[string]time.Time{}}
}

// Next returns the table that replaces the current one, or nil if no change is due.
func (p *Planner) Next(current *pb.IssuerShares, v View, now time.Time) *pb.IssuerShares {
	p.observe(current, v, now)
	targets := p.targets(current, v, now)
	next := &pb.IssuerShares{Revision: current.GetRevision() + 1}
	for _, e := range current.GetIssuers() {
		n := proto.Clone(e).(*pb.IssuerShare)
		if p.released(e, now) {
			n.Held = n.Share
		}
		target, wanted := targets[e.Store]
		n.Share = min(n.Share, target.share)
		if wanted {
			n.FailureDomain, n.Address = target.at.FailureDomain, target.at.Address
		}
		if wanted || n.Held > 0 {
			next.Issuers = append(next.Issuers, n)
		}
	}
	for store, t := range targets {
		if find(current, store) == nil {
			next.Issuers = append(next.Issuers, &pb.IssuerShare{Store: store, FailureDomain: t.at.FailureDomain, Address: t.at.Address})
		}
	}
	slices.SortFunc(next.Issuers, func(a, b *pb.IssuerShare) int { return strings.Compare(a.Store, b.Store) })
	raise(next, targets)
	if slices.EqualFunc(current.GetIssuers(), next.Issuers, func(a, b *pb.IssuerShare) bool { return proto.Equal(a, b) }) {
		return nil
	}
	return next
}

// observe updates the planner's records.
func (p *Planner) observe(current *pb.IssuerShares, v View, now time.Time) {
	live := map[string]bool{}
	for _, i := range v.Live {
		live[i.Store] = true
		if p.liveSince[i.Store].IsZero() {
			p.liveSince[i.Store] = now
		}
		p.domainSeen[i.FailureDomain] = now
	}
	for store := range p.liveSince {
		if !live[store] {
			delete(p.liveSince, store)
		}
	}
	listed := map[string]bool{}
	for _, e := range current.GetIssuers() {
		listed[e.Store] = true
		r := p.entries[e.Store]
		if r == nil {
			r = &entryRecord{share: e.Share, since: now, liveAt: now}
			p.entries[e.Store] = r
		}
		if r.share != e.Share {
			*r = entryRecord{share: e.Share, since: now, liveAt: r.liveAt}
		}
		if r.appliedAt.IsZero() && v.Applied(e.Store) {
			r.appliedAt = now
		}
		if live[e.Store] {
			r.liveAt = now
		}
	}
	for store := range p.entries {
		if !listed[store] {
			delete(p.entries, store)
		}
	}
}

// released reports whether a control host has units of at most its share in use.
func (p *Planner) released(e *pb.IssuerShare, now time.Time) bool {
	r := p.entries[e.Store]
	if !r.appliedAt.IsZero() && now.Sub(r.appliedAt) >= p.o.ReturnDelay {
		return true
	}
	return now.Sub(r.since) >= p.o.FenceDelay+p.o.ReturnDelay
}

// target is the share that a control host is to have.
type target struct {
	share uint32
	at    Issuer
}

// targets returns the shares of the control hosts that are to have one, by store.
func (p *Planner) targets(current *pb.IssuerShares, v View, now time.Time) map[string]target {
	wanted := p.wanted(current, v, now)
	perDomain := map[string]uint32{}
	for _, i := range wanted {
		perDomain[i.FailureDomain]++
	}
	domains := p.presentDomains(perDomain, v, now)
	out := map[string]target{}
	for store, i := range wanted {
		out[store] = target{Whole / domains / perDomain[i.FailureDomain], i}
	}
	return out
}

// wanted returns the control hosts that are to have a share: those that have one and are not gone,
// and the live ones that may join.
func (p *Planner) wanted(current *pb.IssuerShares, v View, now time.Time) map[string]Issuer {
	out, storeAt := map[string]Issuer{}, map[string]string{}
	for _, i := range v.Live {
		storeAt[i.Address] = i.Store
	}
	for _, e := range current.GetIssuers() {
		at, reused := storeAt[e.Address]
		replaced := reused && at != e.Store // its store was lost and never returns
		if e.Share > 0 && !replaced && now.Sub(p.entries[e.Store].liveAt) < p.goneAfter(e.FailureDomain, now) {
			out[e.Store] = Issuer{e.Store, e.Address, e.FailureDomain}
		}
	}
	joinable := p.joinable(v, now)
	for _, i := range v.Live {
		if _, has := out[i.Store]; has || joinable[i.FailureDomain] {
			out[i.Store] = i
		}
	}
	return out
}

// goneAfter returns how long a control host of a failure domain must not be live to lose its share.
func (p *Planner) goneAfter(domain string, now time.Time) time.Duration {
	if p.domainSeen[domain].Equal(now) {
		return p.o.GoneAfter
	}
	return p.o.DomainGoneAfter
}

// joinable returns the failure domains of which every live control host has been live for
// JoinDelay.
func (p *Planner) joinable(v View, now time.Time) map[string]bool {
	out := map[string]bool{}
	for _, i := range v.Live {
		out[i.FailureDomain] = true
	}
	for _, i := range v.Live {
		if now.Sub(p.liveSince[i.Store]) < p.o.JoinDelay {
			out[i.FailureDomain] = false
		}
	}
	return out
}

// presentDomains returns the number of failure domains among which the whole is divided: those with
// a control host that is to have a share, and those seen within DomainGoneAfter.
func (p *Planner) presentDomains(perDomain map[string]uint32, v View, now time.Time) uint32 {
	n := uint32(len(perDomain))
	for _, domain := range v.FailureDomains {
		seen := p.domainSeen[domain]
		if seen.Before(p.begin) {
			seen = p.begin
		}
		if perDomain[domain] == 0 && now.Sub(seen) < p.o.DomainGoneAfter {
			n++
		}
	}
	return max(1, n)
}

// raise adds to the shares that are below their targets as far as the held shares leave room. A
// share is raised to its target or not at all, to keep the number of changes low.
func raise(table *pb.IssuerShares, targets map[string]target) {
	free := uint64(Whole)
	for _, e := range table.Issuers {
		free -= uint64(e.Held)
	}
	for _, e := range table.Issuers {
		t := targets[e.Store].share
		if t <= e.Share {
			continue
		}
		if more := uint64(max(e.Held, t) - e.Held); more <= free {
			free -= more
			e.Share, e.Held = t, max(e.Held, t)
		}
	}
}
