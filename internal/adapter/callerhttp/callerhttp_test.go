package callerhttp_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"go.opentelemetry.io/otel/trace/noop"
	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/adapter/backendhttp"
	"github.com/sesamefork/sesamefork/internal/adapter/callerhttp"
	"github.com/sesamefork/sesamefork/internal/adapter/enginehttp"
	"github.com/sesamefork/sesamefork/internal/adapter/logging"
	"github.com/sesamefork/sesamefork/internal/adapter/metrics"
	"github.com/sesamefork/sesamefork/internal/adapter/problem"
	"github.com/sesamefork/sesamefork/internal/app/entry"
	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
	"github.com/sesamefork/sesamefork/internal/standin"
)

var signer = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{7}, ed25519.SeedSize))

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// configPeer is a peer that only serves the configuration.
type configPeer struct{ blob *pb.ConfigBlob }

func (p configPeer) Call(_ context.Context, _ string, req *pb.Request) (*pb.Response, error) {
	if req.GetConfigFetch() != nil {
		return &pb.Response{Body: &pb.Response_Config{Config: p.blob}}, nil
	}
	return nil, failure.New(failure.PeerUnreachable, failure.NotRun, "no network")
}

func (configPeer) Open(context.Context, string, *pb.Request, []byte) (port.ForwardStream, bool, error) {
	return nil, false, failure.New(failure.PeerUnreachable, failure.NotRun, "no network")
}

// testHost is an entry host with a simulated engine.
type testHost struct {
	url    string
	server *httptest.Server
	engine *httptest.Server
	logs   bytes.Buffer
	m      *metrics.Set
}

const secretMarker = "MARKER-of-a-private-letter"

