package operatorhttp

import (
	"context"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/gorilla/mux"

	"github.com/sesamefork/sesamefork/internal/adapter/problem"
	"github.com/sesamefork/sesamefork/internal/app/control"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// Suspect is the JSON form of a request, or of a prompt part of requests, that was running on
// backend servers when they crashed.
type Suspect struct {
	Fingerprint string `json:"fingerprint"`
	// Kind is "request" or "part"; Part is the part's ID.
	Kind string `json:"kind"`
	Part string `json:"part,omitempty"`
	// Verdict is "quarantined" if the request is refused, or "suspect" if it is routed to servers
	// where a crash would affect few other requests.
	Verdict string `json:"verdict"`
	Team    string `json:"team"`
	Service string `json:"service"`
	Release string `json:"release,omitempty"` // of the server that crashed last
	Crashes int    `json:"crashes"`
	// LastCrashMS is the age of the last crash, in ms.
	LastCrashMS int64 `json:"last_crash_ms"`
}

// Paths of the quarantine calls.
const (
	quarantinePath = "/v1/quarantine"
	suspectPath    = quarantinePath + "/{fingerprint:[0-9a-f]+}"
)

func (h *Handler) listQuarantine(w http.ResponseWriter, _ *http.Request, _ string) error {
	return writeJSON(w, listSuspects(h.replica, time.Now()))
}

func listSuspects(r *control.Replica, now time.Time) []Suspect {
	out := []Suspect{}
	for _, e := range r.Quarantine() {
		out = append(out, Suspect{
			Fingerprint: e.Fingerprint.String(), Kind: kindOf(e), Part: e.Part, Verdict: e.Verdict.String(), Team: e.Team, Service: e.Service, Release: e.Release,
			Crashes: e.Crashes, LastCrashMS: max(0, now.Sub(e.LastCrash).Milliseconds()),
		})
	}
	return out
}

func kindOf(e quarantine.Entry) string {
	if e.Part != "" {
		return "part"
	}
	return "request"
}

func (h *Handler) liftQuarantine(w http.ResponseWriter, r *http.Request, operator string) error {
	f, err := quarantine.ParseFingerprint(mux.Vars(r)["fingerprint"])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	if err := h.replica.LiftQuarantine(ctx, f); err != nil {
		return err
	}
	h.log.Info("quarantine lifted", "operator", operator, "fingerprint", f.String())
	return writeJSON(w, map[string]string{"result": "lifted"})
}

// withoutKey adapts f to a handler that requires no operator key.
func withoutKey(f operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close") // as in Handler.ServeHTTP
		if err := f(w, r, "operator"); err != nil {
			problem.Write(w, failure.As(err, failure.Unknown), "")
		}
	}
}

// MountQuarantine adds the quarantine calls to a router that serves operators without a key.
func MountQuarantine(router *mux.Router, r *control.Replica, log logr.Logger) {
	h := &Handler{replica: r, log: log}
	router.HandleFunc(quarantinePath, withoutKey(h.listQuarantine)).Methods(http.MethodGet)
	router.HandleFunc(suspectPath, withoutKey(h.liftQuarantine)).Methods(http.MethodDelete)
}
