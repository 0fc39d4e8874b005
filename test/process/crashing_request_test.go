package process_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/adapter/operatorhttp"
	"github.com/sesamefork/sesamefork/internal/standin"
)

// Figures of a request that crashes the stand-ins that run it.
const (
	crashMark   = "crash-the-server"
	repeatEvery = 150 * time.Millisecond
	awayFor     = time.Second // of a stand-in that crashed
	// crashesNeeded, repeatsAllowed and knownAfter are the promise: after so many ends, and
	// this long, no more repeats reach servers than allowed.
	crashesNeeded  = 3
	repeatsAllowed = 3
	knownAfter     = 6 * time.Second
	repeatsFor     = 10 * time.Second
)

// keeper starts stand-ins again that crashed, and notes when they did.
type keeper struct {
	mu   sync.Mutex
	ends []time.Time
	wg   sync.WaitGroup
}

func (k *keeper) keep(ctx context.Context, f *fleet, name string) {
	k.wg.Add(1)
	go func() {
		defer k.wg.Done()
		for ctx.Err() == nil {
			st, err := f.proc(name).Process.Wait()
			if err != nil || st.ExitCode() != standin.ExitCrashed {
				return // the test ends it
			}
			k.mu.Lock()
			k.ends = append(k.ends, time.Now())
			k.mu.Unlock()
			select {
			case <-time.After(awayFor):
				f.restart(name)
			case <-ctx.Done():
			}
		}
	}()
}

func (k *keeper) crashes() []time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]time.Time(nil), k.ends...)
}

// TestCrashingRequestIsQuarantined repeats one request at random entry hosts that ends each
// stand-in that begins to run it, by both kinds of servers and with and without a stream. Any
// host that had not seen it took it for a new one, and sent it to the next server.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for i, c := range []struct{ name, path, body string }{
		{"chat", "/v1/chat/completions", `{"model":"chat","max_tokens":20,"messages":[{"role":"user","content":"` + crashMark + `"}]}`},
		{"stream", "/v1/chat/completions", `{"model":"chat","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"` + crashMark + `"}]}`},
		{"service", "/v1/services/shop/lookup", `{"reference":"` + crashMark + `"}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := threeRegions(60 + i)
			s.crashOn = crashMark
			f := newFleet(t, s)
			ctx, cancel := context.WithCancel(context.Background())
			k := &keeper{}
			for _, d := range f.domains {
				for n := range s.engines {
					k.keep(ctx, f, fmt.Sprintf("%s-engine%d", d, n+1))
				}
				k.keep(ctx, f, d+"-shop")
			}
			answers := f.repeat(ctx, c.path, c.body, k)
			defer cancel()
			ends := k.crashes()
			if len(ends) < crashesNeeded {
				t.Fatalf("%d stand-ins crashed: the test shows nothing; answers %v", len(ends), answers)
			}
			late := 0
			for _, at := range ends {
				if at.After(ends[crashesNeeded-1].Add(knownAfter)) {
					late++
				}
			}
			t.Logf("%d stand-ins crashed, %d of them %s after the third; answers %v", len(ends), late, knownAfter, answers)
			if late > repeatsAllowed {
				t.Errorf("%d stand-ins crashed %s after the third had", late, knownAfter)
			}
			if answers["quarantined-request"] == 0 {
				t.Error("no answer says that the request is quarantined")
			}
			f.checkRestartAndLift(c.path, c.body, k)
		})
	}
}

// repeat sends the request again and again until some time after the third crash, and returns
// how often it was answered with each problem.
func (f *fleet) repeat(ctx context.Context, path, body string, k *keeper) map[string]int {
	var mu sync.Mutex
	answers := map[string]int{}
	var wg sync.WaitGroup
	deadline := time.Now().Add(patience)
	for time.Now().Before(deadline) {
		if ends := k.crashes(); len(ends) >= crashesNeeded && time.Since(ends[crashesNeeded-1]) > repeatsFor {
			break
		}
		h := f.hosts[rand.Intn(len(f.hosts))]
		wg.Add(1)
		go func() {
			defer wg.Done()
			kind := f.ask(ctx, h.url()+path, body)
			mu.Lock()
			answers[kind]++
			mu.Unlock()
		}()
		time.Sleep(repeatEvery)
	}
	wg.Wait()
	return answers
}

// ask makes one request and returns the problem that it was answered with.
func (f *fleet) ask(ctx context.Context, url, body string) string {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+teamKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	_, rest, ok := strings.Cut(string(data), "urn:sesamefork:problem:")
	if !ok {
		return fmt.Sprintf("status %d", resp.StatusCode)
	}
	return rest[:strings.IndexAny(rest, `"`)]
}

// checkRestartAndLift checks that an entry host that starts again refuses the request too, and
// that it is let through once an operator has lifted its quarantine.
func (f *fleet) checkRestartAndLift(path, body string, k *keeper) {
	f.t.Helper()
	h := f.hosts[0]
	f.kill(h.id)
	f.restart(h.id)
	f.awaitHost(h)
	f.await("the restarted host refuses", func() bool {
		return f.ask(context.Background(), h.url()+path, body) == "quarantined-request"
	})
	var list []operatorhttp.Suspect
	if err := f.ctl.Do(context.Background(), http.MethodGet, "/v1/quarantine", nil, &list); err != nil || len(list) != 1 {
		f.t.Fatalf("listed: %+v, %v", list, err)
	}
	if s := list[0]; s.Verdict != "quarantined" || s.Crashes < crashesNeeded || s.Team != "free" {
		f.t.Errorf("listed: %+v", s)
	}
	if err := f.ctl.Do(context.Background(), http.MethodDelete, "/v1/quarantine/"+list[0].Fingerprint, nil, nil); err != nil {
		f.t.Fatal(err)
	}
	before := len(k.crashes())
	f.await("the request is let through", func() bool {
		f.ask(context.Background(), h.url()+path, body)
		return len(k.crashes()) > before
	})
}
