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
	Domains   []DomainReport // sorted by name
}

// ControlReport is another control host as this one hears it.
type ControlReport struct {
	Peer, FailureDomain string
	Age                 time.Duration // since it was last heard
	Heard               bool          // lately
}

// DomainReport counts what is there of a failure domain.
type DomainReport struct {
	Name, Region string
	Hosts        int // live entry hosts
	Ready        int // of these, those that take callers
	Presented    int // of these, those that present themselves here
	Owned        int // of these, those whose figures this control host owns
	// OldestHost is the live entry host that was heard longest ago, and its age.
	OldestHost    string
	OldestHostAge time.Duration
	Servers       int // on the lists of entry hosts
	HeardHere     int // of these, those that announce themselves here
	// OldestServer is the listed server that was heard longest ago, and its age.
	OldestServer    string
	OldestServerAge time.Duration
}

// Report returns what this control host knows of who is there.
func (f *Fleet) Report() FleetReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.o.Clock.Now()
	out := FleetReport{Host: f.o.Peer, FailureDomain: f.o.FailureDomain, Staleness: f.replica.Staleness()}
	for _, c := range f.reg.KnownControls() {
		out.Controls = append(out.Controls, ControlReport{c.Peer, c.FailureDomain, now.Sub(c.HeardAt), c.Heard(now)})
	}
	for _, c := range f.reg.Census(now) {
		out.Domains = append(out.Domains, domainReport(c, now))
	}
	return out
}

func domainReport(c registry.DomainCensus, now time.Time) DomainReport {
	d := DomainReport{
		Name: c.Name, Region: c.Region, Hosts: c.Hosts, Ready: c.Ready, Presented: c.Presented, Owned: c.Owned,
		Servers: c.Servers, HeardHere: c.HeardHere,
	}
	if c.OldestHost != nil {
		d.OldestHost, d.OldestHostAge = c.OldestHost.ID, now.Sub(c.OldestHost.HeardAt)
	}
	if c.OldestServer != nil {
		d.OldestServer, d.OldestServerAge = c.OldestServer.ID, now.Sub(c.OldestServer.HeardAt)
	}
	return d
}
