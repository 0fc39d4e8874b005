package control

import (
	"time"

	"github.com/sesamefork/sesamefork/internal/core/registry"
)

// FleetReport is what this control host knows of who is there, for operators.
type FleetReport struct {
	Host, FailureDomain string
	// Staleness is how old the configuration here may be.
	Staleness time.Duration
	Controls  []ControlReport
	Domains   []registry.DomainCensus // sorted by name
}

// ControlReport is another control host as this one hears it.
type ControlReport struct {
	Peer, FailureDomain string
	Age                 time.Duration // since it was last heard
	Heard               bool          // lately
}

// Report returns what this control host knows of who is there.
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
