package gateway

import (
	"context"
	"runtime"
	"testing"
	"time"
	"weak"
)

// TestBodyIsFreeAfterItsRequest guards against bodies that are held after their requests have ended, when their places in
// the memory budget are given to others: many requests in a row then take the host over its memory.
func TestBodyIsFreeAfterItsRequest(t *testing.T) {
	for _, path := range []string{"/order/1", "/stock/1", "/match/1"} {
		f := newFixture(t)
		f.backends.answer = func(int, *Attempt) (*Answer, bool, error) {
			if path == "/match/1" {
				return streamAnswer(event1, false), true, nil
			}
			return ranAnswer(200, "ok"), true, nil
		}
		body := func() weak.Pointer[byte] {
			r := f.request(path)
			r.Body = make([]byte, 100<<10)
			p := weak.Make(&r.Body[0])
			if fail := f.g.Execute(context.Background(), r, &memorySink{}); fail != nil {
				t.Fatal(fail)
			}
			return p
		}()
		f.backends.mu.Lock()
		f.backends.attempts = nil
		f.backends.mu.Unlock()
		for began := time.Now(); body.Value() != nil; runtime.GC() {
			if time.Since(began) > lossCheckInterval/2 {
				t.Errorf("%s: the body is held after the request has ended", path)
				break
			}
		}
	}
}
