package entry

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/sesamefork/sesamefork/internal/adapter/metrics"
	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

var signer = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{7}, ed25519.SeedSize))

// blob signs a record.
func blob(version uint64, raw string) *pb.ConfigBlob {
	s := &pb.ConfigStamp{Generation: 1, Version: version, Digest: configstate.Digest([]byte(raw))}
	return &pb.ConfigBlob{Stamp: s, Record: []byte(raw), Signature: configstate.Sign(signer, s)}
}

var zeros = strings.Repeat("0", 64)

// testRecord has two regions; the ledger of region r has one replica, this host.
func testRecord() string {
	return fmt.Sprintf(`{"schema_version":2,"regions":[{"name":"r","failure_domains":["f"]},{"name":"q","failure_domains":["g"]}],
"hosts":[{"id":"h","region":"r","failure_domain":"f","peer":"127.0.0.1:1","caller":"http://127.0.0.1:2"},
{"id":"k","region":"q","failure_domain":"g","peer":"127.0.0.2:1","caller":"http://127.0.0.2:2"}],
"teams":[{"name":"t","home":"r","key_hashes":[%q]},{"name":"bound","home":"q","kind":"bound"}],
"models":[{"name":"m"}],"services":[{"name":"shop","non_idempotent":true}],
"residency":[{"kind":"default"},{"kind":"bound","home_only":true}],
"operators":[{"name":"o","key_hashes":[%q]}],"policy":{"retry_budget":1}}`, zeros, strings.Repeat("1", 64))
}

// attemptResult is the scripted result of one attempt at a backend server.
type attemptResult struct {
	dialFails bool   // the connection fails
	lost      bool   // sent, then the connection breaks
	refused   bool   // the server reports that it did not start the request
	body      string // the part of the answer that arrives
	broken    bool   // the body breaks off
	stream    bool
	status    int  // 200 when 0
	openEnded bool // the answer has neither a length nor chunks
}

// fakeBackends returns scripted results, the last one repeatedly, and counts executed requests.
type fakeBackends struct {
	mu       sync.Mutex
	script   []attemptResult
	calls    []port.BackendCall
	executed int
}

var errBroken = failure.New(failure.BackendLost, failure.Unknown, "connection reset")

func (f *fakeBackends) Do(_ context.Context, c port.BackendCall) (*port.BackendAnswer, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := min(len(f.calls), len(f.script)-1)
	f.calls = append(f.calls, c)
	s := f.script[n]
	switch {
	case s.dialFails:
		return nil, false, failure.New(failure.BackendLost, failure.NotRun, "connection refused")
	case s.refused:
		return &port.BackendAnswer{Status: http.StatusServiceUnavailable, Refused: true, Body: io.NopCloser(strings.NewReader(""))}, true, nil
	}
	f.executed++
	if s.lost {
		return nil, true, errBroken
	}
	h := http.Header{"Content-Type": {"application/json"}}
	if s.stream {
		h.Set("Content-Type", eventStream)
	}
	var body io.Reader = strings.NewReader(s.body)
	if s.broken {
		body = io.MultiReader(body, brokenReader{})
	}
	status := http.StatusOK
	if s.status != 0 {
		status = s.status
	}
	return &port.BackendAnswer{Status: status, Header: h, Body: io.NopCloser(body), OpenEnded: s.openEnded}, true, nil
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errBroken }

// noPeers is a network without other hosts.
type noPeers struct{}

func (noPeers) Call(context.Context, string, *pb.Request) (*pb.Response, error) {
	return nil, failure.New(failure.PeerUnreachable, failure.NotRun, "no network")
}

func (noPeers) Open(context.Context, string, *pb.Request, []byte) (port.ForwardStream, bool, error) {
	return nil, false, failure.New(failure.PeerUnreachable, failure.NotRun, "no network")
}

// memorySink records an answer.
type memorySink struct {
	head Head
	body bytes.Buffer
}

func (s *memorySink) Head(h Head) error {
	s.head = h
	return nil
}

