// Package directory publishes the entry hosts to the platform's client directory.
package directory

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/sesamefork/sesamefork/internal/adapter/httpanswer"
	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/port"
)

// HTTP publishes the entry hosts of a region by PUT <URL>/<region>.
type HTTP struct {
	URL    string
	Client *http.Client
}

// Limits on a call.
const (
	callTimeout  = time.Second
	maxHeadBytes = 64 << 10 // without it, net/http reads heads of up to 10 MiB
)

// NewClient returns a client for HTTP. Responses' bodies are not read.
func NewClient() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: httpanswer.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment, MaxResponseHeaderBytes: maxHeadBytes})}
}

// listing is the published document.
type listing struct {
	TTLMS int64                 `json:"ttl_ms"`
	Hosts []port.DirectoryEntry `json:"entry_hosts"`
}

// Publish implements port.Directory.
func (d *HTTP) Publish(ctx context.Context, region string, hosts []port.DirectoryEntry, ttl time.Duration) error {
	data, err := json.Marshal(listing{ttl.Milliseconds(), hosts})
	if err != nil {
		return failure.Wrap(err, failure.Internal, "")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, d.URL+"/"+region, bytes.NewReader(data))
	if err != nil {
		return failure.Wrap(err, failure.InvalidSettings, "")
	}
	resp, err := d.Client.Do(req)
	if err != nil {
		return failure.Wrap(err, failure.PeerUnreachable, "")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return failure.New(failure.PeerRefused, "", "the directory responded with status %d", resp.StatusCode)
	}
	return nil
}
