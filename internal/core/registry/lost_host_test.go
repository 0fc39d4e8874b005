package registry

import (
	"testing"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
)

// TestLoadsOfALostHost guards against requests and arrivals of a lost entry host that stay in the totals beyond its
// lease, and against ones that are removed within it.
func TestLoadsOfALostHost(t *testing.T) {
	r := newRegistry()
	lost := host("a", "west", "w1", true, 0)
	server, service := holders.Key("s0"), serverload.ServiceKey("llm")
	lost.Loads = serverload.Loads{server: {Requests: 5}, service: {Requests: 130}}
	r.UpdateHost(lost, at(0))
	for i, ms := range []int{1400, 1600} {
		r.Expire(at(ms-100), at(ms))
		got := loadsOfOtherHosts(r, "b")
		if kept := got[server].Requests == 5 && got[service].Requests == 130; kept != (i == 0) {
			t.Errorf("after %d ms: %v", ms, got)
		}
	}
}
