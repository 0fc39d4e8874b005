package operatorhttp

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/sesamefork/sesamefork/internal/app/control"
)

// TeamQuota is the JSON form of what one control host has of a team's quota, in the quota's
// units. Rates and sums are of this control host alone.
type TeamQuota struct {
	Team string `json:"team"`
	// Part is what it may give out in a window.
	Part float64 `json:"part"`
	Free float64 `json:"free"`
	// Borrowed and Lent are from and to other control hosts.
	Borrowed float64 `json:"borrowed"`
	Lent     float64 `json:"lent"`
	Held     float64 `json:"held"`  // by entry hosts
	Spent    float64 `json:"spent"` // in the last window
	// AskedPerSecond is what its entry hosts ask, and Refused what they needed and it did not
	// have, since its start.
	AskedPerSecond float64 `json:"asked_per_second"`
	Refused        float64 `json:"refused"`
}

// quotasPath is the path of the call on teams' quotas.
const quotasPath = "/v1/quotas"

func (h *Handler) listQuotas(w http.ResponseWriter, _ *http.Request, _ string) error {
	out := []TeamQuota{}
	for _, l := range h.replica.TeamLevels() {
		out = append(out, TeamQuota{l.Team, l.Size, l.Free, l.Borrowed, l.Lent, l.Held, l.PendingReturn, l.DemandPerSecond, l.Refused})
	}
	return writeJSON(w, out)
}

// MountQuotas adds the call on teams' quotas to a router that operators reach without a key.
func MountQuotas(router *mux.Router, r *control.Replica) {
	h := &Handler{replica: r}
	router.HandleFunc(quotasPath, open(h.listQuotas)).Methods(http.MethodGet)
}
