package backendconn

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Several processes may listen at an address one after the other. A connection belongs to one of them for all its
// time, and the system of that process resets it after its end. So a process that is known to have run at a time is
// the one at the other end of each connection that was established before, unless the connection is dead. A server
// whose machine lost power leaves connections that look open; a request on one of them reaches nobody.

// proof is the proof that a process ran at a time.
type proof struct {
	process string
	at      time.Time
}

// proofRetention is how long a proof is kept: connections that need an older one have been closed.
const proofRetention = time.Minute

// Confirm records that a process listened at an address at a time, or later.
func (p *Pool) Confirm(addr, process string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.proofs[addr]
	if process == "" || !at.After(known.at) {
		return
	}
	for _, c := range p.idle[addr] {
		known.applyTo(c) // a connection of the process that ran before
	}
	p.proofs[addr] = proof{process, at}
	close(p.proved)
	p.proved = make(chan struct{})
}

// applyTo records the process of a connection that the proof covers.
func (pr proof) applyTo(c *conn) {
	if c.process == "" && !c.openSince.After(pr.at) {
		c.process = pr.process
	}
}

// confirmByAnswer records that the process of an exchange answered a request, so that it ran when the request was
// written.
func (p *Pool) confirmByAnswer(x *exchange) {
	if process := p.processOf(x.c); process != "" {
		p.Confirm(x.c.addr, process, x.writeBegan)
	}
}

// processOf returns the process at the other end of a connection; "" if that is not proved.
func (p *Pool) processOf(c *conn) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.proofs[c.addr].applyTo(c)
	return c.process
}

// errUnproved is the cause of a request that was not sent because another process may listen at the address.
var errUnproved = errors.New("no proof in time that the process listens at its address")

// DoProcess is like Do, but sends the request only on a connection that is proved to lead to the process. If no idle
// one does, it opens a connection and waits for the proof; see Confirm. If that takes longer than wait, it returns an
// error with Unproved set, and nothing was sent.
func (p *Pool) DoProcess(ctx context.Context, addr, process string, wait time.Duration, req *http.Request, body []byte, matches Match, conditions ...Condition) (*http.Response, error) {
	c, err := p.connectTo(ctx, addr, process, wait)
	if err != nil {
		return nil, err
	}
	return p.do(ctx, c, addr, req, body, matches, conditions)
}

// connectTo returns an open connection to the process.
func (p *Pool) connectTo(ctx context.Context, addr, process string, wait time.Duration) (*conn, error) {
	if c := p.takeIdleOf(addr, process); c != nil {
		return c, nil
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	fresh, err := p.dial(ctx, addr)
	if err != nil {
		return nil, &Error{DialFailed: true, ServerLost: p.refused(addr, err), Cause: err}
	}
	for {
		p.mu.Lock()
		proved := p.proved
		p.mu.Unlock()
		switch {
		case p.processOf(fresh) == process && fresh.reusable():
			return fresh, nil
		case !fresh.reusable(), p.processOf(fresh) != "":
			_ = fresh.Conn.Close()
			return nil, &Error{Unproved: true, Cause: errUnproved}
		}
		if c := p.takeIdleOf(addr, process); c != nil {
			_ = fresh.Conn.Close()
			return c, nil
		}
		select {
		case <-proved:
		case <-timeout.C:
			_ = fresh.Conn.Close()
			return nil, &Error{Unproved: true, Cause: errUnproved}
		case <-ctx.Done():
			_ = fresh.Conn.Close()
			return nil, &Error{Cause: context.Cause(ctx)}
		}
	}
}

// takeIdleOf returns an open idle connection to the process, or nil.
func (p *Pool) takeIdleOf(addr, process string) *conn {
	for {
		c := p.popOf(addr, process)
		if c == nil {
			return nil
		}
		if time.Now().Before(c.expires) && c.reusable() {
			p.recordReuse(c)
			p.setInUse(c, true)
			return c
		}
		_ = c.Conn.Close()
	}
}

// popOf removes the idle connection to the process that was used last; nil if there is none.
func (p *Pool) popOf(addr, process string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		p.proofs[addr].applyTo(c)
		if c.process == process {
			p.idle[addr] = append(list[:i], list[i+1:]...)
			return c
		}
	}
	return nil
}

// dropOldProofs drops the proofs that are older than proofRetention. The caller holds p.mu.
func (p *Pool) dropOldProofs(now time.Time) {
	for addr, known := range p.proofs {
		if now.Sub(known.at) > proofRetention {
			delete(p.proofs, addr)
		}
	}
}
