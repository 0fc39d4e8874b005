// Package backendhttp serves the HTTP interface for backend servers: announcements and
// cache events.
package backendhttp

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/gorilla/mux"

	"github.com/sesamefork/sesamefork/internal/adapter/operatorhttp"
	"github.com/sesamefork/sesamefork/internal/adapter/problem"
	"github.com/sesamefork/sesamefork/internal/adapter/requestbody"
	"github.com/sesamefork/sesamefork/internal/app/entry"
	"github.com/sesamefork/sesamefork/internal/core/backend"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Limits on requests of backend servers.
const (
	maxBodyBytes = 256 << 10
	bodyTimeout  = 10 * time.Second
	maxModels    = 256
	maxPrefixes  = 256
	maxIDBytes   = 128
	maxSlots     = 100_000
)

// Announcement is the body of a backend server's announcement.
type Announcement struct {
	// Address is the server's IP address and port.
	Address string `json:"address"`
	// Kind is "engine" or "service".
	Kind string `json:"kind"`
	// Models names the models or services that the server serves.
	Models   []string `json:"models"`
	Adapters []string `json:"adapters,omitempty"`
	// Slots is the number of requests that the server runs concurrently.
	Slots uint32 `json:"slots"`
	// Running, Queued and QueuedTokens are the server's load; they may be outdated.
	Running      uint32 `json:"running"`
	Queued       uint32 `json:"queued"`
	QueuedTokens uint64 `json:"queued_tokens,omitempty"`
	// Incarnation increases with each start of the server, Sequence with each announcement.
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	// Leaving is set when the server accepts no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// Prefixes are hashes of the most used cached prompt prefixes.
	Prefixes []uint64 `json:"prefixes,omitempty"`
	// PrefillRate is in prompt tokens per second, DecodeMS in ms per output token.
	PrefillRate uint32 `json:"prefill_rate,omitempty"`
	DecodeMS    uint32 `json:"decode_ms,omitempty"`
}

// AnnouncementReply is the response to an announcement.
type AnnouncementReply struct {
	LeaseMS    int64    `json:"lease_ms"`
	AnnounceTo []string `json:"announce_to"`
}

// CacheEvents is a batch of cache events. Sequence increases by one with each batch.
type CacheEvents struct {
	Sequence uint64   `json:"sequence"`
	Added    []uint64 `json:"added"`
	Evicted  []uint64 `json:"evicted"`
}

// CacheReply reports whether the sequence numbers had a gap. If so, the recorded cache contents
// were reset.
type CacheReply struct {
	Gap bool `json:"gap"`
}

type handler struct {
	host *entry.Host
}

// Mount adds the backend servers' routes to the router.
func Mount(router *mux.Router, host *entry.Host) {
	h := &handler{host}
	router.HandleFunc("/v1/backend-servers/{id}/announcement", h.announcement).Methods(http.MethodPost)
	router.HandleFunc("/v1/backend-servers/{id}/cache-events", h.cacheEvents).Methods(http.MethodPost)
}

// authenticate checks the request's key against the configured keys of backend servers.
func (h *handler) authenticate(r *http.Request) *failure.Error {
	record := h.host.Record()
	if record == nil {
		return failure.New(failure.NotReady, "", "no configuration yet")
	}
	hash, ok := operatorhttp.BearerHash(r)
	if !ok || !slices.Contains(record.BackendKeyHashes, hash) {
		return failure.New(failure.Unauthorized, "", "a valid backend server key is required")
	}
	return nil
}

var bodyLimits = requestbody.Limits{MaxBytes: maxBodyBytes, Timeout: bodyTimeout}

// decodeJSON decodes the request's body of at most maxBodyBytes into v.
func decodeJSON(w http.ResponseWriter, r *http.Request, v any) *failure.Error {
	body, f := requestbody.Read(w, r, bodyLimits)
	if f != nil {
		return f
	}
	defer body.Release()
	if err := json.Unmarshal(body.Bytes, v); err != nil {
		return failure.Wrap(err, failure.BadRequest, "")
	}
	return nil
}

// ParseAnnouncement validates an announcement and converts it to a peer message.
func ParseAnnouncement(id string, a Announcement) (*pb.BackendState, *failure.Error) {
	switch {
	case id == "" || len(id) > maxIDBytes || !utf8.ValidString(id):
		return nil, failure.New(failure.BadRequest, "", "the ID is empty, over %d bytes or not valid UTF-8", maxIDBytes)
	case a.Kind != backend.KindEngine && a.Kind != backend.KindService:
		return nil, failure.New(failure.BadRequest, "", "kind: %q is not engine or service", a.Kind)
	case len(a.Models) == 0 || len(a.Models) > maxModels:
		return nil, failure.New(failure.BadRequest, "", "models: %d names; use 1 to %d", len(a.Models), maxModels)
	case a.Slots == 0 || a.Slots > maxSlots:
		return nil, failure.New(failure.BadRequest, "", "slots: %d is not from 1 to %d", a.Slots, maxSlots)
	case len(a.Prefixes) > maxPrefixes:
		return nil, failure.New(failure.BadRequest, "", "prefixes: %d; use at most %d", len(a.Prefixes), maxPrefixes)
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return nil, failure.New(failure.BadRequest, "", "address: %.60q is not an IP address with a port", a.Address)
	}
	return &pb.BackendState{
		Id: id, Address: a.Address, Kind: a.Kind, Models: a.Models, Adapters: a.Adapters, Slots: a.Slots,
		Running: a.Running, Queued: a.Queued, QueuedTokens: a.QueuedTokens, Incarnation: a.Incarnation,
		Sequence: a.Sequence, Leaving: a.Leaving, Prefixes: a.Prefixes, PrefillRate: a.PrefillRate, DecodeMs: a.DecodeMS,
	}, nil
}

func (h *handler) announcement(w http.ResponseWriter, r *http.Request) {
	f := h.authenticate(r)
	var a Announcement
	if f == nil {
		f = decodeJSON(w, r, &a)
	}
	var st *pb.BackendState
	if f == nil {
		st, f = ParseAnnouncement(mux.Vars(r)["id"], a)
	}
	if f != nil {
		problem.Write(w, f, "")
		return
	}
	to := h.host.Announce(st)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(AnnouncementReply{LeaseMS: h.host.Options().Lease.Milliseconds(), AnnounceTo: to})
}

func (h *handler) cacheEvents(w http.ResponseWriter, r *http.Request) {
	f := h.authenticate(r)
	var e CacheEvents
	if f == nil {
		f = decodeJSON(w, r, &e)
	}
	if f != nil {
		problem.Write(w, f, "")
		return
	}
	gap, known := h.host.CacheEvents(mux.Vars(r)["id"], e.Sequence, e.Added, e.Evicted)
	if !known {
		problem.Write(w, failure.New(failure.NotFound, "", "this entry host has received no announcement of the server"), "")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(CacheReply{Gap: gap})
}
