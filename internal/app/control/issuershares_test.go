package control

import (
	"testing"
)

// grantedShares returns the sum of the shares that the running control hosts may grant, and how many
// of them have one.
func (g *group) grantedShares() (sum float64, issuers int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.up {
		if share, active := m.r.quotaShare(m.r.o.Clock.Now()); active && share > 0 {
			sum += share
			issuers++
		}
	}
	return sum, issuers
}

// awaitWhole waits until a number of control hosts grant the whole, and fails if they grant more
// meanwhile.
func (g *group) awaitWhole(what string, issuers int) {
	g.t.Helper()
	await(g.t, what, func() bool {
		sum, n := g.grantedShares()
		if sum > 1 {
			g.t.Fatalf("%s: %d control hosts grant %.4f of the whole", what, n, sum)
		}
		return n == issuers && sum > 0.999
	})
}

// TestControlHostsGrantTheWhole guards against a part of the quotas that nobody grants.
func TestControlHostsGrantTheWhole(t *testing.T) {
	g := newGroup(t)
	g.awaitWhole("three founders", 3)
	restarted := g.kill(founderAddresses[1])
	g.start(founderAddresses[1], founderAddresses[1]+".0", restarted.j, founderAddresses)
	g.awaitWhole("one of them restarts", 3)
	g.start("10.4.0.1:7", "10.4.0.1:7.1", &diskJournal{}, founderAddresses)
	g.awaitWhole("a fourth joins", 4)
}

// TestIsolatedRestartGrantsNothing guards against a share that was given on while its control host was down.
func TestIsolatedRestartGrantsNothing(t *testing.T) {
	g := newGroup(t)
	g.awaitWhole("three founders", 3)
	for _, a := range founderAddresses[1:] {
		g.kill(a)
	}
	last := g.kill(founderAddresses[0])
	m := g.start(founderAddresses[0], founderAddresses[0]+".0", last.j, founderAddresses)
	if share, active := m.r.quotaShare(m.r.o.Clock.Now()); active {
		t.Errorf("a control host that cannot reach the others grants %.4f of the whole", share)
	}
}
