// Package callerhttp serves the HTTP interface of sesame-entry for callers, and for
// operators who look up how a request was routed. Package backendhttp serves the
// interface for backend servers on the same router.
package callerhttp

import (
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/pprof"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/sesamefork/sesamefork/internal/adapter/operatorhttp"
	"github.com/sesamefork/sesamefork/internal/adapter/problem"
	"github.com/sesamefork/sesamefork/internal/adapter/requestbody"
	"github.com/sesamefork/sesamefork/internal/app/access"
	"github.com/sesamefork/sesamefork/internal/app/entry"
	"github.com/sesamefork/sesamefork/internal/app/lateorder"
	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/residency"
	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/port"
)

// Request and response headers of the callers' interface.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderKeyIssued      = "Sesame-Key-Issued-Ms"
	HeaderKind           = "Sesame-Kind"
	HeaderPriority       = "Sesame-Priority"
	HeaderDeadline       = "Sesame-Deadline-Ms"
	HeaderRequestID      = "Sesame-Request-Id"
	HeaderOutcome        = "Sesame-Outcome"
	HeaderRegion         = "Sesame-Region"
	HeaderServer         = "Sesame-Server"
	HeaderConfigVersion  = "Sesame-Config-Version"
	HeaderEntryHost      = "Sesame-Entry-Host"
)

// Limits holds the limits on request bodies.
type Limits struct {
	MaxBodyBytes int64
	BodyTimeout  time.Duration
}

// Handler holds the HTTP handlers of one entry host.
type Handler struct {
	host   *entry.Host
	limits Limits
	log    logr.Logger
}

// Mount adds the callers' routes to the router.
func Mount(router *mux.Router, host *entry.Host, limits Limits, log logr.Logger) {
	h := &Handler{host: host, limits: limits, log: log}
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.HandleFunc("/readyz", h.ready)
	router.HandleFunc("/v1/entry-hosts", h.entryHosts).Methods(http.MethodGet)
	router.HandleFunc("/v1/models", h.models).Methods(http.MethodGet)
	router.HandleFunc("/v1/chat/completions", h.completion).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions", h.completion).Methods(http.MethodPost)
	router.HandleFunc("/v1/explain/{id}", h.explain).Methods(http.MethodGet)
	router.PathPrefix("/v1/services/{service}").HandlerFunc(h.service)
	router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		problem.Write(w, failure.New(failure.NotFound, failure.NotRun, "%s %s", r.Method, r.URL.Path), "")
	})
	router.MethodNotAllowedHandler = router.NotFoundHandler
}

// MountDebug adds the operators' routes of the debug listener.
func MountDebug(router *mux.Router, host *entry.Host, log logr.Logger) {
	h := &Handler{host: host, log: log}
	router.Handle("/debug/vars", expvar.Handler())
	router.HandleFunc("/v1/explain/{id}", h.explain).Methods(http.MethodGet)
	router.HandleFunc("/debug/pprof/profile", h.profile).Methods(http.MethodGet)
	router.HandleFunc("/v1/config", h.config).Methods(http.MethodGet)
	router.HandleFunc("/v1/drain", h.drain).Methods(http.MethodPost, http.MethodDelete)
}

// profile serves a CPU profile of the process.
func (h *Handler) profile(w http.ResponseWriter, r *http.Request) {
	if f := h.authenticateOperator(r); f != nil {
		problem.Write(w, f, "")
		return
	}
	pprof.Profile(w, r)
}

// ConfigInForce is the configuration in force on one entry host. After the loss of all control
// disks, a new generation starts from the latest configuration found on any entry host.
type ConfigInForce struct {
	Generation uint64          `json:"generation"`
	Version    uint64          `json:"version"`
	Record     json.RawMessage `json:"record"`
}

func (h *Handler) config(w http.ResponseWriter, r *http.Request) {
	if f := h.authenticateOperator(r); f != nil {
		problem.Write(w, f, "")
		return
	}
	stamp, raw := h.host.InForce()
	writeJSON(w, ConfigInForce{stamp.Generation, stamp.Version, raw})
}