func (s *memorySink) Data(b []byte) error {
	s.body.Write(b)
	return nil
}

// newTestHost returns a ready host with three engines and three service servers, whose ledger
// replica is active.
func newTestHost(t *testing.T, b port.Backends, peers port.Peers, edit ...func(*Options)) *Host {
	t.Helper()
	o := Options{
		ID: "h", Region: "r", FailureDomain: "f", VerifyKey: signer.Public().(ed25519.PublicKey),
		ProbeInterval: time.Second, UpdateInterval: time.Second, SummaryInterval: time.Second, Lease: time.Hour, StallTimeout: time.Minute,
		MaxBody: 1 << 20, MaxExplained: 100, Peers: peers, Backends: b, Clock: port.SystemClock{},
		Log: logr.Discard(), Metrics: metrics.New(false), Tracer: noop.NewTracerProvider().Tracer(""),
	}
	for _, e := range edit {
		e(&o)
	}
	h := New(o)
	if err := h.install(blob(1, testRecord())); err != nil {
		t.Fatal(err)
	}
	h.peersQueried.Store(true)
	h.ledger.tick(context.Background())
	for i, kind := range []string{"engine", "engine", "engine", "service", "service", "service"} {
		name := map[string]string{"engine": "m", "service": "shop"}[kind]
		h.Announce(&pb.BackendState{
			Id: fmt.Sprint("s", i), Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Kind: kind, Models: []string{name},
			Slots: 100, Incarnation: 1, Sequence: 1, PrefillRate: 1000,
		})
	}
	return h
}

func order(key string) *Request {
	return &Request{
		ID: NewID(), Team: "t", Weight: 1, Target: "shop", Service: true, Method: http.MethodPost, URI: "/orders",
		Body: []byte(`{"reference":"a"}`), Key: key, IssuedMS: time.Now().UnixMilli() + 60_000, Deadline: time.Now().Add(time.Minute),
	}
}

func chat(stream bool) *Request {
	return &Request{
		ID: NewID(), Team: "t", Weight: 1, Target: "m", Method: http.MethodPost, URI: "/v1/chat/completions",
		Idempotent: true, Stream: stream, Deadline: time.Now().Add(time.Minute),
	}
}

const (
	completeAnswer = `{"answer":1}`
	event1         = "data: {\"t\":1}\n\n"
	event2         = "data: {\"t\":2}\n\n"
	lastEvent      = "data: [DONE]\n\n"
)

