package callerhttp

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/app/entry"
	"github.com/sesamefork/sesamefork/internal/app/lateorder"
	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/port"
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

// fakeConn is the connection of an operator.
type fakeConn struct {
	left   bool
	unread time.Duration
	reused bool // the connection has carried a call before
}

func (c fakeConn) HasLeft() bool            { return c.left }
func (c fakeConn) UnreadFor() time.Duration { return c.unread }

func (c fakeConn) SentWithin() (time.Duration, bool) { return c.unread, !c.reused }

// TestDrainOrderOfAnOperatorThatGaveUp guards against orders to drain an entry host that it reads, after a freeze, later
// than a following one.
func TestDrainOrderOfAnOperatorThatGaveUp(t *testing.T) {
	for name, c := range map[string]struct {
		conn    fakeConn
		refused bool
	}{
		"left":      {fakeConn{left: true}, true},
		"read late": {fakeConn{unread: 2 * lateorder.Patience}, true},
		"reused":    {fakeConn{reused: true}, true},
		"waits":     {fakeConn{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodDelete, "/v1/drain", nil)
			r = r.WithContext(port.WithCallerConn(r.Context(), c.conn))
			if f := checkWaited(r); (f != nil) != c.refused || f != nil && f.Outcome != failure.NotRun {
				t.Errorf("ended with %v", f)
			}
		})
	}
}
