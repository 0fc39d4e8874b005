package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/app/access"
	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/quota"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// recordWithTeams returns the base record with keys required, teams that hold keys, and a public
// route.
func recordWithTeams(edit func(*configstate.Record)) configstate.Record {
	rec := baseRecord()
	rec.KeysRequired = true
	rec.Teams = []configstate.Team{
		{Name: "hall", KeyHashes: []string{configstate.KeyHash("hall-key")}},
		{Name: "press", KeyHashes: []string{configstate.KeyHash("press-key")}, Homes: []string{"east"}},
		{Name: "limited", KeyHashes: []string{configstate.KeyHash("limited-key")}, Quota: &configstate.Quota{Unit: configstate.UnitRequests, PerSecond: 1, Burst: 1}},
	}
	open := rec.Routes[3]
	open.Name, open.PathPrefix, open.Public = "open", "/open/", true
	rec.Routes = append(rec.Routes, open)
	if edit != nil {
		edit(&rec)
	}
	return rec
}

func withKey(key string) access.Credential {
	return access.Credential{Hash: configstate.KeyHash(key)}
}

// TestTeamOfARequest sends requests with valid, unknown and missing keys, and checks the failure
// returned to the caller and the team sent to the server.
func TestTeamOfARequest(t *testing.T) {
	cases := []struct {
		name, path string
		key        access.Credential
		origin     string // region that forwarded the request; "" for a caller's
		team       string // named in the forward
		code       failure.Code
		sentTeam   string // to the server
	}{
		{"a key", "/stock/1", withKey("hall-key"), "", "", "", "hall"},
		{"none", "/stock/1", access.Credential{Fault: "missing"}, "", "", failure.Unauthorized, ""},
		{"unknown", "/stock/1", withKey("other"), "", "", failure.Unauthorized, ""},
		{"none, public route", "/open/1", access.Credential{Fault: "missing"}, "", "", "", ""},
		{"unknown, public route", "/open/1", withKey("other"), "", "", "", ""},
		{"a key, public route", "/open/1", withKey("hall-key"), "", "", "", "hall"},
		{"from another region", "/stock/1", withKey("hall-key"), "east", "hall", "", "hall"},
		{"from another region, of another team", "/stock/1", withKey("hall-key"), "east", "press", failure.PeerRefused, ""},
		{"from another region, unknown here", "/stock/1", withKey("other"), "east", "hall", failure.PeerRefused, ""},
		{"a team whose home is another region", "/chat/1", withKey("press-key"), "", "", failure.NoServer, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.install(8, recordWithTeams(nil))
			f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return ranAnswer(200, "ok"), true, nil }
			r := f.request(c.path)
			r.Key, r.Origin, r.team = c.key, c.origin, c.team
			confirmedAt := r.Arrived.Add(time.Millisecond)
			f.g.configCurrentAt.Store(&confirmedAt)
			fail := f.g.Execute(context.Background(), r, &memorySink{})
			switch {
			case c.code == "" && fail != nil:
				t.Fatalf("refused: %s", fail)
			case c.code != "" && (fail == nil || fail.Code != c.code || fail.Outcome != failure.NotRun):
				t.Fatalf("got %v, want %s", fail, c.code)
			}
			sent := f.backends.sent()
			if (c.code == "") != (len(sent) == 1) || (len(sent) == 1 && sent[0].Team != c.sentTeam) {
				t.Errorf("sent: %+v", sent)
			}
		})
	}
}

// TestKeyThatWasJustAdded checks that a request with an unknown key waits until a control host
// confirms the configuration, and is refused only then. A host without contact to a control host
// refuses it as not ready.
func TestKeyThatWasJustAdded(t *testing.T) {
	for name, added := range map[string]bool{"added": true, "unknown": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.install(8, recordWithTeams(nil))
			f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return ranAnswer(200, "ok"), true, nil }
			r := f.request("/stock/1")
			r.Key = withKey("new-key")
			ended := make(chan *failure.Error, 1)
			go func() { ended <- f.g.Execute(context.Background(), r, &memorySink{}) }()
			if added {
				f.install(9, recordWithTeams(func(rec *configstate.Record) {
					rec.Teams[0].KeyHashes = append(rec.Teams[0].KeyHashes, configstate.KeyHash("new-key"))
				}))
			}
			f.clock.advance(time.Second)
			f.g.confirmConfig(f.g.stamp(), &pb.FleetView{})
			if got := <-ended; (got == nil) != added || (got != nil && got.Code != failure.Unauthorized) {
				t.Errorf("ended with %v", got)
			}
		})
	}
	f := newFixture(t)
	f.install(8, recordWithTeams(nil))
	r := f.request("/stock/1")
	r.Key = withKey("new-key")
	if got := f.g.Execute(context.Background(), r, &memorySink{}); got == nil || got.Code != failure.NotReady || got.Outcome != failure.NotRun {
		t.Errorf("a host without contact to a control host returned %v", got)
	}
}