// TestOutcomes checks the contract with callers for each point at which an attempt can fail,
// for orders (not idempotent), chats and streams: the outcome that the caller receives, the
// number of attempts and of executions, and what a resend with the same key receives.
func TestOutcomes(t *testing.T) {
	ok := attemptResult{body: completeAnswer}
	streamed := func(events ...string) attemptResult {
		return attemptResult{stream: true, body: strings.Join(events, "")}
	}
	brokenStream := func(events ...string) attemptResult {
		s := streamed(events...)
		s.broken = true
		return s
	}
	for _, c := range []struct {
		name     string
		request  func() *Request
		script   []attemptResult
		outcome  failure.Outcome
		body     string
		attempts int
		executed int
		resend   failure.Outcome // outcome of a resend with the same key; "" if not tested
	}{
		{"order answered", func() *Request { return order("k") }, []attemptResult{ok}, failure.Done, completeAnswer, 1, 1, failure.Done},
		{"order, first server not reached", func() *Request { return order("k") }, []attemptResult{{dialFails: true}, ok}, failure.Done, completeAnswer, 2, 1, failure.Done},
		{"order, first server refuses", func() *Request { return order("k") }, []attemptResult{{refused: true}, ok}, failure.Done, completeAnswer, 2, 1, failure.Done},
		{"order, none reached", func() *Request { return order("k") }, []attemptResult{{dialFails: true}}, failure.NotRun, "", 3, 0, failure.NotRun},
		{"order, all refuse", func() *Request { return order("k") }, []attemptResult{{refused: true}}, failure.NotRun, "", 3, 0, failure.NotRun},
		{"order sent, connection lost", func() *Request { return order("k") }, []attemptResult{{lost: true}, ok}, failure.Unknown, "", 1, 1, failure.Unknown},
		{"order, answer breaks off", func() *Request { return order("k") }, []attemptResult{{body: "{", broken: true}, ok}, failure.Unknown, "", 1, 1, failure.Unknown},
		{"order, open-ended answer ends before its first byte", func() *Request { return order("k") }, []attemptResult{{openEnded: true}, ok}, failure.Unknown, "", 1, 1, failure.Unknown},
		{"order, open-ended answer", func() *Request { return order("k") }, []attemptResult{{body: completeAnswer, openEnded: true}}, failure.Done, completeAnswer, 1, 1, failure.Done},
		{"order, answer without a body by its status", func() *Request { return order("k") }, []attemptResult{{status: http.StatusNoContent, openEnded: true}}, failure.Done, "", 1, 1, failure.Done},
		{"chat, open-ended answer ends before its first byte", func() *Request { return chat(false) }, []attemptResult{{openEnded: true}, ok}, failure.Done, completeAnswer, 2, 2, ""},
		{"chat answered", func() *Request { return chat(false) }, []attemptResult{ok}, failure.Done, completeAnswer, 1, 1, ""},
		{"chat, connection lost", func() *Request { return chat(false) }, []attemptResult{{lost: true}, ok}, failure.Done, completeAnswer, 2, 2, ""},
		{"chat, answer breaks off", func() *Request { return chat(false) }, []attemptResult{{body: "{", broken: true}, ok}, failure.Done, completeAnswer, 2, 2, ""},
		{"chat, always lost", func() *Request { return chat(false) }, []attemptResult{{lost: true}}, failure.Unknown, "", 3, 3, ""},
		{"chat lost, then refused", func() *Request { return chat(false) }, []attemptResult{{lost: true}, {refused: true}}, failure.Unknown, "", 3, 1, ""},
		{"chat lost, then none reached", func() *Request { return chat(false) }, []attemptResult{{lost: true}, {dialFails: true}}, failure.Unknown, "", 3, 1, ""},
		{"chat, none reached", func() *Request { return chat(false) }, []attemptResult{{dialFails: true}}, failure.NotRun, "", 3, 0, ""},
		{"stream", func() *Request { return chat(true) }, []attemptResult{streamed(event1, event2, lastEvent)}, failure.Done, event1 + event2 + lastEvent, 1, 1, ""},
		{"stream breaks off, resumed", func() *Request { return chat(true) }, []attemptResult{brokenStream(event1), streamed(event2, lastEvent)}, failure.Done, event1 + event2 + lastEvent, 2, 2, ""},
		{"stream ends early, resumed", func() *Request { return chat(true) }, []attemptResult{streamed(event1), streamed(event2, lastEvent)}, failure.Done, event1 + event2 + lastEvent, 2, 2, ""},
		{"stream breaks inside an event", func() *Request { return chat(true) }, []attemptResult{brokenStream(event1, "data: {\"t"), streamed(event2, lastEvent)}, failure.Done, event1 + event2 + lastEvent, 2, 2, ""},
		{"stream resumed after a refusal", func() *Request { return chat(true) }, []attemptResult{brokenStream(event1), {refused: true}, streamed(event2, lastEvent)}, failure.Done, event1 + event2 + lastEvent, 3, 2, ""},
		{"stream breaks off, next answers an error", func() *Request { return chat(true) }, []attemptResult{brokenStream(event1), {status: 404, body: completeAnswer}, streamed(event2, lastEvent)}, failure.Done, event1 + event2 + lastEvent, 3, 3, ""},
		{"stream breaks off, next answers no stream", func() *Request { return chat(true) }, []attemptResult{brokenStream(event1), ok, streamed(event2, lastEvent)}, failure.Done, event1 + event2 + lastEvent, 3, 3, ""},
		{"error instead of a stream", func() *Request { return chat(true) }, []attemptResult{{status: 404, body: completeAnswer}}, failure.Done, completeAnswer, 1, 1, ""},
		{"stream instead of one answer", func() *Request { return chat(false) }, []attemptResult{streamed(event1, lastEvent)}, failure.Done, event1 + lastEvent, 1, 1, ""},
		{"stream always breaks off", func() *Request { return chat(true) }, []attemptResult{brokenStream(event1), brokenStream(event2), brokenStream()}, failure.Unknown, event1 + event2, 3, 3, ""},
		{"end of the stream sent twice", func() *Request { return chat(true) }, []attemptResult{streamed(event1, lastEvent, event2, lastEvent)}, failure.Done, event1 + lastEvent, 1, 1, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &fakeBackends{script: c.script}
			h := newTestHost(t, b, noPeers{})
			sink := &memorySink{}
			check(t, h.Execute(context.Background(), c.request(), sink), c.outcome)
			if got := sink.body.String(); got != c.body {
				t.Errorf("answer %q, want %q", got, c.body)
			}
			if len(b.calls) != c.attempts || b.executed != c.executed {
				t.Errorf("%d attempts and %d executions, want %d and %d", len(b.calls), b.executed, c.attempts, c.executed)
			}
			if c.resend == "" {
				return
			}
			again := &memorySink{}
			check(t, h.Execute(context.Background(), c.request(), again), c.resend)
			if c.outcome != failure.NotRun && b.executed != c.executed {
				t.Errorf("the resend ran the work again: %d executions", b.executed)
			}
			if got := again.body.String(); c.resend == failure.Done && got != c.body {
				t.Errorf("the resend got %q, want %q", got, c.body)
			}
		})
	}
}

