package directory

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/port"
)

func TestPublish(t *testing.T) {
	status := http.StatusNoContent
	var path, body string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		path, body = r.Method+" "+r.URL.Path, string(data)
		w.WriteHeader(status)
	}))
	defer srv.Close()
	d := &HTTP{URL: srv.URL, Client: srv.Client()}
	hosts := []port.DirectoryEntry{{ID: "h", URL: "http://127.0.0.1:8080", Region: "r", FailureDomain: "f"}}
	if err := d.Publish(context.Background(), "r", hosts, 15*time.Second); err != nil {
		t.Fatal(err)
	}
	want := `{"ttl_ms":15000,"entry_hosts":[{"id":"h","url":"http://127.0.0.1:8080","region":"r","failure_domain":"f"}]}`
	if path != "PUT /r" || body != want {
		t.Errorf("%s %s, want %s", path, body, want)
	}
	status = http.StatusTeapot
	if err := d.Publish(context.Background(), "r", hosts, time.Second); !failure.Is(err, failure.PeerRefused) {
		t.Errorf("got %v, want %s", err, failure.PeerRefused)
	}
	srv.Close()
	if err := d.Publish(context.Background(), "r", hosts, time.Second); !failure.Is(err, failure.PeerUnreachable) {
		t.Errorf("got %v, want %s", err, failure.PeerUnreachable)
	}
}
