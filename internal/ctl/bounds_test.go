package ctl

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// endlessReader counts the bytes that were read from it. It fails after four times the limit.
type endlessReader struct{ read int }

func (r *endlessReader) Read(p []byte) (int, error) {
	if r.read > 4*maxReadBytes {
		return 0, io.ErrUnexpectedEOF
	}
	r.read += len(p)
	return len(p), nil
}

// TestReadsAreBounded guards against a command that reads input without end, or refuses the largest input.
func TestReadsAreBounded(t *testing.T) {
	endless := &endlessReader{}
	if _, err := readBounded(endless); !failure.Is(err, failure.BodyTooLarge) || endless.read > 2*maxReadBytes {
		t.Errorf("%v after %d bytes", err, endless.read)
	}
	if data, err := readBounded(bytes.NewReader(make([]byte, maxReadBytes))); err != nil || len(data) != maxReadBytes {
		t.Errorf("%d bytes of %d: %v", len(data), maxReadBytes, err)
	}
	large := filepath.Join(t.TempDir(), "record.json")
	if err := os.WriteFile(large, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Truncate(large, maxReadBytes+1); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadRecord(large); err == nil {
		t.Error("a file over the limit was read")
	}
}

// TestEndlessAnswersOfAControlHostEnd guards against a command that reads without end, or gives up, because one control
// host is faulty.
func TestEndlessAnswersOfAControlHostEnd(t *testing.T) {
	block := strings.Repeat(" ", 1<<20)
	for name, answer := range map[string]http.HandlerFunc{
		"body": func(w http.ResponseWriter, _ *http.Request) {
			for n, err := 0, error(nil); err == nil && n < 4*maxReadBytes; n += len(block) {
				_, err = io.WriteString(w, block)
			}
		},
		"head": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("A", strings.Repeat("x", 2*maxHeadBytes)) },
	} {
		t.Run(name, func(t *testing.T) {
			faulty := httptest.NewServer(answer)
			defer faulty.Close()
			if err := NewClient(faulty.URL, "k").Do(context.Background(), http.MethodGet, "/v1/config", nil, new(map[string]int)); err == nil {
				t.Error("the answer was accepted")
			}
			var got map[string]int
			both := NewClient(faulty.URL+","+newStubServer(t, "/v1/config", map[string]int{"version": 7}), "k")
			if err := both.Do(context.Background(), http.MethodGet, "/v1/config", nil, &got); err != nil || got["version"] != 7 {
				t.Errorf("the next control host's answer: %v, %v", got, err)
			}
		})
	}
}

// TestEachCallBeginsItsConnection guards against an order that a host refuses because its connection has carried another
// call.
func TestEachCallBeginsItsConnection(t *testing.T) {
	callers := map[string]int{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		callers[r.RemoteAddr]++
		_, _ = w.Write([]byte("{}"))
	}))
	defer s.Close()
	for range 2 {
		if err := NewClient(s.URL, "k").Do(context.Background(), http.MethodGet, "/v1/config", nil, new(map[string]int)); err != nil {
			t.Fatal(err)
		}
	}
	if len(callers) != 2 {
		t.Errorf("calls by connection: %v", callers)
	}
}
