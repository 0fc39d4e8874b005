package gateway

import (
	"context"
	"time"

	"github.com/sesamefork/sesamefork/internal/app/access"
	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/controlhosts"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// configConfirmTimeout bounds how long a request with an unknown key waits for a control host to
// confirm that the configuration is the newest. Sync requests are sent four times per second.
const configConfirmTimeout = 600 * time.Millisecond

// teamOf returns the request's team; nil if it has none and the route requires no key.
func teamOf(rec *configstate.Record, route *configstate.Route, r *Request) (*configstate.Team, *failure.Error) {
	t, f := access.TeamOf(rec, r.Key)
	if f != nil && (!rec.KeysRequired || route.Public) {
		return nil, nil
	}
	if f == nil && r.Origin != "" && r.team != t.Name {
		return nil, failure.New(failure.Unauthorized, failure.NotRun, "team %q holds the key, not team %q", t.Name, r.team)
	}
	return t, f
}

// admit finds the request's route and team in the configuration in force. As an unknown key may
// just have been added, it is refused as unauthorized only after a control host has confirmed,
// since the request arrived, that the configuration is the newest.
func (g *Gateway) admit(ctx context.Context, r *Request) (*configstate.Installed, *configstate.Route, *configstate.Team, *failure.Error) {
	for rechecked := false; ; rechecked = true {
		c := g.config.Load()
		route, f := routeOf(c, r)
		if f != nil {
			return c, nil, nil, f
		}
		team, f := teamOf(c.Record, route, r)
		switch {
		case f == nil:
			return c, route, team, nil
		case r.Origin != "":
			return c, route, nil, notRun(failure.PeerRefused, 0, "%s", f.Detail)
		case r.Key.Hash == "" || rechecked:
			g.o.Metrics.Add("refused_unauthorized", 1)
			return c, route, nil, f
		}
		if !g.awaitConfigConfirmed(ctx, r) {
			return c, route, nil, notRun(failure.NotReady, refusedRetryAfter, "no team holds the key in version %d, and no control host reports whether that is the newest", c.Stamp.Version)
		}
	}
}

// CheckHead returns the failure of a request that is refused whatever its body is: the configuration in force has no
// route for it, or no team for its key, or the team's quota has just been found spent. It returns nil if the host has no
// configuration yet.
func (g *Gateway) CheckHead(ctx context.Context, r *Request) *failure.Error {
	if g.config.Load() == nil {
		return nil
	}
	_, _, team, f := g.admit(ctx, r)
	if f != nil {
		return f
	}
	return g.access.Spent(team, r.Tokens)
}

func routeOf(c *configstate.Installed, r *Request) (*configstate.Route, *failure.Error) {
	route, ok := c.Record.RouteFor(r.Host, r.Path)
	switch {
	case ok:
		return route, nil
	case r.Origin != "":
		return nil, notRun(failure.PeerRefused, 0, "version %d has no route for host %q and path %q any more", c.Stamp.Version, r.Host, r.Path)
	}
	return nil, failure.New(failure.NotFound, failure.NotRun, "no route for host %q and path %q in version %d", r.Host, r.Path, c.Stamp.Version)
}

// awaitConfigConfirmed blocks until a control host has confirmed the configuration in force as of
// a time after the request's arrival. It reports whether one has.
func (g *Gateway) awaitConfigConfirmed(ctx context.Context, r *Request) bool {
	t := time.NewTimer(configConfirmTimeout)
	defer t.Stop()
	for {
		g.control.mu.Lock()
		confirmed := g.control.configConfirmed
		g.control.mu.Unlock()
		if at := g.configCurrentAt.Load(); at != nil && at.After(r.Arrived) {
			return true
		}
		select {
		case <-confirmed:
		case <-t.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// recheckTeam determines the request's team again before each attempt: its key may have been
// revoked, or moved to another team, while the request waited or ran elsewhere.
func (g *Gateway) recheckTeam(x *execution) *failure.Error {
	c := g.config.Load()
	if c.Record == x.teamRecord {
		return nil
	}
	t, f := teamOf(c.Record, x.route, x.r)
	if f != nil {
		return f
	}
	x.teamRecord, x.team = c.Record, t
	return nil
}

// teamName returns the name of the request's team; "" for none.
func (x *execution) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

// permits reports whether servers of the region may run the request.
func (x *execution) permits(region string) bool {
	return x.route.Permits(region) && x.team.Permits(region)
}

// takeQuota takes the request's units from its team's quota, at the host that received it from
// the caller.
func (g *Gateway) takeQuota(ctx context.Context, x *execution) *failure.Error {
	if x.r.Origin != "" {
		return nil
	}
	c, f := g.access.Take(ctx, x.r.ID, x.team, x.r.Tokens)
	x.charge = c
	return f
}

// refundQuota returns the units of an attempt that did not run.
func (g *Gateway) refundQuota(x *execution) {
	g.access.Refund(x.charge)
	x.charge = nil
}

// issuers returns the addresses of the control hosts, the nearest first. Those whose failure
// domain is unknown count as being in another region.
func (g *Gateway) issuers() []string {
	all := g.control.all()
	g.control.mu.Lock()
	defer g.control.mu.Unlock()
	access.SortByDistance(g.o.Host, all, func(addr string) int {
		if h := g.control.byAddr[addr]; h != nil {
			return int(g.distance(h.domain))
		}
		return int(controlhosts.OtherRegion)
	})
	return all
}
