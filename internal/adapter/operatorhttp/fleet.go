package operatorhttp

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/sesamefork/sesamefork/internal/app/control"
)

const fleetPath = "/v1/fleet"

// FleetState is the JSON form of a control host's view of the fleet.
type FleetState struct {
	Host          string             `json:"host"`
	FailureDomain string             `json:"failure_domain"`
	StalenessMS   int64              `json:"staleness_ms"` // upper bound of its configuration's age
	Controls      []ControlHostState `json:"control_hosts"`
	Domains       []DomainState      `json:"failure_domains"`
}

// ControlHostState is the JSON form of another control host's state.
type ControlHostState struct {
	Peer          string `json:"peer"`
	FailureDomain string `json:"failure_domain"`
	AgeMS         int64  `json:"age_ms"` // time since its last message
	Recent        bool   `json:"heard"`  // whether that message was received within its lease
}

// DomainState is the JSON form of a failure domain's counts of live entry hosts and listed
// backend servers. The oldest host and server are those whose last message is the oldest.
type DomainState struct {
	Name           string `json:"name"`
	Region         string `json:"region"`
	EntryHosts     int    `json:"entry_hosts"`
	Ready          int    `json:"ready"`
	Presented      int    `json:"presented"` // send their state to this control host directly
	Owned          int    `json:"owned"`     // their state is distributed by this control host
	OldestHost     string `json:"oldest_host,omitempty"`
	OldestHostMS   int64  `json:"oldest_host_ms"`
	Servers        int    `json:"servers"`
	Announced      int    `json:"announced"` // announce themselves to this control host directly
	OldestServer   string `json:"oldest_server,omitempty"`
	OldestServerMS int64  `json:"oldest_server_ms"`
}

func newFleetState(r control.FleetReport) FleetState {
	out := FleetState{Host: r.Host, FailureDomain: r.FailureDomain, StalenessMS: r.Staleness.Milliseconds()}
	for _, c := range r.Controls {
		out.Controls = append(out.Controls, ControlHostState{c.Peer, c.FailureDomain, c.Age.Milliseconds(), c.Live})
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

// MountFleet adds the call that reports the fleet to a router that serves operators without a
// key.
func MountFleet(router *mux.Router, f *control.Fleet) {
	list := func(w http.ResponseWriter, _ *http.Request, _ string) error {
		return writeJSON(w, newFleetState(f.Report()))
	}
	router.HandleFunc(fleetPath, withoutKey(list)).Methods(http.MethodGet)
}
