package bed

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// maxAnswerBytes bounds what a stand-in reads of an answer.
const maxAnswerBytes = 4 << 20

// Call makes one call to the system's own interfaces, on a new channel that it closes afterwards. It gives up
// after OperatorPatience.
func Call(ctx context.Context, method, addr, path string, body []byte) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, OperatorPatience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return resp.StatusCode, answer, err
}

// Order sends an order of the operator to the given hosts in turn until one acknowledges it. A host that does not
// respond in time, or answers with a 5xx, is followed by the next one. It returns when the order was acknowledged.
func (b *Bed) Order(method, path string, body []byte, hosts ...*Process) (time.Time, error) {
	const rounds = 8
	for range rounds {
		for _, h := range hosts {
			b.Record("operator: %s %s to %s", method, path, h.Name)
			status, answer, err := Call(context.Background(), method, h.Control(), path, body)
			switch {
			case err != nil:
				b.Record("operator: %s %s to %s: no response: %s", method, path, h.Name, err)
			case status/100 == 2:
				b.Record("operator: %s %s acknowledged by %s", method, path, h.Name)
				return time.Now(), nil
			case status < http.StatusInternalServerError:
				return time.Time{}, fmt.Errorf("%s %s: status %d: %s", method, path, status, answer)
			default:
				b.Record("operator: %s %s to %s: status %d: %s", method, path, h.Name, status, bytes.TrimSpace(answer))
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("%s %s was not acknowledged", method, path)
}

// Names of the configuration.
const (
	HostName = "review.example"
	Service  = "shop" // a plain service
	Pool     = "pool" // model engines
)

// Config returns a configuration with a read_only route /stock/ and a non_idempotent route /order/.
func Config(version, attempts, timeoutMS int) []byte {
	route := func(name, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": "r-" + name, "host": HostName, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeoutMS, "latency_target_ms": 400,
			"priority": 0, "service": Service, "attempts": attempts, "sticky": false, "resumable": false, "home_regions": []string{},
		}
	}
	data, _ := json.Marshal(map[string]any{
		"version": version,
		"routes":  []any{route("stock", "read_only", attempts), route("order", "non_idempotent", attempts)},
		"services": []any{map[string]any{
			"name": Service, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false, "cold_s": 0.0, "cold_per_s": 0.0,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return data
}

// Stream returns a configuration with the resumable stream route /match/ to a service of model engines.
func Stream(version, timeoutMS, gapMS int) []byte {
	data, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-match", "host": HostName, "path_prefix": "/match/", "kind": "stream", "timeout_ms": timeoutMS, "latency_target_ms": 500,
			"priority": 0, "service": Pool, "attempts": 2, "sticky": true, "resumable": true, "gap_target_ms": gapMS, "home_regions": []string{},
		}},
		"services": []any{map[string]any{
			"name": Pool, "health_path": "/healthz", "max_conns": 620, "protocol": "h1", "tls": false, "cold_s": 3.0, "cold_per_s": 2.6,
			"engine": map[string]any{
				"slots": 128, "kv_capacity": 179521, "kv_token_bytes": 131072, "link_mbps": 550000.0, "moves": true, "backups": true, "stride": 5,
				"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return data
}

// AwaitReady waits until all entry hosts of the deployment are ready.
func (b *Bed) AwaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for _, e := range b.Entries {
		for {
			status, _, err := Call(context.Background(), http.MethodGet, e.IP+":"+readyPort, Wire.ReadyPath, nil)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready: status %d, %v", e.Name, status, err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	b.Record("all entry hosts are ready")
	return nil
}

// Follower returns a control host that does not lead.
func (b *Bed) Follower() (*Process, error) {
	leaders := 0
	var follower *Process
	for _, c := range b.Controls {
		if c.Leads() {
			leaders++
		} else {
			follower = c
		}
	}
	if leaders != 1 || follower == nil {
		return nil, errors.New("no single leader is known")
	}
	return follower, nil
}

// Answer is what a client received.
type Answer struct {
	Status int
	Stamp  string
	Body   []byte
	Err    error
}

// Request sends a client's request to an entry host on a new channel.
func (b *Bed) Request(e *Process, method, path, id string, wait time.Duration, body []byte) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.Front()+path, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Host = HostName
	req.Header.Set(Wire.RequestID, id)
	req.Header.Set(Wire.Deadline, fmt.Sprint(wait.Milliseconds()))
	b.Record("client: %s %s %s to %s", method, path, id, e.Name)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		b.Record("client: %s: %s", id, err)
		return Answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	b.Record("client: %s: status %d, %d bytes, stamp %q, %v", id, resp.StatusCode, len(data), resp.Header.Get(Wire.Stamp), err)
	return Answer{Status: resp.StatusCode, Stamp: resp.Header.Get(Wire.Stamp), Body: data, Err: err}
}
