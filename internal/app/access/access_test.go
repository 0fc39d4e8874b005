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

// allowed is what the quota allows in a window, over all issuers.
var bound = quota.Bound{Window: time.Minute}

type noMetrics struct{}

func (noMetrics) Add(string, int64)             {}
func (noMetrics) Observe(string, time.Duration) {}

// fakeIssuers answers asks by address; one without an issuer never answers.
type fakeIssuers struct {
	mu      sync.Mutex
	at      map[string]*quota.Issuer
	asked   map[string]int
	refuses map[string]bool // answer with an error at once
}

func newIssuers(addrs ...string) *fakeIssuers {
	f := &fakeIssuers{at: map[string]*quota.Issuer{}, asked: map[string]int{}, refuses: map[string]bool{}}
	for _, a := range addrs {
		now := time.Now()
		i := quota.NewIssuer(quota.IssuerOptions{Bound: bound, FirstStart: true}, now)
		i.SetShare(1/float64(len(addrs)), true, now)
		i.SetTeams([]configstate.Team{*team}, now)
		i.ConfirmStored(i.StateToStore(now))
		f.at[a] = i
	}
	return f
}

func (f *fakeIssuers) Call(ctx context.Context, addr string, req *pb.Request) (*pb.Response, error) {
	f.mu.Lock()
	i, refuses := f.at[addr], f.refuses[addr]
	f.asked[addr]++
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
	return nil, false, failure.New(failure.PeerUnreachable, failure.NotRun, "no forwards here")
}

func (f *fakeIssuers) asks(addr string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asked[addr]
}

func newGate(f *fakeIssuers, addrs ...string) *Gate {
	return New(Options{
		Peers: f, Request: func() *pb.Request { return &pb.Request{From: "h1"} },
		Issuers: func() []string { return addrs }, Clock: port.SystemClock{}, Log: logr.Discard(), Metrics: noMetrics{},
	})
}

func take(g *Gate) (*quota.Charge, *failure.Error) {
	return g.Take(context.Background(), "r", team, -1)
}

func TestTake(t *testing.T) {
	cases := map[string]struct {
		known   []string // issuers that give out units
		list    []string // control hosts in reach, the nearest first
		refuses []string
		code    failure.Code
		asked   string // that must have been asked
	}{
		"the nearest has units":           {[]string{"c1", "c2"}, []string{"c1", "c2"}, nil, "", "c1"},
		"the nearest answers nothing":     {[]string{"c2"}, []string{"c1", "c2"}, nil, "", "c2"},
		"the nearest refuses connections": {[]string{"c1", "c2"}, []string{"c1", "c2"}, []string{"c1"}, "", "c2"},
		"nobody answers":                  {nil, []string{"c1", "c2"}, nil, failure.QuotaUnknown, "c2"},
		"nobody is in reach":              {nil, nil, nil, failure.QuotaUnknown, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newIssuers(c.known...)
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
			if c.asked != "" && f.asks(c.asked) == 0 {
				t.Errorf("%s was not asked", c.asked)
			}
		})
	}
}

// TestTakeWithoutQuota asks nobody.
func TestTakeWithoutQuota(t *testing.T) {
	f := newIssuers("c1")
	g := newGate(f, "c1")
	for _, none := range []*configstate.Team{nil, {Name: "hall"}} {
		if charge, got := g.Take(context.Background(), "r", none, 5); charge != nil || got != nil {
			t.Errorf("charged %v, refused with %v", charge, got)
		}
	}
	if f.asks("c1") != 0 {
		t.Error("a control host was asked")
	}
}

// TestOverTheQuota takes all that two control hosts have. What follows is refused with a time
// to come back, and without asking again for each request.
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
	if taken > allowed || taken < allowed-2 { // each issuer's part need not be whole units
		t.Fatalf("%d taken, %d are allowed", taken, allowed)
	}
	before := f.asks("c1") + f.asks("c2")
	for range 100 {
		if _, got := take(g); got == nil || got.Code != failure.OverQuota || got.RetryAfter <= 0 {
			t.Fatalf("got %v", got)
		}
	}
	if asks := f.asks("c1") + f.asks("c2") - before; asks > 20 {
		t.Errorf("%d asks for 100 requests that were refused", asks)
	}
}

// BenchmarkTake is the cost of a quota on the way of a request that finds its units in hand.
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
