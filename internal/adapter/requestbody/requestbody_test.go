package requestbody

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/clientmem"
	"github.com/sesamefork/sesamefork/internal/core/intake"
	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/port"
)

const limit = 1 << 20

var limits = Limits{MaxBytes: limit, Timeout: time.Minute}

// newBudget returns a budget with a number of bytes for bodies.
func newBudget(bodies int64) *clientmem.Budget {
	return clientmem.New(clientmem.Options{
		Name: "test", Limits: [intake.Parts]int64{1 << 30, 1 << 30, bodies}, Clock: port.SystemClock{}, Log: logr.Discard(),
	})
}

// request returns a request on a connection of a budget.
func request(t testing.TB, b *clientmem.Budget, body io.Reader, length int64) *http.Request {
	t.Helper()
	conn, ok := b.Enter(func() {})
	if !ok {
		t.Fatal("no connection")
	}
	conn.Begin()
	r := httptest.NewRequest(http.MethodPost, "/", body)
	r.ContentLength = length
	return r.WithContext(clientmem.WithConn(r.Context(), conn))
}

// TestBodiesAreReadWhole checks that bodies of all sizes up to the limit are read whole, announced and not, however they
// arrive, and that their memory is given back.
func TestBodiesAreReadWhole(t *testing.T) {
	for _, size := range []int{0, 1, firstBytes - 1, firstBytes, firstBytes + 1, 100_000, limit - 1, limit} {
		for name, read := range map[string]func(io.Reader) io.Reader{
			"at once": func(r io.Reader) io.Reader { return r }, "in halves": iotest.HalfReader, "end with the data": iotest.DataErrReader,
		} {
			for _, announced := range []bool{true, false} {
				b := newBudget(3 * limit)
				want := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
				length := int64(-1)
				if announced {
					length = int64(size)
				}
				body, f := Read(httptest.NewRecorder(), request(t, b, read(bytes.NewReader(want)), length), limits)
				if f != nil {
					t.Fatalf("%d bytes %s, announced %v: %v", size, name, announced, f)
				}
				if !bytes.Equal(body.Bytes, want) {
					t.Errorf("%d bytes %s, announced %v: %d other ones", size, name, announced, len(body.Bytes))
				}
				if held := b.Usage()["bodies"].Held; size > 2*firstBytes && held < int64(size) {
					t.Errorf("%d bytes hold %d", size, held)
				}
				body.Release()
				if held := b.Usage()["bodies"].Held; held != 0 {
					t.Errorf("%d bytes left %d held", size, held)
				}
			}
		}
	}
}

// TestRefusedBodies checks the failure of each refused body, and that nothing is held after it.
func TestRefusedBodies(t *testing.T) {
	large := strings.Repeat("x", limit+1)
	cases := map[string]struct {
		body   io.Reader
		length int64
		bodies int64
		want   failure.Code
	}{
		"announced over the limit": {iotest.ErrReader(errors.New("read")), limit + 1, limit, failure.BodyTooLarge},
		"sent over the limit":      {strings.NewReader(large), -1, 3 * limit, failure.BodyTooLarge},
		"no memory":                {strings.NewReader(large[:limit]), limit, limit / 2, failure.NoMemory},
		"not in time":              {iotest.ErrReader(os.ErrDeadlineExceeded), 10, limit, failure.SlowBody},
		"cut":                      {iotest.ErrReader(io.ErrUnexpectedEOF), 10, limit, failure.BadRequest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBudget(c.bodies)
			w := httptest.NewRecorder()
			_, f := Read(w, request(t, b, c.body, c.length), limits)
			if f == nil || f.Code != c.want || f.Outcome != failure.NotRun {
				t.Errorf("failure %v, want %s", f, c.want)
			}
			if small := c.length >= 0 && c.length <= smallRest; (w.Header().Get("Connection") != "close") != small {
				t.Errorf("Connection: %q", w.Header().Get("Connection"))
			}
			if held := b.Usage()["bodies"].Held; held != 0 {
				t.Errorf("%d bytes are held", held)
			}
		})
	}
}

// TestBufferGrowsWithWhatArrives checks that an announced length alone takes no memory.
func TestBufferGrowsWithWhatArrives(t *testing.T) {
	b := newBudget(8 * limit)
	read := make(chan struct{})
	pr, pw := io.Pipe()
	r := request(t, b, pr, limit)
	go func() {
		defer close(read)
		_, _ = Read(httptest.NewRecorder(), r, limits)
	}()
	_, _ = pw.Write(make([]byte, firstBytes)) // returns once it has been read
	if held := b.Usage()["bodies"].Peak; held > 2*firstBytes {
		t.Errorf("%d bytes are held after %d", held, firstBytes)
	}
	_ = pw.CloseWithError(io.ErrUnexpectedEOF)
	<-read
}

// FuzzChunkedBody checks that whatever a caller sends in chunks, the body is that of net/http or is refused, no more than
// the budget is held, and all is given back.
func FuzzChunkedBody(f *testing.F) {
	f.Add([]byte("5\r\nhello\r\n0\r\n\r\n"))
	f.Add([]byte("5;a=b\r\nhello\r\n0\r\nTrailer: x\r\n\r\n"))
	f.Add([]byte("ffffffffffffffff\r\n"))
	f.Add([]byte(strings.Repeat("1\r\nx\r\n", 20_000)))
	f.Fuzz(func(t *testing.T, data []byte) {
		head := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
		parse := func() *http.Request {
			r, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(head), bytes.NewReader(data))))
			if err != nil {
				t.Skip()
			}
			return r
		}
		want, err := io.ReadAll(io.LimitReader(parse().Body, limit+1))
		const bodies = 256 << 10
		b := newBudget(bodies)
		r := parse()
		body, fail := Read(httptest.NewRecorder(), request(t, b, r.Body, -1), limits)
		if fail == nil {
			if err != nil || !bytes.Equal(body.Bytes, want) {
				t.Errorf("%d bytes, want %d, %v", len(body.Bytes), len(want), err)
			}
			body.Release()
		}
		u := b.Usage()["bodies"]
		if u.Held != 0 || u.Peak > bodies {
			t.Errorf("held %d at the end and %d at most of %d", u.Held, u.Peak, bodies)
		}
	})
}

// BenchmarkRead reads a body without pressure.
func BenchmarkRead(b *testing.B) {
	for name, size := range map[string]int{"200B": 200, "64KiB": 64 << 10, "1MiB": 1 << 20} {
		b.Run(name, func(b *testing.B) {
			data := make([]byte, size)
			r := request(b, newBudget(1<<30), nil, int64(size))
			w := httptest.NewRecorder()
			b.ReportAllocs()
			for b.Loop() {
				r.Body = io.NopCloser(bytes.NewReader(data))
				body, f := Read(w, r, limits)
				if f != nil {
					b.Fatal(f)
				}
				body.Release()
			}
		})
	}
}

// BenchmarkReadAll is the same with io.ReadAll, for comparison.
func BenchmarkReadAll(b *testing.B) {
	for name, size := range map[string]int{"200B": 200, "64KiB": 64 << 10, "1MiB": 1 << 20} {
		b.Run(name, func(b *testing.B) {
			data := make([]byte, size)
			w := httptest.NewRecorder()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.ReadAll(http.MaxBytesReader(w, io.NopCloser(bytes.NewReader(data)), limit)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
