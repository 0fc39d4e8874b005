package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestServeAnswersWhatRunsWhenItEnds guards against a server that closes the connections of requests that
// it has read: an acknowledged change, or an announcement, whose sender got no answer.
func TestServeAnswersWhatRunsWhenItEnds(t *testing.T) {
	for _, c := range []struct {
		name       string
		answerTime time.Duration
		ends       bool // the handler's work ends by itself
		status     int
	}{
		{"work that ends", time.Hour, true, http.StatusOK},
		{"work that does not end is refused", 0, false, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			started, work := make(chan struct{}), make(chan struct{})
			s := newCallerServer(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				close(started)
				select {
				case <-work:
				case <-r.Context().Done():
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			}), nil)
			ctx, stop := context.WithCancel(context.Background())
			served := make(chan error, 1)
			go func() { served <- Serve(ctx, s, c.answerTime) }()
			conn, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			<-started
			stop()
			if c.ends {
				<-s.served // no connection is accepted any more
				close(work)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			if resp.StatusCode != c.status {
				t.Errorf("status %d, want %d", resp.StatusCode, c.status)
			}
			if err := <-served; err != nil {
				t.Error(err)
			}
		})
	}
}
