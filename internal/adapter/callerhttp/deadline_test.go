package callerhttp

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/app/entry"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// deadlineWriter records whether a write follows a new write deadline.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	renewed bool
}

func (w *deadlineWriter) SetWriteDeadline(time.Time) error {
	w.renewed = true
	return nil
}

// TestErrorEventHasItsOwnDeadline guards against the loss of the error event of a stream that fails after a silence that
// is longer than the time in which its caller must take an event.
func TestErrorEventHasItsOwnDeadline(t *testing.T) {
	w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
	s := &sink{w: w, stream: true, rc: http.NewResponseController(w)}
	if err := s.Head(entry.Head{Status: http.StatusOK}); err != nil {
		t.Fatal(err)
	}
	if err := s.Data([]byte("data: 1\n\n")); err != nil {
		t.Fatal(err)
	}
	w.renewed = false
	(&Handler{}).writeFailure(s, &entry.Request{ID: "r"}, failure.New(failure.BackendLost, failure.Unknown, "stalled"))
	if !w.renewed {
		t.Error("the error event was written with the deadline of the last event")
	}
}