func newTestHost(tb testing.TB, decode time.Duration) *testHost {
	tb.Helper()
	raw := fmt.Sprintf(`{"schema_version":2,"regions":[{"name":"r","failure_domains":["f"]}],
"hosts":[{"id":"h","region":"r","failure_domain":"f","peer":"127.0.0.1:1","caller":"http://127.0.0.1:2"}],
"teams":[{"name":"t","home":"r","key_hashes":[%q]}],"models":[{"name":"m"}],"services":[{"name":"shop","non_idempotent":true}],
"residency":[{"kind":"default"}],"operators":[{"name":"o","key_hashes":[%q]}],"backend_key_hashes":[%q]}`,
		hash("team"), hash("operator"), hash("backend"))
	stamp := &pb.ConfigStamp{Generation: 1, Version: 1, Digest: configstate.Digest([]byte(raw))}
	b := &testHost{m: metrics.New(false)}
	log := logging.New(&b.logs, 2)
	if _, ok := tb.(*testing.B); ok {
		log = logr.Discard()
	}
	host := entry.New(entry.Options{
		ID: "h", Region: "r", FailureDomain: "f", Seeds: []string{"seed"}, VerifyKey: signer.Public().(ed25519.PublicKey),
		ProbeInterval: time.Hour, UpdateInterval: time.Hour, SummaryInterval: time.Hour, Lease: time.Hour, StallTimeout: time.Minute,
		MaxBody: 1 << 20, MaxExplained: 100, Peers: configPeer{&pb.ConfigBlob{Stamp: stamp, Record: []byte(raw), Signature: configstate.Sign(signer, stamp)}},
		Backends: enginehttp.New(), Clock: port.SystemClock{}, Log: log, Metrics: b.m, Tracer: noop.NewTracerProvider().Tracer(""),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = host.Run(ctx)
	}()
	router := mux.NewRouter().SkipClean(true)
	backendhttp.Mount(router, host)
	callerhttp.Mount(router, host, callerhttp.Limits{MaxBodyBytes: 64 << 10, BodyTimeout: 300 * time.Millisecond}, log)
	srv := httptest.NewServer(router)
	b.url, b.server = srv.URL, srv
	er := mux.NewRouter()
	standin.NewEngine(standin.EngineOptions{ID: "e", Models: []string{"m"}, Slots: 10_000, PrefillRate: 1e9, Decode: decode, CacheBlocks: 100}).Mount(er)
	b.engine = httptest.NewServer(er)
	tb.Cleanup(func() {
		srv.Close()
		b.engine.Close()
		cancel()
		<-done
	})
	for resp, err := http.Get(b.url + "/readyz"); err != nil || resp.StatusCode != http.StatusOK; resp, err = http.Get(b.url + "/readyz") {
		time.Sleep(time.Millisecond)
	}
	b.announce(tb)
	return b
}

func (b *testHost) announce(tb testing.TB) {
	tb.Helper()
	a := backendhttp.Announcement{Address: strings.TrimPrefix(b.engine.URL, "http://"), Kind: "engine", Models: []string{"m"}, Slots: 10_000, Incarnation: 1, Sequence: 1}
	data, _ := json.Marshal(a)
	resp := b.do(tb, http.MethodPost, "/v1/backend-servers/e/announcement", "backend", string(data), nil)
	if resp.StatusCode != http.StatusOK {
		tb.Fatalf("announcement: %d", resp.StatusCode)
	}
}

func (b *testHost) do(tb testing.TB, method, path, key, body string, header map[string]string) *http.Response {
	tb.Helper()
	req, err := http.NewRequest(method, b.url+path, strings.NewReader(body))
	if err != nil {
		tb.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for n, v := range header {
		req.Header.Set(n, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

const goodChat = `{"model":"m","max_tokens":3,"messages":[{"role":"user","content":"` + secretMarker + `"}]}`

// TestInvalidRequests specifies the response to each kind of invalid request: a problem
// document with the code, and an outcome that excludes a run.
func TestInvalidRequests(t *testing.T) {
	b := newTestHost(t, 0)
	for _, c := range []struct {
		name, method, path, key, body string
		header                        map[string]string
		status                        int
		code                          failure.Code
	}{
		{"no key", "POST", "/v1/chat/completions", "", goodChat, nil, 401, failure.Unauthorized},
		{"unknown key", "POST", "/v1/chat/completions", "x", goodChat, nil, 401, failure.Unauthorized},
		{"operator's key", "POST", "/v1/chat/completions", "operator", goodChat, nil, 401, failure.Unauthorized},
		{"backend server's key", "POST", "/v1/chat/completions", "backend", goodChat, nil, 401, failure.Unauthorized},
		{"not JSON", "POST", "/v1/chat/completions", "team", "{", nil, 400, failure.BadRequest},
		{"no model", "POST", "/v1/chat/completions", "team", `{"messages":[{}]}`, nil, 400, failure.BadRequest},
		{"no messages", "POST", "/v1/chat/completions", "team", `{"model":"m"}`, nil, 400, failure.BadRequest},
		{"unknown model", "POST", "/v1/chat/completions", "team", `{"model":"q","prompt":"x"}`, nil, 404, failure.UnknownModel},
		{"unknown service", "POST", "/v1/services/none/x", "team", "", nil, 404, failure.UnknownService},
		{"unknown kind", "POST", "/v1/chat/completions", "team", goodChat, map[string]string{"Sesame-Kind": "secret"}, 400, failure.BadRequest},
		{"deadline", "POST", "/v1/chat/completions", "team", goodChat, map[string]string{"Sesame-Deadline-Ms": "soon"}, 400, failure.BadRequest},
		{"priority", "POST", "/v1/chat/completions", "team", goodChat, map[string]string{"Sesame-Priority": "11"}, 400, failure.BadRequest},
		{"issue time in the future", "POST", "/v1/services/shop/x", "team", "", map[string]string{"Sesame-Key-Issued-Ms": "99999999999999"}, 400, failure.BadRequest},
		{"body over the limit", "POST", "/v1/chat/completions", "team", strings.Repeat("x", 65<<10), nil, 413, failure.BodyTooLarge},
		{"unknown path", "GET", "/v2/x", "team", "", nil, 404, failure.NotFound},
		{"wrong method", "GET", "/v1/chat/completions", "team", "", nil, 404, failure.NotFound},
		{"explain with a caller's key", "GET", "/v1/explain/x", "team", "", nil, 401, failure.Unauthorized},
		{"announcement with a caller's key", "POST", "/v1/backend-servers/x/announcement", "team", "{}", nil, 401, failure.Unauthorized},
		{"announcement without address", "POST", "/v1/backend-servers/x/announcement", "backend", `{"kind":"engine","models":["m"],"slots":1}`, nil, 400, failure.BadRequest},
		{"no server for the service", "POST", "/v1/services/shop/x", "team", "", map[string]string{"Sesame-Key-Issued-Ms": fmt.Sprint(time.Now().UnixMilli() + 10_000)}, 503, failure.NoServer},
	} {
		t.Run(c.name, func(t *testing.T) {
			resp := b.do(t, c.method, c.path, c.key, c.body, c.header)
			var d problem.Document
			if err := json.NewDecoder(resp.Body).Decode(&d); err != nil {
				t.Fatal(err)
			}
			f, ok := d.Error()
			if !ok || f.Code != c.code || resp.StatusCode != c.status {
				t.Errorf("status %d, %+v; want %d %s", resp.StatusCode, d, c.status, c.code)
			}
			if resp.Header.Get("Content-Type") != problem.ContentType {
				t.Errorf("content type %q", resp.Header.Get("Content-Type"))
			}
			if f.Outcome != "" && f.Outcome != failure.NotRun {
				t.Errorf("outcome %q", f.Outcome)
			}
		})
	}
}

// TestHalfClosedConnection checks that a caller which closes its side of the connection
// after the request still receives the response.
func TestHalfClosedConnection(t *testing.T) {
	b := newTestHost(t, 0)
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer team\r\nConnection: close\r\n\r\n")
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	answer, _ := io.ReadAll(conn)
	if !strings.Contains(string(answer), `"id":"m"`) {
		t.Errorf("answer %.200q", answer)
	}
}

// TestSlowBody checks that a body which does not arrive completely within the timeout
// gets status 408.
func TestSlowBody(t *testing.T) {
	b := newTestHost(t, 0)
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer team\r\nContent-Length: 100\r\n\r\nhalf")
	answer, _ := io.ReadAll(conn)
	if !strings.Contains(string(answer), "408") || !strings.Contains(string(answer), string(failure.SlowBody)) {
		t.Errorf("answer %.200q", answer)
	}
}

func TestNoPromptTextAndNoKeysInLogsAndMetrics(t *testing.T) {
	b := newTestHost(t, 0)
	resp := b.do(t, "POST", "/v1/chat/completions", "team", goodChat, nil)
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
	b.do(t, "POST", "/v1/chat/completions", "team", strings.Replace(goodChat, `"m"`, `"unknown"`, 1), nil)
	b.do(t, "POST", "/v1/chat/completions", "team", secretMarker, nil)
	id := resp.Header.Get(callerhttp.HeaderRequestID)
	explained := b.do(t, "GET", "/v1/explain/"+id, "operator", "", nil)
	text, _ := io.ReadAll(explained.Body)
	if !strings.Contains(string(text), id) {
		t.Fatalf("explain: %s", text)
	}
	b.server.Close() // returns when the requests' lines are logged, which follow the answers
	if !strings.Contains(b.logs.String(), id) {
		t.Fatalf("the log does not contain the request ID: %s", b.logs.String())
	}
	for name, s := range map[string]string{"logs": b.logs.String(), "metrics": b.m.String(), "explain": string(text)} {
		for _, secret := range []string{secretMarker, "Bearer", hash("team")} {
			if strings.Contains(s, secret) {
				t.Errorf("%s hold %q", name, secret)
			}
		}
	}
}

// TestUnreadableKeyAndKindAreRefused guards against requests whose headers no message between hosts can carry.
func TestUnreadableKeyAndKindAreRefused(t *testing.T) {
	b := newTestHost(t, 0)
	for _, name := range []string{callerhttp.HeaderIdempotencyKey, callerhttp.HeaderKind} {
		resp := b.do(t, "POST", "/v1/chat/completions", "team", goodChat, map[string]string{name: "caf\xe9"})
		if resp.StatusCode != http.StatusBadRequest {
			t.Errorf("%s: answered with %d", name, resp.StatusCode)
		}
	}
}

func FuzzAnnouncement(f *testing.F) {
	f.Add("id", `{"address":"127.0.0.1:9","kind":"engine","models":["m"],"slots":4}`)
	f.Add("", `{"slots":-1}`)
	f.Add("i-\xff", `{"address":"127.0.0.1:9","kind":"engine","models":["m"],"slots":4}`)
	f.Fuzz(func(t *testing.T, id, body string) {
		var a backendhttp.Announcement
		if json.Unmarshal([]byte(body), &a) != nil {
			return
		}
		st, err := backendhttp.ParseAnnouncement(id, a)
		if (st == nil) == (err == nil) {
			t.Errorf("state %v, error %v", st, err)
		}
		if _, err := proto.Marshal(st); err != nil {
			t.Errorf("%q, %q cannot be encoded: %s", id, body, err)
		}
	})
}

// BenchmarkGatewayOverhead compares requests through the entry host with requests sent
// directly to the engine. The difference is the latency that the entry host adds.
func BenchmarkGatewayOverhead(b *testing.B) {
	w := newTestHost(b, 0)
	for _, c := range []struct{ name, url string }{{"direct", w.engine.URL}, {"through", w.url}} {
		b.Run(c.name, func(b *testing.B) {
			h := metrics.NewHistogram()
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
			b.ReportAllocs()
			for b.Loop() {
				h.Observe(timeRequest(b, client, c.url))
			}
			b.ReportMetric(float64(h.Percentile(50).Microseconds()), "p50-µs")
			b.ReportMetric(float64(h.Percentile(99).Microseconds()), "p99-µs")
		})
	}
}

// BenchmarkOpenLoop sends 1,000 requests per second in an open loop, directly to the
// engine and through the entry host.
func BenchmarkOpenLoop(b *testing.B) {
	const rate, seconds = 1000, 4
	w := newTestHost(b, 0)
	for _, c := range []struct{ name, url string }{{"direct", w.engine.URL}, {"through", w.url}} {
		b.Run(c.name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
			for b.Loop() {
				h := metrics.NewHistogram()
				var wg sync.WaitGroup
				began := time.Now()
				for i := range rate * seconds {
					time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / rate)))
					wg.Add(1)
					go func() {
						defer wg.Done()
						h.Observe(timeRequest(b, client, c.url))
					}()
				}
				wg.Wait()
				b.ReportMetric(float64(h.Percentile(50).Microseconds()), "p50-µs")
				b.ReportMetric(float64(h.Percentile(99).Microseconds()), "p99-µs")
			}
		})
	}
}

// timeRequest sends a short request and returns the time until its response is complete.
func timeRequest(b *testing.B, client *http.Client, url string) time.Duration {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(`{"model":"m","max_tokens":1,"prompt":"x"}`))
	if err != nil {
		b.Error(err)
		return 0
	}
	req.Header.Set("Authorization", "Bearer team")
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return time.Since(began)
}
