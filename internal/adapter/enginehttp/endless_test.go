package enginehttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/sesamefork/sesamefork/internal/port"
)

// endlessMax is the most that a server may send until the client gives up, in bytes: its bounds and the socket buffers
// of the loopback interface. A response that the client does not end stops at four times as many.
const endlessMax = 16 << 20

// TestEndlessResponsesEnd guards against a client that reads a response without end into memory.
func TestEndlessResponsesEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ start, repeat string }{
		"status line":       {"HTTP/1.1 200 ", "x"},
		"header field":      {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header section":    {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"trailer":           {head + "0\r\n", "A: b\r\n"},
		"chunk extension":   {head + "1;", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			sent := make(chan int, 1)
			go func() {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = nc.Close() }()
				_, _ = http.ReadRequest(bufio.NewReader(nc))
				n, err := io.WriteString(nc, c.start)
				for unit := strings.Repeat(c.repeat, 4096); err == nil && n < 4*endlessMax; {
					var m int
					m, err = io.WriteString(nc, unit)
					n += m
				}
				sent <- n
			}()
			client := New()
			defer client.Close()
			a, _, err := client.Do(context.Background(), port.BackendCall{Address: ln.Addr().String(), Method: http.MethodPost, URI: "/"})
			if err == nil {
				_, err = io.ReadAll(a.Body)
				_ = a.Body.Close()
			}
			n := <-sent
			t.Logf("%d bytes sent until the client gave up: %v", n, err)
			if err == nil || n > endlessMax {
				t.Errorf("ended with %v after %d bytes", err, n)
			}
		})
	}
}