// drain removes the host from the lists of entry hosts (POST) or returns it to them
// (DELETE). The process keeps running; SIGTERM drains and stops it.
func (h *Handler) drain(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close") // the next order comes on a new connection; see lateorder.Check
	if f := h.authenticateOperator(r); f != nil {
		problem.Write(w, f, "")
		return
	}
	if f := checkWaited(r); f != nil {
		h.log.Info("order refused", "order", r.Method+" "+r.URL.Path, "reason", f.Detail)
		problem.Write(w, f, "")
		return
	}
	h.host.SetDraining(r.Method == http.MethodPost)
	w.WriteHeader(http.StatusNoContent)
}

// checkWaited returns the failure of an order whose operator may have given it up.
func checkWaited(r *http.Request) *failure.Error {
	c := port.CallerConnOf(r.Context())
	if c == nil {
		return nil
	}
	return lateorder.Check(r.Context(), c.UnreadFor())
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if f := h.host.Ready(); f != nil {
		problem.Write(w, f, "")
		return
	}
	w.WriteHeader(http.StatusOK)
}

// authenticateTeam returns the team that the request's key belongs to.
func (h *Handler) authenticateTeam(r *http.Request) (*configstate.Team, *failure.Error) {
	c := access.Credential{Fault: "a key is required: Authorization: Bearer <key>"}
	c.Hash, _ = operatorhttp.BearerHash(r)
	return h.host.Team(r.Context(), c)
}

// EntryHosts is the response to GET /v1/entry-hosts. Hosts lists the preferred host
// first.
type EntryHosts struct {
	TTLMS int64       `json:"ttl_ms"`
	Hosts []EntryHost `json:"entry_hosts"`
}

