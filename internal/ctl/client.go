// Package ctl implements the commands of sesamectl, the operators' command line tool.
package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/sesamefork/sesamefork/internal/adapter/operatorhttp"
	"github.com/sesamefork/sesamefork/internal/adapter/problem"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// Client calls the operators' HTTP API of the control hosts.
type Client struct {
	BaseURLs []string // base URLs, tried in order
	Key      string
	HTTP     *http.Client
	// AttemptTimeout is the timeout of the call to one control host, after which the next one
	// is called (default 12 s, longer than the host's own time limit of 10 s).
	AttemptTimeout time.Duration
}

// Timeouts of a call to one control host. Replacing a replica may take up to 60 s.
const (
	defaultAttempt = 12 * time.Second
	replaceTimeout = 90 * time.Second
)

// NewClient returns a client for a comma-separated list of control hosts' base URLs.
func NewClient(servers, key string) *Client {
	return &Client{BaseURLs: strings.Split(servers, ","), Key: key, HTTP: &http.Client{Transport: transport}, AttemptTimeout: defaultAttempt}
}

// Do calls the control hosts in order until one responds. Repeating a call that got no
// response is safe: reads change nothing, a change carries its change_id, and a
// membership change that was already made has no effect.
func (c *Client) Do(ctx context.Context, method, path string, body, out any) error {
	timeout := c.AttemptTimeout
	if strings.HasPrefix(path, "/v1/replicas") {
		timeout = replaceTimeout
	}
	var last error
	for _, server := range c.BaseURLs {
		attempt, cancel := context.WithTimeout(ctx, timeout)
		answered, err := c.callHost(attempt, method, strings.TrimRight(server, "/")+path, body, out)
		cancel()
		last = err
		if answered {
			return last
		}
	}
	return last
}

func (c *Client) callHost(ctx context.Context, method, url string, body, out any) (answered bool, err error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return true, failure.Wrap(err, failure.BadRequest, failure.NotRun)
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return true, failure.Wrap(err, failure.BadRequest, failure.NotRun)
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return false, failure.Wrap(err, failure.PeerUnreachable, failure.Unknown)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := readBounded(resp.Body)
	if err != nil {
		return false, failure.Wrap(err, failure.PeerUnreachable, failure.Unknown)
	}
	if resp.StatusCode/100 != 2 {
		return true, problemError(resp, data)
	}
	if out == nil {
		return true, nil
	}
	return true, json.Unmarshal(data, out)
}

func problemError(resp *http.Response, data []byte) error {
	var d problem.Document
	if json.Unmarshal(data, &d) == nil {
		if f, ok := d.Error(); ok {
			return f
		}
	}
	return failure.New(failure.Internal, failure.Unknown, "%s responded with status %d", resp.Request.URL.Host, resp.StatusCode)
}

// Current returns the current accepted configuration.
func (c *Client) Current(ctx context.Context) (*operatorhttp.Config, error) {
	out := new(operatorhttp.Config)
	err := c.Do(ctx, http.MethodGet, "/v1/config", nil, out)
	return out, err
}

// ReadRecord reads a configuration record from a TOML or JSON file and returns it as
// JSON. Keys that are unknown to this build are preserved.
func ReadRecord(path string) (json.RawMessage, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.BadRequest, "")
	}
	if strings.HasSuffix(path, ".json") {
		return data, nil
	}
	var m map[string]any
	if _, err := toml.Decode(string(data), &m); err != nil {
		return nil, failure.New(failure.BadRequest, "", "%s: %s", path, err)
	}
	out, err := json.Marshal(m)
	if err != nil {
		return nil, failure.Wrap(err, failure.BadRequest, "")
	}
	return out, nil
}

// diffLines appends one line per difference between two JSON values to out.
func diffLines(path string, a, b any, out *[]string) {
	am, aok := a.(map[string]any)
	bm, bok := b.(map[string]any)
	if aok && bok {
		for _, k := range unionKeys(am, bm) {
			diffLines(path+"."+k, am[k], bm[k], out)
		}
		return
	}
	al, aok := a.([]any)
	bl, bok := b.([]any)
	if aok && bok {
		for i := range max(len(al), len(bl)) {
			diffLines(fmt.Sprintf("%s[%d]", path, i), elementAt(al, i), elementAt(bl, i), out)
		}
		return
	}
	x, y := compactJSON(a), compactJSON(b)
	if x != y {
		*out = append(*out, fmt.Sprintf("%s: %s -> %s", strings.TrimPrefix(path, "."), x, y))
	}
}

func elementAt(l []any, i int) any {
	if i < len(l) {
		return l[i]
	}
	return nil
}

func compactJSON(v any) string {
	if v == nil {
		return "(none)"
	}
	data, _ := json.Marshal(v)
	return string(data)
}
