// Package operatorhttp serves the operators' HTTP API of sesame-control.
package operatorhttp

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/adapter/problem"
	"github.com/sesamefork/sesamefork/internal/adapter/requestbody"
	"github.com/sesamefork/sesamefork/internal/app/control"
	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// MaxRecordBytes is the maximum size of a request body with a configuration record.
const MaxRecordBytes = 8 << 20

const (
	changeTimeout  = 10 * time.Second
	replaceTimeout = 60 * time.Second
)

// Handler serves the operators' API of one control replica.
type Handler struct {
	replica       *control.Replica
	bootstrapHash string
	log           logr.Logger
	router        *mux.Router
}

// New returns a handler for the replica. bootstrapHash is the SHA-256 hash, in hex, of
// the key that is valid until the first record is accepted.
func New(r *control.Replica, bootstrapHash string, log logr.Logger) *Handler {
	h := &Handler{replica: r, bootstrapHash: bootstrapHash, log: log, router: mux.NewRouter()}
	h.router.HandleFunc("/healthz", h.health).Methods(http.MethodGet)
	h.handle(http.MethodGet, "/v1/config", false, h.getConfig)
	h.handle(http.MethodPut, "/v1/config", true, h.putConfig)
	h.handle(http.MethodGet, "/v1/config/history", false, h.history)
	h.handle(http.MethodGet, "/v1/config/{version:[0-9]+}", false, h.getVersion)
	h.handle(http.MethodGet, "/v1/status", false, h.status)
	h.handle(http.MethodPost, "/v1/replicas", true, h.addReplica)
	h.handle(http.MethodPut, "/v1/replicas/{id}", true, h.replaceReplica)
	h.handle(http.MethodPost, "/v1/orders", true, h.order)
	h.handle(http.MethodGet, quarantinePath, false, h.listQuarantine)
	h.handle(http.MethodGet, quotasPath, false, h.listQuotas)
	h.handle(http.MethodDelete, suspectPath, true, h.liftQuarantine)
	h.handle(http.MethodGet, "/debug/vars", false, func(w http.ResponseWriter, r *http.Request, _ string) error {
		expvar.Handler().ServeHTTP(w, r)
		return nil
	})
	h.router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		problem.Write(w, failure.New(failure.NotFound, "", "%s %s", r.Method, r.URL.Path), "")
	})
	return h
}

// ServeHTTP implements http.Handler. Each answer closes its connection: the next order then comes on a new one, whose age
// bounds that of the order (package lateorder).
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	h.router.ServeHTTP(w, r)
}

type operatorHandler func(w http.ResponseWriter, r *http.Request, operator string) error

func (h *Handler) handle(method, path string, write bool, f operatorHandler) {
	h.router.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		operator, err := h.authenticate(r, write)
		if err == nil {
			err = f(w, r, operator)
		}
		if err != nil {
			problem.Write(w, failure.As(err, failure.Unknown), "")
		}
	}).Methods(method)
}

// BearerHash returns the SHA-256 hash, in hex, of a request's bearer key.
func BearerHash(r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", false
	}
	return configstate.KeyHash(key), true
}

func (h *Handler) authenticate(r *http.Request, write bool) (string, error) {
	hash, ok := BearerHash(r)
	if !ok {
		return "", failure.New(failure.Unauthorized, failure.NotRun, "an operator key is required: Authorization: Bearer <key>")
	}
	record := h.replica.Accepted().Record
	if record == nil {
		if hash == h.bootstrapHash {
			return "bootstrap", nil
		}
		return "", failure.New(failure.Unauthorized, failure.NotRun, "no configuration record has been accepted yet; only the bootstrap key is valid")
	}
	o, found := record.OperatorByKey(hash)
	if !found {
		return "", failure.New(failure.Unauthorized, failure.NotRun, "the key does not belong to a configured operator")
	}
	if write && o.ReadOnly {
		return "", failure.New(failure.Forbidden, failure.NotRun, "operator %q has read-only access", o.Name)
	}
	return o.Name, nil
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	if f := h.replica.Halted(); f != nil {
		problem.Write(w, f, "")
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Config is the JSON form of an accepted record.
type Config struct {
	Version       uint64          `json:"version"`
	SchemaVersion uint32          `json:"schema_version"`
	Operator      string          `json:"operator"`
	Reason        string          `json:"reason"`
	Time          time.Time       `json:"time"`
	ChangeID      string          `json:"change_id"`
	Record        json.RawMessage `json:"record,omitempty"`
}

func newConfig(a *pb.Accepted) Config {
	return Config{
		Version: a.Version, SchemaVersion: a.SchemaVersion, Operator: a.Operator, Reason: a.Reason,
		Time: time.UnixMilli(a.TimeMs).UTC(), ChangeID: a.ChangeId, Record: a.Record,
	}
}

func writeJSON(w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(v)
}

func writeProto(w http.ResponseWriter, m proto.Message) error {
	data, err := protojson.Marshal(m)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "")
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(data)
	return err
}

func (h *Handler) getConfig(w http.ResponseWriter, r *http.Request, _ string) error {
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	a, err := h.replica.Current(ctx)
	if err != nil {
		return err
	}
	if a == nil {
		return failure.New(failure.NotFound, "", "no configuration record has been accepted yet")
	}
	return writeJSON(w, newConfig(a))
}

func (h *Handler) getVersion(w http.ResponseWriter, r *http.Request, _ string) error {
	version, err := strconv.ParseUint(mux.Vars(r)["version"], 10, 64)
	if err != nil {
		return failure.New(failure.BadRequest, "", "%s", err)
	}
	for _, a := range h.replica.Accepted().Recent {
		if a.Version == version {
			return writeJSON(w, newConfig(a))
		}
	}
	return failure.New(failure.NotFound, "", "version %d is not among the recent versions that this control host keeps", version)
}

func (h *Handler) history(w http.ResponseWriter, _ *http.Request, _ string) error {
	recent := h.replica.Accepted().Recent
	out := make([]Config, 0, len(recent))
	for _, a := range recent {
		c := newConfig(a)
		c.Record = nil
		out = append(out, c)
	}
	return writeJSON(w, out)
}

// Change is the body of PUT /v1/config.
type Change struct {
	BaseVersion   uint64          `json:"base_version"`
	ChangeID      string          `json:"change_id"`
	SchemaVersion uint32          `json:"schema_version"`
	Reason        string          `json:"reason"`
	Record        json.RawMessage `json:"record"`
}

// ChangeResult is the response to an accepted change.
type ChangeResult struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
}