// EntryHost is one host that a caller may use.
type EntryHost struct {
	ID            string `json:"id"`
	URL           string `json:"url"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
}

// entryHostsTTL is how long a caller may cache the list.
const entryHostsTTL = 5 * time.Second

func (h *Handler) entryHosts(w http.ResponseWriter, r *http.Request) {
	t, f := h.authenticateTeam(r)
	if f != nil {
		problem.Write(w, f, "")
		return
	}
	out := EntryHosts{TTLMS: entryHostsTTL.Milliseconds(), Hosts: []EntryHost{}}
	for _, e := range h.host.EntryHosts(t.Name + r.RemoteAddr) {
		out.Hosts = append(out.Hosts, EntryHost{e.ID, e.Caller, e.Region, e.FailureDomain})
	}
	writeJSON(w, out)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Regions []string `json:"regions"`
}

func (h *Handler) models(w http.ResponseWriter, r *http.Request) {
	t, f := h.authenticateTeam(r)
	if f != nil {
		problem.Write(w, f, "")
		return
	}
	record := h.host.Record()
	out := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range record.Models {
		q := residency.Query{Team: t.Name, Kind: r.Header.Get(HeaderKind), Target: m.Name}
		if regions, err := residency.Permitted(record, q); err == nil {
			out.Data = append(out.Data, modelItem{m.Name, "model", regions})
		}
	}
	writeJSON(w, out)
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	if f := h.authenticateOperator(r); f != nil {
		problem.Write(w, f, "")
		return
	}
	data, ok := h.host.Explain(mux.Vars(r)["id"])
	if !ok {
		problem.Write(w, failure.New(failure.NotFound, "", "this entry host has no record of the request"), "")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// authenticateOperator checks the request's key against the configured operator keys.
func (h *Handler) authenticateOperator(r *http.Request) *failure.Error {
	hash, ok := operatorhttp.BearerHash(r)
	record := h.host.Record()
	if ok && record != nil {
		if _, known := record.OperatorByKey(hash); known {
			return nil
		}
	}
	return failure.New(failure.Unauthorized, "", "a valid operator key is required")
}

// readRequest authenticates the caller and reads the headers and body that all requests
// share.
// The body must be released once the request has ended.
func (h *Handler) readRequest(w http.ResponseWriter, r *http.Request) (*entry.Request, *requestbody.Body, *failure.Error) {
	w.Header().Set(HeaderEntryHost, h.host.Options().ID)
	if f := h.host.Ready(); f != nil {
		return nil, nil, f
	}
	t, f := h.authenticateTeam(r)
	if f != nil {
		return nil, nil, f
	}
	q := &entry.Request{
		ID: entry.NewID(), Team: t.Name, Weight: t.Weight, Kind: r.Header.Get(HeaderKind),
		Method: r.Method, Header: r.Header, Key: r.Header.Get(HeaderIdempotencyKey), Priority: t.Priority,
		Origin: h.host.Options().Region, Idempotent: true,
	}
	w.Header().Set(HeaderRequestID, q.ID)
	w.Header().Set(HeaderConfigVersion, strconv.FormatUint(h.host.Stamp().Version, 10))
	if f := h.readHeaders(q, r); f != nil {
		return nil, nil, f
	}
	body, f := h.readBody(w, r)
	if f != nil {
		return q, nil, f
	}
	q.Body = body.Bytes
	return q, body, nil
}

// Limits on request headers.
const (
	maxKeyBytes    = 256
	maxPriority    = 10
	maxDeadlineMS  = 3_600_000
	maxKindBytes   = 64
	maxIssuedAhead = time.Minute
)

// readHeaders validates the headers and sets the request's deadline, priority and issue time.
// The issue time is that of an idempotency key that is a version 7 UUID, unless the header
// states another.
func (h *Handler) readHeaders(q *entry.Request, r *http.Request) *failure.Error {
	now := time.Now()
	deadline := int64(h.host.Record().Policy.DefaultDeadlineMS)
	if f := intHeader(r, HeaderDeadline, 1, maxDeadlineMS, &deadline); f != nil {
		return f
	}
	q.Deadline = now.Add(time.Duration(deadline) * time.Millisecond)
	priority := int64(q.Priority)
	if f := intHeader(r, HeaderPriority, -maxPriority, maxPriority, &priority); f != nil {
		return f
	}
	q.Priority = int(priority)
	if len(q.Kind) > maxKindBytes || len(q.Key) > maxKeyBytes {
		return failure.New(failure.BadRequest, failure.NotRun, "%s or %s is too long", HeaderKind, HeaderIdempotencyKey)
	}
	if !utf8.ValidString(q.Kind) || !utf8.ValidString(q.Key) {
		return failure.New(failure.BadRequest, failure.NotRun, "%s or %s is not valid UTF-8", HeaderKind, HeaderIdempotencyKey)
	}
	if id, err := uuid.Parse(q.Key); err == nil && id.Version() == 7 {
		sec, nsec := id.Time().UnixTime()
		q.IssuedMS = time.Unix(sec, nsec).UnixMilli()
	}
	latest := now.Add(maxIssuedAhead).UnixMilli()
	return intHeader(r, HeaderKeyIssued, 1, latest, &q.IssuedMS)
}

// intHeader parses a header as an integer from low to high into out. A missing header leaves
// out unchanged.
func intHeader(r *http.Request, name string, low, high int64, out *int64) *failure.Error {
	text := r.Header.Get(name)
	if text == "" {
		return nil
	}
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v < low || v > high {
		return failure.New(failure.BadRequest, failure.NotRun, "header %s: %.40q is not an integer from %d to %d", name, text, low, high)
	}
	*out = v
	return nil
}

func (h *Handler) completion(w http.ResponseWriter, r *http.Request) {
	q, body, f := h.readRequest(w, r)
	if f != nil {
		h.refuse(w, q, f)
		return
	}
	defer body.Release()
	p, err := entry.ParsePrompt(q.Body)
	if err != nil {
		h.refuse(w, q, failure.As(err, failure.NotRun))
		return
	}
	q.Target, q.URI, q.Stream = p.Model, r.URL.RequestURI(), p.Stream
	q.Prefixes, q.Tokens, q.MaxTokens = entry.PrefixChain(p.Model, p.Text), entry.EstimateTokens(p.Text), p.MaxTokens
	h.execute(w, r, q)
}

func (h *Handler) service(w http.ResponseWriter, r *http.Request) {
	q, body, f := h.readRequest(w, r)
	if f != nil {
		h.refuse(w, q, f)
		return
	}
	defer body.Release()
	q.Target, q.Service, q.URI = mux.Vars(r)["service"], true, serviceURI(r)
	q.Tokens, q.MaxTokens = 0, 100
	s, ok := h.host.Record().Service(q.Target)
	if !ok {
		h.refuse(w, q, failure.New(failure.UnknownService, failure.NotRun, "service %q is not configured", q.Target))
		return
	}
	safe := []string{http.MethodGet, http.MethodHead, http.MethodOptions}
	q.Idempotent = !s.NonIdempotent || slices.Contains(safe, r.Method)
	h.execute(w, r, q)
}

// serviceURI returns the path after the service's name, with the query.
func serviceURI(r *http.Request) string {
	prefix := "/v1/services/" + mux.Vars(r)["service"]
	uri := strings.TrimPrefix(r.URL.EscapedPath(), prefix)
	if !strings.HasPrefix(uri, "/") {
		uri = "/" + uri
	}
	if r.URL.RawQuery != "" {
		uri += "?" + r.URL.RawQuery
	}
	return uri
}

func (h *Handler) execute(w http.ResponseWriter, r *http.Request, q *entry.Request) {
	ctx := port.WithTraceparent(r.Context(), r.Header.Get(port.TraceparentHeader))
	ctx, span := h.host.Options().Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("sesame.request_id", q.ID), attribute.String("sesame.team", q.Team), attribute.String("sesame.target", q.Target)))
	defer span.End()
	s := &sink{w: w, stream: q.Stream, rc: http.NewResponseController(w)}
	defer s.endDeadline()
	began := time.Now()
	f := h.host.Execute(ctx, q, s)
	outcome := failure.Done
	if f != nil {
		outcome = f.Outcome
		h.writeFailure(s, q, f)
	}
	s.setOutcome(outcome)
	h.logRequest(span, q, outcome, f, time.Since(began))
}

func (h *Handler) logRequest(span trace.Span, q *entry.Request, outcome failure.Outcome, f *failure.Error, took time.Duration) {
	log := h.log.WithValues("request_id", q.ID, "team", q.Team, "target", q.Target, "outcome", string(outcome), "ms", took.Milliseconds())
	if id := span.SpanContext().TraceID(); id.IsValid() {
		log = log.WithValues("trace_id", id.String())
	}
	if f != nil {
		log.Info("request failed", "code", string(f.Code))
		return
	}
	log.V(1).Info("request answered")
}

// refuse counts and answers a request that is not executed. q may be nil.
func (h *Handler) refuse(w http.ResponseWriter, q *entry.Request, f *failure.Error) {
	id := ""
	if q != nil {
		id = q.ID
	}
	h.host.Options().Metrics.Add("refused_"+string(f.Code), 1)
	problem.Write(w, f, id)
}

// writeFailure reports a failure as a problem document, or, in a stream whose head was sent,
// as an error event. No [DONE] follows the error event.
func (h *Handler) writeFailure(s *sink, q *entry.Request, f *failure.Error) {
	if !s.headSent {
		problem.Write(s.w, f, q.ID)
		return
	}
	if !s.stream {
		panic(http.ErrAbortHandler) // the head was sent: abort, so that the caller cannot take the answer for a complete one
	}
	data, _ := json.Marshal(problem.Of(f, q.ID))
	_ = s.write([]byte("event: error\ndata: " + string(data) + "\n\n")) // with its own deadline: that of the last event may have passed
}
