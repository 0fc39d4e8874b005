package gateway

import (
	"context"
	"time"

	"github.com/sesamefork/sesamefork/internal/app/access"
	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/controlhosts"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// newsWithin bounds how long a request with an unknown key waits for word whether there is a
// newer configuration: control hosts are asked four times a second.
const newsWithin = 600 * time.Millisecond

// teamOf returns whose request it is; nil for nobody's, where the route needs no key.
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

// admit finds the request's route and team in the configuration in force. A key that no team
// holds is refused only by a host that has heard since the request came that its
// configuration is the newest: the key may just have been added.
func (g *Gateway) admit(ctx context.Context, r *Request) (*configstate.Installed, *configstate.Route, *configstate.Team, *failure.Error) {
	for asked := false; ; asked = true {
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
		case r.Key.Hash == "" || asked:
			g.o.Metrics.Add("refused_unauthorized", 1)
			return c, route, nil, f
		}
		if !g.awaitNews(ctx, r) {
			return c, route, nil, notRun(failure.NotReady, refusedRetry, "no team holds the key in version %d, and no control host tells whether that is the newest", c.Stamp.Version)
		}
	}
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

// awaitNews waits until a control host has vouched for the configuration in force as of a
// moment after the request came. It reports whether one has.
func (g *Gateway) awaitNews(ctx context.Context, r *Request) bool {
	t := time.NewTimer(newsWithin)
	defer t.Stop()
	for {
		g.control.mu.Lock()
		vouched := g.control.vouched
		g.control.mu.Unlock()
		if at := g.currentAt.Load(); at != nil && at.After(r.Arrived) {
			return true
		}
		select {
		case <-vouched:
		case <-t.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// recheck finds the request's team again before each attempt: its key may have been taken
// away, or moved to another team, while the request waited or ran elsewhere.
func (g *Gateway) recheck(x *execution) *failure.Error {
	c := g.config.Load()
	if c.Record == x.teamsOf {
		return nil
	}
	t, f := teamOf(c.Record, x.route, x.r)
	if f != nil {
		return f
	}
	x.teamsOf, x.team = c.Record, t
	return nil
}

// teamName is whose request it is; "" for nobody's.
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

// take takes the request's units of its team's quota, at the host where it entered.
func (g *Gateway) take(ctx context.Context, x *execution) *failure.Error {
	if x.r.Origin != "" {
		return nil
	}
	c, f := g.access.Take(ctx, x.r.ID, x.team, x.r.Tokens)
	x.charge = c
	return f
}

// refund gives back the units of an attempt that did not run.
func (g *Gateway) refund(x *execution) {
	g.access.Refund(x.charge)
	x.charge = nil
}

// issuers returns the control hosts, the nearest first, and those that were not heard yet as
// far ones.
func (g *Gateway) issuers() []string {
	all := g.control.all()
	g.control.mu.Lock()
	defer g.control.mu.Unlock()
	access.Nearest(g.o.Host, all, func(addr string) int {
		if h := g.control.known[addr]; h != nil {
			return int(g.distance(h.domain))
		}
		return int(controlhosts.OtherRegion)
	})
	return all
}
