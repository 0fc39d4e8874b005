package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// A stream may go on only at the release that began it. The ID of a server does not tell which process listens at
// its address, as the next process may use it again. So before a request goes on with a stream there, a control host
// must have proof that the announced process ran after the connection was established: two consecutive announcements,
// the first of them received after that.

// Times of the search for proofs.
const (
	// proofQueryInterval is the pause between two queries while a proof is awaited.
	proofQueryInterval = 100 * time.Millisecond
	// proofMargin is the longest time that two announcements and a query take beyond two announcement intervals.
	proofMargin = 400 * time.Millisecond
	// farQueryEvery is the number of queries of which one goes to the control hosts of the other regions too:
	// servers announce themselves there if none of their own region answers.
	farQueryEvery = 4
)

// maxProofWait returns the longest time for which an attempt waits for a proof.
func (g *Gateway) maxProofWait() time.Duration { return 2*g.announceInterval() + proofMargin }

// usualProofWait returns the time that a proof takes on average: the connection is established at any time between
// two announcements.
func (g *Gateway) usualProofWait() time.Duration { return 3 * g.announceInterval() / 2 }

// requireProof returns the process that must run an attempt, and how long the attempt waits for its proof; "" if any
// process under the server's ID may.
func (g *Gateway) requireProof(x *execution, s *dispatch.Server) (process string, wait time.Duration) {
	if x.release == nil || s.Process() == "" {
		return "", 0
	}
	now := g.o.Clock.Now()
	if x.proofDeadline.IsZero() {
		x.proofDeadline = now.Add(g.maxProofWait())
	}
	return s.Process(), max(0, x.proofDeadline.Sub(now))
}

func (g *Gateway) announceInterval() time.Duration {
	if g.o.AnnounceEvery == 0 {
		return dispatch.DefaultAnnounceEvery
	}
	return g.o.AnnounceEvery
}

// processProofs holds the processes of which proofs are awaited.
type processProofs struct {
	mu      sync.Mutex
	wanted  map[processID]int // number of attempts
	running bool
}

// processID names one process of a backend server.
type processID struct {
	id      string
	start   int64
	address string
	name    string
}

// request has the control hosts queried for proofs of a server's process until release is called.
func (p *processProofs) request(g *Gateway, s *dispatch.Server) (release func()) {
	id := processID{s.ID, s.Start, s.Address, s.Process()}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wanted == nil {
		p.wanted = map[processID]int{}
	}
	p.wanted[id]++
	if !p.running {
		p.running = true
		go g.queryProofs()
	}
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.wanted[id]--; p.wanted[id] == 0 {
			delete(p.wanted, id)
		}
	})
}

// next returns the processes of which proofs are awaited. It returns none once the query loop must end.
func (p *processProofs) next() (list []processID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.wanted {
		list = append(list, id)
	}
	p.running = len(list) > 0
	return list
}

// queryProofs queries the control hosts while proofs are awaited.
func (g *Gateway) queryProofs() {
	for n := 0; ; n++ {
		list := g.proofs.next()
		if len(list) == 0 {
			return
		}
		near, far := g.controlHostsByDistance()
		if len(near) == 0 || n%farQueryEvery == farQueryEvery-1 {
			near = slices.Concat(near, far)
		}
		for _, addr := range near {
			go g.queryProofsAt(addr, list)
		}
		time.Sleep(proofQueryInterval)
	}
}

// queryProofsAt queries a control host for proofs.
func (g *Gateway) queryProofsAt(addr string, list []processID) {
	ctx, cancel := context.WithTimeout(context.Background(), originQueryTimeout)
	defer cancel()
	q := &pb.ProcessQuery{}
	for _, id := range list {
		q.Id, q.Start = append(q.Id, id.id), append(q.Start, id.start)
	}
	req := g.newPeerRequest()
	req.Body = &pb.Request_ProcessQuery{ProcessQuery: q}
	asked := time.Now()
	resp, err := g.o.Peers.Call(ctx, addr, req)
	if err != nil {
		return // other control hosts are queried too, and this one again
	}
	for i, proof := range resp.GetProcessProofs().GetProofs() {
		if i < len(list) && proof.Known && proof.Address == list[i].address {
			// The answer was written after the query, so that the time is not later than what is proved.
			g.o.Backends.Confirm(proof.Address, list[i].name, asked.Add(-milliseconds(proof.AgeMs)))
		}
	}
}
