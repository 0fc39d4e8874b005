package enginehttp

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/port"
)

// TestDemandsOfAnAnswerAreRead guards against a server's Retry-After or leave that no one reads.
func TestDemandsOfAnAnswerAreRead(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "1.5")
		w.Header().Set(HeaderLeaving, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer s.Close()
	c := New()
	defer c.Close()
	a, _, err := c.Do(context.Background(), port.BackendCall{Address: s.Listener.Addr().String(), Method: http.MethodPost, URI: "/"})
	if err != nil {
		t.Fatal(err)
	}
	_ = a.Body.Close()
	if a.Pause != 1500*time.Millisecond || !a.Leaving || http.Header(a.Header).Get(HeaderLeaving) != "" {
		t.Errorf("pause %s, leaving %v, header %v", a.Pause, a.Leaving, a.Header)
	}
}

// TestCallIsNotSentOnceItMayNot guards against a call that waited for its connection and is sent in a pause.
func TestCallIsNotSentOnceItMayNot(t *testing.T) {
	requests := 0
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests++ }))
	defer s.Close()
	c := New()
	defer c.Close()
	_, sent, err := c.Do(context.Background(), port.BackendCall{
		Address: s.Listener.Addr().String(), Method: http.MethodPost, URI: "/", MaySend: func() bool { return false },
	})
	if sent || !errors.Is(err, port.ErrWithheld) {
		t.Errorf("sent %v, ended with %v", sent, err)
	}
	s.Close()
	if requests != 0 {
		t.Errorf("the server got %d requests", requests)
	}
}
