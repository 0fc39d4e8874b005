package operatorhttp

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/sesamefork/sesamefork/internal/app/control"
)

// TeamQuota is the JSON form of one control host's share of a team's quota, in the quota's
// units. All figures cover this control host only.
type TeamQuota struct {
	Team string `json:"team"`
	// Part is the amount that it may grant per window.
	Part float64 `json:"part"`
	// Free is the part of it that is not granted.
	Free float64 `json:"free"`
	// Borrowed and Lent are the amounts borrowed from and lent to other control hosts.
	Borrowed float64 `json:"borrowed"`
	Lent     float64 `json:"lent"`
	Held     float64 `json:"held"`  // granted to entry hosts and not spent
	Spent    float64 `json:"spent"` // in the last window
	// AskedPerSecond is the rate that its entry hosts request. Refused is the amount that they
	// needed and that was not available, summed since the process started.
	AskedPerSecond float64 `json:"asked_per_second"`
	Refused        float64 `json:"refused"`
}

// quotasPath is the path of the call that lists teams' quotas.
const quotasPath = "/v1/quotas"

func (h *Handler) listQuotas(w http.ResponseWriter, _ *http.Request, _ string) error {
	out := []TeamQuota{}
	for _, l := range h.replica.QuotaLevels() {
		out = append(out, TeamQuota{l.Team, l.Size, l.Free, l.Borrowed, l.Lent, l.Held, l.PendingReturn, l.DemandPerSecond, l.Refused})
	}
	return writeJSON(w, out)
}

// MountQuotas adds the call that lists teams' quotas to a router that serves operators without
// a key.
func MountQuotas(router *mux.Router, r *control.Replica) {
	h := &Handler{replica: r}
	router.HandleFunc(quotasPath, withoutKey(h.listQuotas)).Methods(http.MethodGet)
}
