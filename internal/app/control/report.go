package control

import (
	"time"

	"github.com/sesamefork/sesamefork/internal/core/registry"
)

// FleetReport is this control host's view of the fleet, for operators.
type FleetReport struct {
	Host, FailureDomain string
	// Staleness is the maximum age of the configuration on this control host.
	Staleness time.Duration
	Controls  []ControlReport
	Domains   []registry.DomainCensus // sorted by name
}

// ControlReport is another control host as seen by this one.
type ControlReport struct {
	Peer, FailureDomain string
	Age                 time.Duration // since its last message
	Live                bool          // whether the last message was received within registry.ControlLease
}

// Report returns this control host's view of the fleet.
func (f *Fleet) Report() FleetReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.o.Clock.Now()
	out := FleetReport{Host: f.o.Peer, FailureDomain: f.o.FailureDomain, Staleness: f.replica.Staleness(), Domains: f.reg.Census(now)}
	for _, c := range f.reg.KnownControls() {
		out.Controls = append(out.Controls, ControlReport{c.Peer, c.FailureDomain, now.Sub(c.LastSeen), c.Live(now)})
	}
	return out
}
