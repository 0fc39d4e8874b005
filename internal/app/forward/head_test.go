package forward

import (
	"testing"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestForwardedHeadIsChecked guards against what a faulty server sent and a host of an earlier version passed on.
func TestForwardedHeadIsChecked(t *testing.T) {
	field := func(name, value string) []*pb.Header { return []*pb.Header{{Name: name, Value: value}} }
	for _, c := range []struct {
		name string
		m    *pb.ForwardHead
		ok   bool
	}{
		{"plain", &pb.ForwardHead{Status: 200, Headers: field("A", "b")}, true},
		{"bytes beyond ASCII in a value", &pb.ForwardHead{Status: 200, Headers: []*pb.Header{{Name: "A", Value: "ä", Latin1: true}}}, true},
		{"no status", &pb.ForwardHead{Headers: field("A", "b")}, false},
		{"status 1000", &pb.ForwardHead{Status: 1000}, false},
		{"a blank in a name", &pb.ForwardHead{Status: 200, Headers: field("X Odd", "b")}, false},
		{"a control byte in a value", &pb.ForwardHead{Status: 200, Headers: field("A", "b\x01")}, false},
	} {
		status, header, f := ReadHead(c.m)
		if (f == nil) != c.ok || (c.ok && (status != int(c.m.Status) || header.Get("A") == "")) || (f != nil && f.Outcome != failure.Unknown) {
			t.Errorf("%s: %d %v, %v", c.name, status, header, f)
		}
	}
}