func check(t *testing.T, f *failure.Error, want failure.Outcome) {
	t.Helper()
	got := failure.Done
	if f != nil {
		got = f.Outcome
	}
	if got != want {
		t.Errorf("outcome %q (%v), want %q", got, f, want)
	}
}

func TestResumeAsksForTheRest(t *testing.T) {
	b := &fakeBackends{script: []attemptResult{
		{stream: true, body: event1, broken: true}, {stream: true, body: event2 + lastEvent},
	}}
	h := newTestHost(t, b, noPeers{})
	check(t, h.Execute(context.Background(), chat(true), &memorySink{}), failure.Done)
	if b.calls[0].ResumeTokens != 0 || b.calls[1].ResumeTokens != 1 {
		t.Errorf("resumed from %d and %d, want 0 and 1", b.calls[0].ResumeTokens, b.calls[1].ResumeTokens)
	}
	if b.calls[0].AttemptID == b.calls[1].AttemptID {
		t.Error("two attempts share an ID")
	}
}

// TestAnswerTooLargeToKeep resends an order whose answer was over the limit: the caller must
// receive the outcome "done", and no truncated answer that looks complete.
func TestAnswerTooLargeToKeep(t *testing.T) {
	large := strings.Repeat("x", 300<<10)
	b := &fakeBackends{script: []attemptResult{{body: large}}}
	h := newTestHost(t, b, noPeers{})
	first := &memorySink{}
	check(t, h.Execute(context.Background(), order("k"), first), failure.Done)
	if first.body.String() != large {
		t.Errorf("the first answer has %d bytes", first.body.Len())
	}
	f := h.Execute(context.Background(), order("k"), &memorySink{})
	if f == nil || f.Code != failure.AnswerNotKept || f.Outcome != failure.Done || b.executed != 1 {
		t.Errorf("the resend: %v, %d executions", f, b.executed)
	}
}

func TestKeyReusedForAnotherRequest(t *testing.T) {
	b := &fakeBackends{script: []attemptResult{{body: completeAnswer}}}
	h := newTestHost(t, b, noPeers{})
	check(t, h.Execute(context.Background(), order("k"), &memorySink{}), failure.Done)
	other := order("k")
	other.Body = []byte(`{"reference":"b"}`)
	f := h.Execute(context.Background(), other, &memorySink{})
	if f == nil || f.Code != failure.KeyReused || f.Outcome != failure.NotRun {
		t.Errorf("got %v, want %s", f, failure.KeyReused)
	}
}

