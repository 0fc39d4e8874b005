package gateway

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"github.com/sesamefork/sesamefork/internal/core/serverlimit"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// limited returns the answer of a server that advertises a limit.
func limited(a *Answer, limit serverlimit.Advertisement) *Answer {
	a.Limit = limit
	return a
}

// advanceWithViews advances the clock, and applies a view as often as control hosts send them.
func (f *fixture) advanceWithViews(d time.Duration, edit func(*pb.FleetView)) {
	for ; d > 0; d -= syncWait {
		f.clock.advance(min(d, syncWait))
		f.view(edit)
	}
}

// TestLimitsOfServersAreLogged guards against a server over its limit that logs cannot trace to an answer.
func TestLimitsOfServersAreLogged(t *testing.T) {
	f := newFixture(t)
	view := func(v *pb.FleetView) { v.Hosts, v.Regions, v.Servers = nil, nil, v.Servers[2:3] }
	var lines []string
	f.g.o.Log = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	one := serverlimit.Advertisement{PerSecond: 1, Named: true}
	answers := []*Answer{
		limited(ranAnswer(200, "ok"), one), limited(ranAnswer(200, "ok"), one), limited(ranAnswer(200, "ok"), serverlimit.Advertisement{Invalid: `"2,5"`}),
		limited(ranAnswer(200, "ok"), serverlimit.Advertisement{Invalid: `"2,5"`}), limited(notRunAnswer(WrongServer), serverlimit.Advertisement{PerSecond: 9, Named: true}),
	}
	for _, a := range answers {
		f.advanceWithViews(4*time.Second, view)
		f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return a, true, nil }
		_ = f.g.Execute(context.Background(), f.request("/order/1"), &memorySink{})
	}
	want := []string{
		`"level"=0 "msg"="server limit changed" "server"="desk1" "start"=0 "service"="desk" "address"="10.1.0.1:80" "failure_domain"="w1" "limit_per_s"=1 "limit_before_per_s"=0 "limit_revision"=1 "source"="answer" "request_id"="r1"`,
		`"level"=0 "msg"="server limit ignored" "server"="desk1" "request_id"="r1" "reason"="the limit is no decimal number" "limit"="\"2,5\""`,
	}
	got := slices.DeleteFunc(slices.Clone(lines), func(l string) bool { return !strings.Contains(l, "server limit") })
	if !slices.Equal(got, want) {
		t.Errorf("logged %q, want %q", got, want)
	}
	chosen := slices.DeleteFunc(slices.Clone(lines), func(l string) bool { return !strings.Contains(l, `"limit_per_s"=1 "limit_revision"=`) })
	if len(chosen) == 0 || !strings.Contains(chosen[0], "place chosen") {
		t.Errorf("no choice names the limit: %q", lines)
	}
}
