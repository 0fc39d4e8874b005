// Package forward encodes what all forwarded requests have in common: HTTP headers and the end of
// an answer, as sent between hosts.
package forward

import (
	"net/http"
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Headers encodes HTTP headers.
func Headers(h http.Header) []*pb.Header {
	var out []*pb.Header
	for name, values := range h {
		for _, v := range values {
			out = append(out, &pb.Header{Name: name, Value: v})
		}
	}
	return out
}

// ReadHeaders decodes HTTP headers.
func ReadHeaders(list []*pb.Header) http.Header {
	out := http.Header{}
	for _, e := range list {
		out.Add(e.Name, e.Value)
	}
	return out
}

// End returns the frame that ends an answer: complete if f is nil.
func End(f *failure.Error) *pb.ForwardFrame {
	end := &pb.ForwardEnd{Complete: f == nil, Outcome: string(failure.Done)}
	if f != nil {
		end.Outcome, end.Code, end.Detail = string(f.Outcome), string(f.Code), f.Detail
		end.RetryAfterMs = f.RetryAfter.Milliseconds()
	}
	return &pb.ForwardFrame{Frame: &pb.ForwardFrame_End{End: end}}
}

// Failure returns the failure in an end frame.
func Failure(end *pb.ForwardEnd) *failure.Error {
	f := failure.New(failure.Code(end.Code), failure.Outcome(end.Outcome), "%s", end.Detail)
	return f.WithRetryAfter(time.Duration(end.RetryAfterMs) * time.Millisecond)
}
