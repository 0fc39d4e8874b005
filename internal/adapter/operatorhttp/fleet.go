package operatorhttp

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/sesamefork/sesamefork/internal/app/control"
)

const fleetPath = "/v1/fleet"

// FleetState is what a control host knows of who is there.
type FleetState struct {
	Host          string         `json:"host"`
	FailureDomain string         `json:"failure_domain"`
	StalenessMS   int64          `json:"staleness_ms"` // how old its configuration may be
	Controls      []ControlState `json:"control_hosts"`
	Domains       []DomainState  `json:"failure_domains"`
}

// ControlState is another control host.
type ControlState struct {
	Peer          string `json:"peer"`
	FailureDomain string `json:"failure_domain"`
	AgeMS         int64  `json:"age_ms"` // since it was last heard
	Heard         bool   `json:"heard"`  // lately
}

// DomainState counts what is there of a failure domain.
type DomainState struct {
	Name           string `json:"name"`
	Region         string `json:"region"`
	EntryHosts     int    `json:"entry_hosts"`
	Ready          int    `json:"ready"`
	Presented      int    `json:"presented"` // themselves to this control host
	Owned          int    `json:"owned"`     // their figures are told by this control host
	OldestHost     string `json:"oldest_host,omitempty"`
	OldestHostMS   int64  `json:"oldest_host_ms"`
	Servers        int    `json:"servers"`
	Announced      int    `json:"announced"` // to this control host
	OldestServer   string `json:"oldest_server,omitempty"`
	OldestServerMS int64  `json:"oldest_server_ms"`
}

func fleetState(r control.FleetReport) FleetState {
	out := FleetState{Host: r.Host, FailureDomain: r.FailureDomain, StalenessMS: r.Staleness.Milliseconds()}
	for _, c := range r.Controls {
		out.Controls = append(out.Controls, ControlState{c.Peer, c.FailureDomain, c.Age.Milliseconds(), c.Heard})
	}
	for _, d := range r.Domains {
		out.Domains = append(out.Domains, DomainState{
			Name: d.Name, Region: d.Region, EntryHosts: d.Hosts, Ready: d.Ready, Presented: d.SyncingHere, Owned: d.Owned,
			OldestHost: d.OldestHost, OldestHostMS: d.OldestHostAge.Milliseconds(), Servers: d.Servers, Announced: d.AnnouncedHere,
			OldestServer: d.OldestServer, OldestServerMS: d.OldestServerAge.Milliseconds(),
		})
	}
	return out
}

// MountFleet adds the call on who is there to a router that operators reach without a key.
func MountFleet(router *mux.Router, f *control.Fleet) {
	list := func(w http.ResponseWriter, _ *http.Request, _ string) error {
		return writeJSON(w, fleetState(f.Report()))
	}
	router.HandleFunc(fleetPath, open(list)).Methods(http.MethodGet)
}
