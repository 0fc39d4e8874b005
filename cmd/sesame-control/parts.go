package main

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesamefork/sesamefork/internal/adapter/peerlink"
	"github.com/sesamefork/sesamefork/internal/app/control"
	"github.com/sesamefork/sesamefork/internal/daemon"
)

// Bounds of a stop. With a keep-alive interval of 1 s their sum is 7.8 s.
const (
	// answerTime is the time in which requests of operators, backend servers and callers are answered.
	answerTime = 6 * time.Second
	// leaveMargin is the time beyond a keep-alive interval in which the links must end once no more calls
	// are accepted.
	leaveMargin = 200 * time.Millisecond
	// handOverTimeout is the time in which the other control hosts acknowledge what only this one knows.
	handOverTimeout = 600 * time.Millisecond
)

// leaveTimeout returns the time in which the links must end: a link whose other end is silent is closed
// after a keep-alive interval.
func leaveTimeout(keepAlive time.Duration) time.Duration { return keepAlive + leaveMargin }

// parts are the parts of a running control host. They end in the order in which they need each other:
// answering a request may take calls of other control hosts, and answering a call takes the replica.
type parts struct {
	replica *control.Replica
	fleet   *control.Fleet // nil in a group whose record lists the hosts
	peers   *peerlink.Server
	servers []*daemon.CallerServer
	debug   part // nil for none
}

// run serves until stop ends or a part fails, and then ends all parts.
func (p *parts) run(stop context.Context) error {
	g, ctx := errgroup.WithContext(context.Background())
	endCore := start(ctx, g, p.core())
	endLinks := start(ctx, g, []part{p.serveLinks})
	endServers := start(ctx, g, p.clientServers())
	select {
	case <-stop.Done():
	case <-ctx.Done():
	}
	proposals := p.replica.FinishProposals()
	answered := time.After(answerTime)
	endServers()
	select {
	case <-proposals:
	case <-answered:
	}
	endLinks()
	p.handOver()
	endCore()
	return g.Wait()
}

// serveLinks answers calls until ctx ends, and then leaves the links.
func (p *parts) serveLinks(ctx context.Context) error {
	if p.fleet != nil {
		stop := context.AfterFunc(ctx, p.fleet.ReleaseSyncs)
		defer stop()
	}
	return p.peers.Run(ctx)
}

func (p *parts) handOver() {
	if p.fleet == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	p.fleet.HandOver(ctx)
}

// part runs until its context ends.
type part func(context.Context) error

func (p *parts) core() []part {
	if p.fleet == nil {
		return []part{p.replica.Run}
	}
	return []part{p.replica.Run, p.fleet.Run}
}

func (p *parts) clientServers() []part {
	var out []part
	for _, s := range p.servers {
		out = append(out, func(ctx context.Context) error { return daemon.Serve(ctx, s, answerTime) })
	}
	if p.debug != nil {
		out = append(out, p.debug)
	}
	return out
}

// start runs parts in a group. The returned function ends them and waits until they have ended.
func start(ctx context.Context, g *errgroup.Group, list []part) (end func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, run := range list {
		running.Add(1)
		g.Go(func() error {
			defer running.Done()
			return run(ctx)
		})
	}
	return func() {
		cancel()
		running.Wait()
	}
}