func TestKeyWithoutIssueTimeIsTooOldAfterRestart(t *testing.T) {
	b := &fakeBackends{script: []attemptResult{{body: completeAnswer}}}
	h := newTestHost(t, b, noPeers{})
	r := order("k")
	r.IssuedMS = 0
	f := h.Execute(context.Background(), r, &memorySink{})
	if f == nil || f.Code != failure.LedgerForgot || f.Outcome != failure.Unknown || b.executed != 0 {
		t.Errorf("got %v with %d executions", f, b.executed)
	}
}

// TestGeneratedKeyIsNeverTooOld sends an order without a key to a host whose ledger's records
// begin in the future.
func TestGeneratedKeyIsNeverTooOld(t *testing.T) {
	b := &fakeBackends{script: []attemptResult{{body: completeAnswer}}}
	h := newTestHost(t, b, noPeers{}, func(o *Options) { o.Skew = time.Minute })
	r := order("")
	r.IssuedMS = 0
	check(t, h.Execute(context.Background(), r, &memorySink{}), failure.Done)
}

// TestPrefixesAreSentOnce announces the same cached prefixes repeatedly: each must be sent
// once between two updates with all prefixes.
func TestPrefixesAreSentOnce(t *testing.T) {
	h := newTestHost(t, &fakeBackends{}, noPeers{})
	passed := map[int]int{}
	for i := range 2 * allPrefixesEvery {
		st := &pb.BackendState{Id: "p", Address: "127.0.0.1:1", Kind: "engine", Models: []string{"m"}, Slots: 1, Incarnation: 1, Sequence: uint64(i + 1), Prefixes: []uint64{1, 2, 3}}
		if i == 5 {
			st.Prefixes = []uint64{2, 3, 4}
		}
		h.Announce(st)
		for _, s := range h.domainUpdate().Servers {
			if s.Id == "p" && len(s.Prefixes) > 0 {
				passed[i] = len(s.Prefixes)
			}
		}
		if again := h.domainUpdate(); len(again.Servers) > 0 {
			t.Fatalf("announcement %d was passed on twice", i)
		}
	}
	if len(passed) != 3 || passed[0] != 3 || passed[5] != 1 || passed[allPrefixesEvery] != 3 {
		t.Errorf("prefixes passed on with announcements %v, want 3 with the first, 1 with the sixth, 3 with number %d", passed, allPrefixesEvery)
	}
}

// recordingPeers records the forwards that this host would open.
type recordingPeers struct {
	noPeers
	mu     sync.Mutex
	opened []string
	bytes  int
}

func (p *recordingPeers) Open(_ context.Context, addr string, _ *pb.Request, body []byte) (port.ForwardStream, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened = append(p.opened, addr)
	p.bytes += len(body)
	return nil, false, failure.New(failure.PeerUnreachable, failure.NotRun, "no network")
}

// addRemoteDomain gives the host the summary of a failure domain with large capacity in another
// region.
func addRemoteDomain(h *Host) {
	h.mergeSummaries(&pb.SummaryUpdate{Summaries: []*pb.Summary{{
		FailureDomain: "g", Region: "q", Sequence: 1, Hosts: []string{"k"},
		Models: []*pb.ModelSummary{{Name: "engine/m", Servers: 100, Slots: 1000, ServiceMs: 10}, {Name: "service/shop", Servers: 10, Slots: 1000, ServiceMs: 10}},
	}}})
}

