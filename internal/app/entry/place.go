package entry

import (
	"context"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/admission"
	"github.com/sesamefork/sesamefork/internal/core/backend"
	"github.com/sesamefork/sesamefork/internal/core/placement"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// ticket is the result for a request that waits for a place.
type ticket struct {
	done    chan struct{}
	granted *placement.Place
	err     *failure.Error
}

// job returns the description of the request for the placement.
func (x *execution) job() *placement.Job {
	kind := backend.KindEngine
	if x.r.Service {
		kind = backend.KindService
	}
	return &placement.Job{
		Team: x.r.Team, Weight: x.r.Weight, Priority: x.r.Priority, Kind: kind, Target: x.r.Target,
		Prefixes: x.r.Prefixes, Tokens: x.r.Tokens, MaxTokens: x.r.MaxTokens, Deadline: x.r.Deadline,
		Permitted: x.permitted, Forwarded: x.r.forwarded(), Avoid: x.avoid, ServerCrashes: x.admission.ServerCrashes, Policy: x.view.Record.Policy,
	}
}

// acquire returns a place for the next attempt. If none is free the request waits in the queue,
// unless it would wait beyond its deadline.
func (h *Host) acquire(ctx context.Context, x *execution) (*placement.Place, *failure.Error) {
	h.mu.Lock()
	p, w, d, err := h.place.Acquire(x.job(), h.o.Clock.Now())
	var t *ticket
	if w != nil {
		t = &ticket{done: make(chan struct{})}
		h.waiting[w] = t
	}
	h.mu.Unlock()
	x.explain.addDecision(d)
	switch {
	case err != nil:
		h.o.Metrics.Add("refused_at_once", 1)
		return nil, failure.As(err, failure.NotRun).WithEntryHosts(h.otherURLs())
	case w == nil:
		return h.withPeerAddress(x, p), nil
	}
	h.signal(h.dispatchNow)
	return h.await(ctx, x, w, t)
}

func (h *Host) await(ctx context.Context, x *execution, w *admission.Waiter, t *ticket) (*placement.Place, *failure.Error) {
	select {
	case <-t.done:
	case <-ctx.Done():
		h.mu.Lock()
		canceled := h.place.Cancel(w)
		if canceled {
			delete(h.waiting, w)
		}
		h.mu.Unlock()
		if canceled {
			return nil, failure.New(failure.Canceled, failure.NotRun, "the request was canceled while it waited in the queue")
		}
		<-t.done // the wait ended before it could be canceled
	}
	wait := h.o.Clock.Now().Sub(w.Enqueued)
	h.o.Metrics.Observe("queue_wait", wait)
	x.waited += wait
	if t.err != nil {
		return nil, t.err
	}
	x.explain.addDecision(t.granted.Decision)
	return h.withPeerAddress(x, t.granted), nil
}

// withPeerAddress sets the peer address of a place at another entry host, and returns the
// place.
func (h *Host) withPeerAddress(x *execution, p *placement.Place) *placement.Place {
	if p.Server == nil {
		p.Address = x.view.hosts[p.ServerID].Peer
	}
	return p
}

// dispatch gives free places to waiting requests in the queue's order, and refuses those that
// have waited too long.
func (h *Host) dispatch() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.place.Waiting() == 0 {
		return
	}
	for _, g := range h.place.Grants(h.o.Clock.Now()) {
		t := h.waiting[g.Waiter]
		delete(h.waiting, g.Waiter)
		t.granted, t.err = g.Place, failure.As(g.Err, failure.NotRun)
		close(t.done)
	}
}

// release returns a place, and triggers a dispatch if requests wait.
func (h *Host) release(p *placement.Place, connected bool) {
	h.mu.Lock()
	h.place.Release(p, connected, h.o.Clock.Now())
	waiting := h.place.Waiting()
	h.mu.Unlock()
	if waiting > 0 {
		h.signal(h.dispatchNow)
	}
}

// summaryMaxAge is the age from which another failure domain's list of hosts is not used.
const summaryMaxAge = 20 * time.Second
