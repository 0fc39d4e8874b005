package control

import "sync"

// proposals counts the proposals of other replicas that this one executes.
type proposals struct {
	mu         sync.Mutex
	inProgress int
	finishing  bool
	finished   chan struct{} // closed when none is in progress and none is accepted any more
}

func newProposals() *proposals { return &proposals{finished: make(chan struct{})} }

// begin accepts a proposal. If it reports true, end must follow.
func (p *proposals) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.finishing {
		return false
	}
	p.inProgress++
	return true
}

func (p *proposals) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inProgress--
	p.signalLocked()
}

// finish accepts no further proposals.
func (p *proposals) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finishing = true
	p.signalLocked()
}

func (p *proposals) signalLocked() {
	if p.finishing && p.inProgress == 0 {
		close(p.finished)
	}
}

// FinishProposals refuses the proposals that other replicas send from now on, and returns a channel that
// is closed when those in progress have ended. Until then the replica must receive the other replicas'
// messages: a proposal ends when a majority has acknowledged it. It must be called only once.
func (r *Replica) FinishProposals() <-chan struct{} {
	r.proposals.finish()
	return r.proposals.finished
}
