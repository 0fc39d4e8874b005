package forward

import (
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
)

func TestHeadersRoundTrip(t *testing.T) {
	in := http.Header{"X-One": {"a"}, "X-Two": {"b", "c"}}
	if got := ReadHeaders(Headers(in)); !maps.EqualFunc(got, in, slices.Equal) {
		t.Errorf("got %v, want %v", got, in)
	}
}

func TestEndRoundTrip(t *testing.T) {
	if end := End(nil).GetEnd(); !end.Complete || end.Outcome != string(failure.Done) {
		t.Errorf("complete: %v", end)
	}
	in := failure.New(failure.NoServer, failure.NotRun, "no server").WithRetryAfter(1500 * time.Millisecond)
	end := End(in).GetEnd()
	got := Failure(end)
	if end.Complete || got.Code != in.Code || got.Outcome != in.Outcome || got.Detail != in.Detail || got.RetryAfter != in.RetryAfter {
		t.Errorf("got %+v, want %+v", got, in)
	}
}
