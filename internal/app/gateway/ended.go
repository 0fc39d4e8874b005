package gateway

import (
	"context"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/core/retry"
	"github.com/sesamefork/sesamefork/internal/port"
)

// Times of a check whether a server's process has ended.
const (
	checkTimeout = 300 * time.Millisecond
	// checkPause precedes a second look: a process that ends closes its connections one by
	// one, the listening one possibly last.
	checkPause = 30 * time.Millisecond
	// checkHolds is how long an answer serves the requests that break off after it.
	checkHolds = 500 * time.Millisecond
)

// serverStart names one process of a server.
type serverStart struct {
	id    string
	start int64
}

// serverCheck is one question whether a process listens at a server's address, asked for all
// requests that the server broke off.
type serverCheck struct {
	done      chan struct{} // closed with the answer
	at        time.Time
	listening port.Listening
}

// brokenBy reports whether the server ended the connection of an attempt that it had, or
// may have had.
func brokenBy(ctx context.Context, c *dispatch.Choice, res result) bool {
	return c.Server != nil && ctx.Err() == nil && res.outcome == dispatch.Broke && res.point != retry.BeforeSend
}

// processEnded asks whether the process of a server that broke off an attempt has ended.
func (g *Gateway) processEnded(s *dispatch.Server) bool {
	if g.o.Probe == nil {
		return false
	}
	key, now := serverStart{s.ID, s.Start}, g.o.Clock.Now()
	g.checking.Lock()
	check := g.checks[key]
	if check == nil || now.Sub(check.at) > checkHolds {
		check = &serverCheck{done: make(chan struct{}), at: now}
		g.checks[key] = check
		go g.check(key, s.Address, check)
	}
	g.checking.Unlock()
	<-check.done
	return check.listening == port.Refuses
}

func (g *Gateway) check(key serverStart, addr string, c *serverCheck) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	c.listening = g.o.Probe.Listening(ctx, addr)
	if c.listening == port.Accepts {
		pause(ctx, checkPause)
		c.listening = g.o.Probe.Listening(ctx, addr)
	}
	close(c.done)
	g.o.Log.Info("server checked after it broke off requests", "server", key.id, "start", key.start, "address", addr, "listening", c.listening.String())
	time.AfterFunc(checkHolds, func() {
		g.checking.Lock()
		defer g.checking.Unlock()
		if g.checks[key] == c {
			delete(g.checks, key)
		}
	})
}

// fingerprintOf identifies what the request asks a server to run. The caller is named by its
// credentials, where it has any.
func fingerprintOf(r *Request) quarantine.Fingerprint {
	return quarantine.Identity{
		Caller: r.Header.Get("Authorization"), Method: r.Method, Host: r.Host, Target: r.URI, Body: r.Body,
	}.Fingerprint()
}
