package dispatch

import (
	"math"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/serverlimit"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// A server that advertises a limit gets at most that many requests per second from all entry hosts of
// its region. Some of them are its senders, and each sender may send an equal share. While a list of
// hosts settles, a host sends at most its share by each list that others may still use, so that a
// share does not grow before another one has ended. A host without a lease sends nothing.
//
// In any time t, a server that advertises r requests per second gets at most r*t + max(r, minSenders)
// requests once all hosts know the limit.
const (
	// minSenders is the number of senders of a server with a low limit, if the region has as many hosts.
	// With several, callers of most hosts of a small region reach a service that has no other server.
	minSenders = 3
	// minSenderTurn is the shortest time for which the same hosts are the senders of a server whose
	// limit is not renewed. If none of them has requests for the server, no answer would ever withdraw
	// its limit, so other hosts take their turn.
	minSenderTurn = 6 * time.Second
	// requestsPerTurn is the number of requests at the advertised rate for which a turn lasts.
	requestsPerTurn = 3
)

// pace limits this host's requests to one server to its share of the server's limit.
type pace struct {
	tokens float64 // requests that may be sent
	rate   float64 // share as of at, in requests per second
	at     time.Time
	// renewedAt is the time of the limit's revision as of at. If the senders had changed by then, the
	// first ones wait until notBefore.
	renewedAt, notBefore time.Time
}

// Limit returns the limit that a server advertises.
func (f *Fleet) Limit(s *Server) serverlimit.Limit { return f.limits.Get(s.key) }

// LimitShare returns the part of a server's limit that this host may send, in requests per second, as of
// its last request or choice.
func (s *Server) LimitShare() float64 { return s.pace.rate }

// RecordLimit records what an answer to the attempt says about the server's limit. withdraws is set if
// the server names its limit in answers like this one. It returns the limit before, and whether the
// limit has another rate now.
func (f *Fleet) RecordLimit(c *Choice, a serverlimit.Advertisement, withdraws bool, now time.Time) (before serverlimit.Limit, changed bool) {
	if c.Server == nil {
		return before, false
	}
	before = f.Limit(c.Server)
	return before, f.limits.Observe(c.Server.key, a, c.limitRevision, withdraws, now)
}

// LimitChange is a change of a server's limit that another host reported, for the log.
type LimitChange struct {
	Server *Server
	Before serverlimit.Limit
}

// MergeLimits merges the limits that a control host reported, and returns the changes of those of known
// servers.
func (f *Fleet) MergeLimits(m *pb.ServerLimits, now time.Time) []LimitChange {
	before := map[uint32]serverlimit.Limit{}
	for _, key := range m.GetServer() {
		before[key] = f.limits.Get(key)
	}
	var out []LimitChange
	for _, key := range f.limits.MergeMessage(m, now) {
		if s := f.serversByKey[key]; s != nil {
			out = append(out, LimitChange{s, before[key]})
		}
	}
	return out
}

// LimitsSince returns the limits that changed after a version, and the version for the next call.
func (f *Fleet) LimitsSince(version uint64, wanted serverlimit.Changes) (*pb.ServerLimits, uint64) {
	return f.limits.Since(version, wanted)
}

// limitAllows reports whether a server's limit leaves this host a request, and reserves none.
func (f *Fleet) limitAllows(s *Server, j *Job, now time.Time) bool {
	l := f.Limit(s)
	if !l.InForce() {
		s.pace = pace{}
		return true
	}
	f.refill(s, l, now)
	if f.urgentWaits(j, l, now) {
		return s.pace.tokens >= 2
	}
	return s.pace.tokens >= 1
}

// takeLimit takes a request from this host's share of the server's limit.
func (f *Fleet) takeLimit(s *Server, now time.Time) {
	if l := f.Limit(s); l.InForce() {
		f.refill(s, l, now)
		s.pace.tokens--
	}
}

// refill adds the requests that this host may send since the last call. A sender saves up at most those of
// one second.
func (f *Fleet) refill(s *Server, l serverlimit.Limit, now time.Time) {
	p := &s.pace
	renewedAt := f.limits.ChangedAt(s.key)
	if !p.at.IsZero() && renewedAt.Sub(p.renewedAt) >= senderTurn(l) {
		p.notBefore = renewedAt.Add(senderSettleTime)
	}
	p.renewedAt = renewedAt
	rate := f.limitShare(s, l, now)
	if !p.at.IsZero() {
		p.tokens += min(rate, p.rate) * now.Sub(p.at).Seconds()
	}
	p.tokens = min(p.tokens, math.Max(1, rate))
	p.rate, p.at = rate, now
}

// senderTurn returns how long the same hosts are the senders of a server while its limit is not renewed.
func senderTurn(l serverlimit.Limit) time.Duration {
	return max(minSenderTurn, time.Duration(requestsPerTurn/l.PerSecond*float64(time.Second))+senderSettleTime)
}

// limitShare returns the part of a server's limit that this host may send now, in requests per second.
func (f *Fleet) limitShare(s *Server, l serverlimit.Limit, now time.Time) float64 {
	if !f.leased(now) || now.Before(s.pace.notBefore) {
		return 0
	}
	since := max(0, now.Sub(f.limits.ChangedAt(s.key)))
	turn := int(since / senderTurn(l))
	if turn > 0 && since%senderTurn(l) < senderSettleTime {
		return 0 // hosts that learned of the last revision later may still be in the turn before
	}
	positions := f.positionsOf(s)
	share := f.shareIn(f.neighbors, positions.current, l, turn)
	if !f.settled(now) {
		for i, list := range f.unsettled {
			share = min(share, f.shareIn(list, positions.unsettled[i], l, turn))
		}
	}
	return share
}

// shareIn returns this host's part of a limit by a list of hosts in which it has a position among the
// server's senders.
func (f *Fleet) shareIn(list hostList, position int, l serverlimit.Limit, turn int) float64 {
	hosts := len(list.ids)
	if position < 0 {
		return 0
	}
	senders := min(hosts, max(minSenders, int(l.PerSecond)))
	if first := turn * senders % hosts; (position-first+hosts)%hosts >= senders {
		return 0
	}
	return l.PerSecond / float64(senders) / float64(1+f.unlistedDomains(list))
}

// limitedSlots returns the number of the server's slots that requests at its limit occupy, at most all of
// them.
func (f *Fleet) limitedSlots(s *Server, perSlot float64) float64 {
	if l := f.Limit(s); l.InForce() {
		return math.Min(s.slots(), l.PerSecond/perSlot)
	}
	return s.slots()
}

// isMostlyLimited reports whether an engine's limit leaves it less than half of its capacity.
func (f *Fleet) isMostlyLimited(s *Server) bool {
	return f.limitedSlots(s, f.requestsPerSlot(s.Service, true)/f.steadyFactor(s)) < s.slots()/2
}

// minServers keeps figures for each server of a region finite whose servers are all at a low limit.
const minServers = 0.01

// capacity returns the number of the region's servers and their slots, as far as their limits leave them
// to requests. perSlot is the number of requests that a slot runs per second.
func (r *region) capacity(perSlot float64) (servers, slots float64) {
	if r.limitedSlots == 0 {
		return r.servers, r.slots
	}
	usable := math.Min(r.limitedSlots, r.limitedPerSecond/perSlot)
	return math.Max(minServers, r.servers+r.limitedServers*usable/r.limitedSlots), r.slots + usable
}

// urgentWaits reports whether a more urgent request was refused within the time in which the server takes
// one, so that the next place is left to it when it returns.
func (f *Fleet) urgentWaits(j *Job, l serverlimit.Limit, now time.Time) bool {
	for priority, at := range f.limitRefusals[j.Service] {
		if priority < j.Priority && now.Sub(at).Seconds() < max(1, 1/l.PerSecond) {
			return true
		}
	}
	return false
}

// refuseAtLimits records that a request was refused at the limits of servers, and returns the time after
// which it should be repeated: when all requests that were refused here before have had their places, as
// far as this host's callers get an equal part of them.
func (f *Fleet) refuseAtLimits(j *Job, now time.Time) time.Duration {
	if f.limitRefusals[j.Service] == nil {
		f.limitRefusals[j.Service] = map[int]time.Time{}
	}
	f.limitRefusals[j.Service][j.Priority] = now
	perSecond := 0.0
	for _, s := range f.serversOf(j.Service) {
		if l := f.Limit(s); l.InForce() && f.usable(s, now) == "" {
			perSecond += l.PerSecond
		}
	}
	interval := time.Duration(float64(f.Neighbors()) / perSecond * float64(time.Second))
	at := f.nextLimitedPlace[j.Service]
	if at.Before(now) {
		at = now
	}
	latest := now.Add(j.boundRetryAfter(j.Remaining))
	if at = at.Add(interval); at.After(latest) {
		at = latest
	}
	f.nextLimitedPlace[j.Service] = at
	return j.boundRetryAfter(at.Sub(now))
}
