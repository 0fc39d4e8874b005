package gateway

import (
	"context"
	"slices"
	"strings"
	"testing"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// TestSpanForEachHop sends requests with a traceparent and checks the spans: one for the request,
// and one below it for each attempt or forward.
func TestSpanForEachHop(t *testing.T) {
	const remote = "00-0123456789abcdef0123456789abcdef-0123456789abcdef-01"
	lost := failure.New(failure.BackendLost, failure.Unknown, "connection reset")
	cases := []struct {
		name    string
		path    string
		view    func(*pb.FleetView)
		answers []func() (*Answer, bool, error)
		want    []string // name and status of the spans, as they end
	}{
		{"first attempt fails", "/stock/1", nil, []func() (*Answer, bool, error){failed(true, lost), answered(ranAnswer(200, "ok"))},
			[]string{"attempt Error", "attempt Unset", "request Unset"}},
		{"no route", "/nowhere/", nil, nil, []string{"request Error"}},
		{"forwarded, the link breaks", "/stock/1", func(v *pb.FleetView) {
			for _, s := range v.Servers {
				s.Leaving = true
			}
		}, nil, []string{"forward Error", "request Error"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			recorder := tracetest.NewSpanRecorder()
			f.g.o.Tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)).Tracer("test")
			if c.view != nil {
				f.view(c.view)
			}
			f.backends.answer = func(n int, _ *Attempt) (*Answer, bool, error) { return c.answers[n-1]() }
			r := f.request(c.path)
			r.Header.Set(port.TraceparentHeader, remote)
			_ = f.g.Execute(context.Background(), r, &memorySink{})
			var got []string
			for _, s := range recorder.Ended() {
				got = append(got, s.Name()+" "+s.Status().Code.String())
				if !strings.Contains(remote, s.SpanContext().TraceID().String()) {
					t.Errorf("span %s belongs to trace %s", s.Name(), s.SpanContext().TraceID())
				}
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("spans %q, want %q", got, c.want)
			}
			for _, tp := range f.peers.traceparents {
				if !strings.Contains(tp, "0123456789abcdef0123456789abcdef") || tp == remote {
					t.Errorf("forwarded with %q, want the forward's own span", tp)
				}
			}
		})
	}
}
