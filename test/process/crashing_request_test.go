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

// Parameters of a request that crashes the stand-ins that run it.
const (
	crashMark    = "crash-the-server"
	repeatEvery  = 150 * time.Millisecond
	restartDelay = time.Second // time until a crashed stand-in is restarted
	// Bounds of the guarantee: once crashesNeeded servers have crashed and propagationTime has
	// passed, at most repeatsAllowed repeats reach servers.
	crashesNeeded   = 3
	repeatsAllowed  = 3
	propagationTime = 6 * time.Second
	repeatsFor      = 10 * time.Second
)

// supervisor restarts crashed stand-ins, and records the times of their crashes.
type supervisor struct {
	mu         sync.Mutex
	crashTimes []time.Time
	wg         sync.WaitGroup
}

func (k *supervisor) supervise(ctx context.Context, f *fleet, name string) {
	k.wg.Add(1)
	go func() {
		defer k.wg.Done()
		for ctx.Err() == nil {
			st, err := f.proc(name).Process.Wait()
			if err != nil || st.ExitCode() != standin.ExitCrashed {
				return // the process was ended by the test
			}
			k.mu.Lock()
			k.crashTimes = append(k.crashTimes, time.Now())
			k.mu.Unlock()
			select {
			case <-time.After(restartDelay):
				f.restart(name)
			case <-ctx.Done():
			}
		}
	}()
}

func (k *supervisor) crashes() []time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]time.Time(nil), k.crashTimes...)
}

// TestCrashingRequestIsQuarantined repeats one request, which crashes each stand-in that begins to
// run it, at random entry hosts: for both kinds of servers, and with and without a stream. It
// guards against an entry host that has not seen the request before and forwards it to the next
// server like a new one.
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
			k := &supervisor{}
			for _, d := range f.domains {
				for n := range s.engines {
					k.supervise(ctx, f, fmt.Sprintf("%s-engine%d", d, n+1))
				}
				k.supervise(ctx, f, d+"-shop")
			}
			answers := f.repeat(ctx, c.path, c.body, k)
			defer cancel()
			crashes := k.crashes()
			if len(crashes) < crashesNeeded {
				t.Fatalf("%d stand-ins crashed: too few for the test to be conclusive; answers %v", len(crashes), answers)
			}
			late := 0
			for _, at := range crashes {
				if at.After(crashes[crashesNeeded-1].Add(propagationTime)) {
					late++
				}
			}
			t.Logf("%d stand-ins crashed, %d of them %s after the third; answers %v", len(crashes), late, propagationTime, answers)
			if late > repeatsAllowed {
				t.Errorf("%d stand-ins crashed more than %s after the third crash", late, propagationTime)
			}
			if answers["quarantined-request"] == 0 {
				t.Error("no request was refused as quarantined")
			}
			f.checkRestartAndLift(c.path, c.body, k)
		})
	}
}

// repeat sends the request repeatedly, until repeatsFor after the third crash, and returns the
// number of answers by problem type.
func (f *fleet) repeat(ctx context.Context, path, body string, k *supervisor) map[string]int {
	var mu sync.Mutex
	answers := map[string]int{}
	var wg sync.WaitGroup
	deadline := time.Now().Add(waitTimeout)
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

// ask sends one request and returns the problem type of its answer, or the status if it has none.
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

// checkRestartAndLift checks that a restarted entry host refuses the request too, and that it
// forwards the request once an operator has lifted the quarantine.
func (f *fleet) checkRestartAndLift(path, body string, k *supervisor) {
	f.t.Helper()
	h := f.hosts[0]
	f.kill(h.id)
	f.restart(h.id)
	f.awaitHost(h)
	f.await("the restarted host refuses the request", func() bool {
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
	f.await("the request reaches a server after its quarantine was lifted", func() bool {
		f.ask(context.Background(), h.url()+path, body)
		return len(k.crashes()) > before
	})
}