// bodyLimits are the limits on the bodies of operators' calls.
var bodyLimits = requestbody.Limits{MaxBytes: MaxRecordBytes, Timeout: bodyTimeout}

// bodyTimeout is the time in which a body must arrive.
const bodyTimeout = 60 * time.Second

func decodeBody(w http.ResponseWriter, r *http.Request, v any) error {
	body, f := requestbody.Read(w, r, bodyLimits)
	if f != nil {
		return f
	}
	defer body.Release()
	if err := json.Unmarshal(body.Bytes, v); err != nil {
		return failure.Wrap(err, failure.BadRequest, failure.NotRun)
	}
	return nil
}

func (h *Handler) putConfig(w http.ResponseWriter, r *http.Request, operator string) error {
	var c Change
	if err := decodeBody(w, r, &c); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	cmd := &pb.Command{
		BaseVersion: c.BaseVersion, ChangeId: c.ChangeID, Operator: operator,
		Reason: c.Reason, SchemaVersion: c.SchemaVersion, Record: c.Record,
	}
	res, err := h.replica.Change(ctx, cmd)
	if err != nil {
		return err
	}
	h.log.Info("change accepted", "version", res.Version, "operator", operator, "change_id", cmd.ChangeId)
	return writeJSON(w, ChangeResult{Version: res.Version, ChangeID: cmd.ChangeId})
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request, _ string) error {
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	st, err := h.replica.LeaderStatus(ctx)
	if err != nil {
		return err
	}
	return writeProto(w, st)
}

// ReplicaBody is the request body of the calls that add or replace a replica.
type ReplicaBody struct {
	// Address is the peer address of the new replica's host.
	Address string `json:"address"`
}

func (h *Handler) addReplica(w http.ResponseWriter, r *http.Request, operator string) error {
	return h.changeReplica(w, r, operator, "")
}

func (h *Handler) replaceReplica(w http.ResponseWriter, r *http.Request, operator string) error {
	return h.changeReplica(w, r, operator, mux.Vars(r)["id"])
}

func (h *Handler) changeReplica(w http.ResponseWriter, r *http.Request, operator, replace string) error {
	if !utf8.ValidString(replace) {
		return failure.New(failure.BadRequest, failure.NotRun, "the replica's ID is not valid UTF-8")
	}
	var b ReplicaBody
	if err := decodeBody(w, r, &b); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), replaceTimeout)
	defer cancel()
	res, err := h.replica.ChangeReplica(ctx, &pb.ReplicaChange{Address: b.Address, Replace: replace})
	if err != nil {
		return err
	}
	h.log.Info("replica changed", "operator", operator, "address", b.Address, "replaced", replace)
	return writeJSON(w, map[string]string{"result": res.Detail})
}

// OrderBody is the body of POST /v1/orders.
type OrderBody struct {
	Address string `json:"address"`
	Action  string `json:"action"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// OrderResult is the response to an order that was executed.
type OrderResult struct {
	Fence   uint64 `json:"fence"`         // fencing number
	Checked bool   `json:"fence_checked"` // whether the engine checked it
}

func (h *Handler) order(w http.ResponseWriter, r *http.Request, operator string) error {
	var b OrderBody
	if err := decodeBody(w, r, &b); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	res, err := h.replica.Order(ctx, &pb.Order{
		Address: b.Address, Action: b.Action, Model: b.Model, Adapter: b.Adapter, Version: b.Version, Role: b.Role,
	})
	if err != nil {
		return err
	}
	h.log.Info("order carried out", "operator", operator, "address", b.Address, "action", b.Action, "fence", res.Fence)
	return writeJSON(w, OrderResult{Fence: res.Fence, Checked: res.FenceChecked})
}