// TestKeyTakenAwayMeanwhile changes the teams during a request's first attempt, which the server
// then refuses. The next attempt must follow the new configuration.
func TestKeyTakenAwayMeanwhile(t *testing.T) {
	cases := map[string]struct {
		edit func(*configstate.Record)
		code failure.Code
		team string // of the second attempt
	}{
		"taken away": {func(r *configstate.Record) { r.Teams[0].KeyHashes = nil }, failure.Unauthorized, ""},
		"moved": {func(r *configstate.Record) {
			r.Teams[0].KeyHashes, r.Teams[1].KeyHashes, r.Teams[1].Homes = nil, r.Teams[0].KeyHashes, nil
		}, "", "press"},
		"other keys": {func(r *configstate.Record) { r.Teams[1].KeyHashes = nil }, "", "hall"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.install(8, recordWithTeams(nil))
			f.backends.answer = func(n int, _ *Attempt) (*Answer, bool, error) {
				if n == 1 {
					f.install(9, recordWithTeams(c.edit))
					return notRunAnswer(NotRun), true, nil
				}
				return ranAnswer(200, "ok"), true, nil
			}
			r := f.request("/stock/1")
			r.Key = withKey("hall-key")
			got := f.g.Execute(context.Background(), r, &memorySink{})
			if (c.code == "") != (got == nil) || (got != nil && got.Code != c.code) {
				t.Fatalf("ended with %v", got)
			}
			if sent := f.backends.sent(); c.code == "" && (len(sent) != 2 || sent[1].Team != c.team) {
				t.Errorf("sent %+v", sent)
			}
		})
	}
}

// TestForwardNamesTheTeam forwards a request of a team whose home is another region. The forward
// must carry the team's name and the key's hash, and never the key.
func TestForwardNamesTheTeam(t *testing.T) {
	f := newFixture(t)
	f.install(8, recordWithTeams(nil))
	f.peers.err, f.peers.sent = failure.New(failure.PeerUnreachable, failure.NotRun, "no way"), false
	r := f.request("/stock/1")
	r.Key = withKey("press-key")
	_ = f.g.Execute(context.Background(), r, &memorySink{})
	if len(f.peers.opened) == 0 {
		t.Fatal("not forwarded")
	}
	if m := f.peers.opened[0]; m.Team != "press" || m.KeyHash != configstate.KeyHash("press-key") {
		t.Errorf("forwarded as %q with %q", m.Team, m.KeyHash)
	}
	if sent := f.backends.sent(); len(sent) > 0 {
		t.Errorf("sent to a server of a region that is no home: %+v", sent)
	}
}

// TestQuotaOfARequest takes units of a quota from a control host: requests are sent while there
// are units, a refusal by a server returns its units, and other requests are refused before they
// are sent, with a Retry-After.
func TestQuotaOfARequest(t *testing.T) {
	f := newFixture(t)
	rec := recordWithTeams(nil)
	f.install(8, rec)
	issuer := quota.NewIssuer(quota.IssuerOptions{Bound: quota.Bound{Window: 2 * time.Second}, FirstStart: true}, f.clock.Now())
	issuer.SetShare(1, true, f.clock.Now())
	issuer.SetTeams(rec.Teams, f.clock.Now())
	issuer.ConfirmStored(issuer.StateToStore(f.clock.Now()))
	f.peers.response = func(req *pb.Request) *pb.Response {
		if ask := req.GetQuotaAsk(); ask != nil {
			grant := issuer.Answer(req.From, ask, f.clock.Now())
			issuer.ConfirmStored(issuer.StateToStore(f.clock.Now()))
			return &pb.Response{Body: &pb.Response_QuotaGrant{QuotaGrant: grant}}
		}
		return &pb.Response{}
	}
	f.g.SetSeeds([]string{"c1"})
	f.backends.answer = func(n int, _ *Attempt) (*Answer, bool, error) {
		if n == 1 {
			return notRunAnswer(NotRun), true, nil
		}
		return ranAnswer(200, "ok"), true, nil
	}
	send := func() *failure.Error {
		r := f.request("/stock/1")
		r.Key = withKey("limited-key")
		return f.g.Execute(context.Background(), r, &memorySink{})
	}
	allowed := int(quota.Bound{Window: 2 * time.Second}.Allowed(*rec.Teams[2].Quota))
	served, refused := 0, 0
	for range allowed + 3 {
		switch got := send(); {
		case got == nil:
			served++
		case got.Code == failure.OverQuota && got.Outcome == failure.NotRun && got.RetryAfter > 0:
			refused++
		default:
			t.Fatalf("ended with %v", got)
		}
	}
	if served != allowed || refused != 3 {
		t.Errorf("%d served and %d refused, %d are allowed", served, refused, allowed)
	}
}
