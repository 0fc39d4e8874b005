package access

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/quota"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

var team = &configstate.Team{Name: "hall", Quota: &configstate.Quota{Unit: configstate.UnitRequests, PerSecond: 10, Burst: 10}}

// bound is the limit on a quota's use within a window, over all issuers.
var bound = quota.Bound{Window: time.Minute}

type noMetrics struct{}

func (noMetrics) Add(string, int64)             {}
func (noMetrics) Observe(string, time.Duration) {}

// fakeIssuers answers asks by address. An address without an issuer does not answer.
type fakeIssuers struct {
	mu        sync.Mutex
	byAddr    map[string]*quota.Issuer
	askCounts map[string]int
	refuses   map[string]bool // addresses whose connections fail at once
}

func newIssuers(addrs ...string) *fakeIssuers {
	f := &fakeIssuers{byAddr: map[string]*quota.Issuer{}, askCounts: map[string]int{}, refuses: map[string]bool{}}
	for _, a := range addrs {
		now := time.Now()
		i := quota.NewIssuer(quota.IssuerOptions{Bound: bound, FirstStart: true}, now)
		i.SetShare(1/float64(len(addrs)), true, now)
		i.SetTeams([]configstate.Team{*team}, now)
		i.ConfirmStored(i.StateToStore(now))
		f.byAddr[a] = i
	}
	return f
}

func (f *fakeIssuers) Call(ctx context.Context, addr string, req *pb.Request) (*pb.Response, error) {
	f.mu.Lock()
	i, refuses := f.byAddr[addr], f.refuses[addr]
	f.askCounts[addr]++
	f.mu.Unlock()
	switch {
	case refuses:
		return nil, failure.New(failure.PeerUnreachable, failure.NotRun, "refused")
	case i == nil:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	grant := i.Answer(req.From, req.GetQuotaAsk(), time.Now())
	i.ConfirmStored(i.StateToStore(time.Now()))
	return &pb.Response{Body: &pb.Response_QuotaGrant{QuotaGrant: grant}}, nil
}

func (f *fakeIssuers) Open(context.Context, string, *pb.Request, []byte) (port.ForwardStream, bool, error) {
	return nil, false, failure.New(failure.PeerUnreachable, failure.NotRun, "forwards are not supported")
}

func (f *fakeIssuers) askCount(addr string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.askCounts[addr]
}

func newGate(f *fakeIssuers, addrs ...string) *Limiter {
	return New(Options{
		Peers: f, Request: func() *pb.Request { return &pb.Request{From: "h1"} },
		Issuers: func() []string { return addrs }, Clock: port.SystemClock{}, Log: logr.Discard(), Metrics: noMetrics{},
	})
}

func take(g *Limiter) (*quota.Charge, *failure.Error) {
	return g.Take(context.Background(), "r", team, -1)
}

func TestTake(t *testing.T) {
	cases := map[string]struct {
		issuers []string // addresses with an issuer
		list    []string // control hosts in reach, the nearest first
		refuses []string
		code    failure.Code
		asked   string // address that must have been asked
	}{
		"the nearest has units":           {[]string{"c1", "c2"}, []string{"c1", "c2"}, nil, "", "c1"},
		"the nearest does not answer":     {[]string{"c2"}, []string{"c1", "c2"}, nil, "", "c2"},
		"the nearest refuses connections": {[]string{"c1", "c2"}, []string{"c1", "c2"}, []string{"c1"}, "", "c2"},
		"none answers":                    {nil, []string{"c1", "c2"}, nil, failure.QuotaUnknown, "c2"},
		"none is reachable":               {nil, nil, nil, failure.QuotaUnknown, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newIssuers(c.issuers...)
			for _, a := range c.refuses {
				f.refuses[a] = true
			}
			charge, got := take(newGate(f, c.list...))
			switch {
			case c.code == "" && (got != nil || charge.Units() != 1):
				t.Errorf("charged %v, refused with %v", charge, got)
			case c.code != "" && (got == nil || got.Code != c.code || got.Outcome != failure.NotRun || got.RetryAfter <= 0):
				t.Errorf("got %v, want %s", got, c.code)
			}
			if c.asked != "" && f.askCount(c.asked) == 0 {
				t.Errorf("%s was not asked", c.asked)
			}
		})
	}
}

// TestTakeWithoutQuota checks that no control host is asked for a request without a team or of
// a team without a quota.
func TestTakeWithoutQuota(t *testing.T) {
	f := newIssuers("c1")
	g := newGate(f, "c1")
	for _, none := range []*configstate.Team{nil, {Name: "hall"}} {
		if charge, got := g.Take(context.Background(), "r", none, 5); charge != nil || got != nil {
			t.Errorf("charged %v, refused with %v", charge, got)
		}
	}
	if f.askCount("c1") != 0 {
		t.Error("a control host was asked")
	}
}

// TestOverTheQuota uses up the units of two control hosts. Further requests must be refused
// with a retry time, and without an ask for each of them.
func TestOverTheQuota(t *testing.T) {
	f := newIssuers("c1", "c2")
	g := newGate(f, "c1", "c2")
	allowed := int(bound.Allowed(*team.Quota))
	taken := 0
	for taken <= allowed {
		if _, got := take(g); got != nil {
			break
		}
		taken++
	}
	if taken > allowed || taken < allowed-2 { // an issuer's part may end in a fraction of a unit
		t.Fatalf("%d requests were charged, the bound allows %d", taken, allowed)
	}
	before := f.askCount("c1") + f.askCount("c2")
	for range 100 {
		if _, got := take(g); got == nil || got.Code != failure.OverQuota || got.RetryAfter <= 0 {
			t.Fatalf("got %v", got)
		}
	}
	if asks := f.askCount("c1") + f.askCount("c2") - before; asks > 20 {
		t.Errorf("%d asks were sent for 100 refused requests, want at most 20", asks)
	}
}

// BenchmarkTake measures Take for a request whose units the host already holds.
func BenchmarkTake(b *testing.B) {
	g := newGate(newIssuers("c1"), "c1")
	now := time.Now()
	ask := &pb.QuotaAsk{Parts: []*pb.QuotaPart{{Team: team.Name}}}
	g.holder.ApplyGrant("c1", ask, &pb.QuotaGrant{Shares: []*pb.QuotaShare{{Granted: 1e12}}}, now.Add(time.Hour))
	for b.Loop() {
		if _, f := take(g); f != nil {
			b.Fatal(f)
		}
	}
}