// TestResidencyIsAskedBySenderAndReceiver changes the rules between the choice of a place and
// the forward, and sends a forward to a host whose rules forbid it.
func TestResidencyIsAskedBySenderAndReceiver(t *testing.T) {
	p := &recordingPeers{}
	h := newTestHost(t, &fakeBackends{script: []attemptResult{{dialFails: true}}}, p)
	addRemoteDomain(h)
	r := chat(false)
	x := &execution{r: r, view: h.config.Load(), permitted: []string{"q", "r"}, sink: &memorySink{}, avoid: map[string]bool{}, explain: h.explained.start(r, h.o)}
	for i := range 3 {
		x.avoid[fmt.Sprint("s", i)] = true
	}
	place, f := h.acquire(context.Background(), x)
	if f != nil || place.Domain != "g" {
		t.Fatalf("place %+v, %v; want failure domain g", place, f)
	}
	stricter := strings.Replace(testRecord(), `{"kind":"default"}`, `{"kind":"default","regions":["r"]}`, 1)
	if err := h.install(blob(2, stricter)); err != nil {
		t.Fatal(err)
	}
	res := h.attempt(context.Background(), x, place)
	if res.err == nil || res.err.Code != failure.Residency || len(p.opened) > 0 {
		t.Errorf("result %v, %d forwards opened", res.err, len(p.opened))
	}
	// The receiver's rules bind the forwarded request to another region.
	in := h.forwardedRequest(h.config.Load(), &pb.Forward{AttemptId: "a", Path: []string{"k"}, Team: "bound", Model: "m", Method: "POST"}, nil)
	if f := h.Execute(context.Background(), in, &memorySink{}); f == nil || f.Code != failure.Residency {
		t.Errorf("the receiver took a request that its rules forbid: %v", f)
	}
}

func TestRequestThatMayNotBeHereIsSentAway(t *testing.T) {
	h := newTestHost(t, &fakeBackends{script: []attemptResult{{body: completeAnswer}}}, noPeers{})
	addRemoteDomain(h)
	r := chat(false)
	r.Team = "bound"
	f := h.Execute(context.Background(), r, &memorySink{})
	if f == nil || f.Code != failure.Residency || f.Outcome != failure.NotRun {
		t.Fatalf("got %v", f)
	}
	if len(f.EntryHosts) != 1 || f.EntryHosts[0] != "http://127.0.0.2:2" {
		t.Errorf("entry hosts %v, want the one of region q", f.EntryHosts)
	}
}

func TestInstallRefusesWhatIsNotNewerWholeAndSigned(t *testing.T) {
	h := newTestHost(t, &fakeBackends{}, noPeers{})
	good := blob(2, testRecord())
	for _, c := range []struct {
		name string
		edit func(*pb.ConfigBlob)
		code failure.Code
	}{
		{"same version", func(b *pb.ConfigBlob) { b.Stamp.Version = 1 }, failure.VersionConflict},
		{"older generation", func(b *pb.ConfigBlob) { b.Stamp.Generation = 0 }, failure.VersionConflict},
		{"cut short", func(b *pb.ConfigBlob) { b.Record = b.Record[:len(b.Record)-1] }, failure.EvidenceInvalid},
		{"not signed", func(b *pb.ConfigBlob) { b.Signature = nil }, failure.EvidenceInvalid},
		{"signed for another version", func(b *pb.ConfigBlob) { b.Stamp.Version = 3 }, failure.EvidenceInvalid},
		{"delta to another base", func(b *pb.ConfigBlob) {
			b.Delta = &pb.ConfigDelta{Prefix: 1 << 20, Suffix: 1}
		}, failure.EvidenceInvalid},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := blob(2, testRecord())
			c.edit(b)
			if err := h.install(b); !failure.Is(err, c.code) {
				t.Errorf("got %v, want %s", err, c.code)
			}
			if h.Stamp().Version != 1 {
				t.Errorf("version %d in force", h.Stamp().Version)
			}
		})
	}
	if err := h.install(good); err != nil || h.Stamp().Version != 2 {
		t.Errorf("the valid configuration was refused: %v", err)
	}
}

func TestForwardedTwiceIsRefused(t *testing.T) {
	for _, path := range [][]string{{"a", "b"}, {"h"}, {}} {
		h := newTestHost(t, &fakeBackends{}, noPeers{})
		f := h.checkPath(path)
		if f == nil || f.Code != failure.Circulating || f.Outcome != failure.NotRun {
			t.Errorf("path %v: %v", path, f)
		}
	}
}
