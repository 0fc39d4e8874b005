package httpanswer

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"testing"
	"time"
)

// resetAnswers are answers without a length that a server resets after a part, while it may still receive the request.
var resetAnswers = []struct {
	name  string
	head  string
	after time.Duration // from the part to the reset
}{
	{"at once", "HTTP/1.1 200 OK\r\n\r\n", 0},
	{"after 20 ms", "HTTP/1.1 200 OK\r\n\r\n", 20 * time.Millisecond},
	{"after 100 ms", "HTTP/1.1 200 OK\r\n\r\n", 100 * time.Millisecond},
	{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n", 20 * time.Millisecond},
	{"event stream", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", 20 * time.Millisecond},
}

// serveOne accepts connections and runs handle for each one, until the test ends.
func serveOne(t *testing.T, handle func(c *net.TCPConn, r *bufio.Reader)) (url string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(c.(*net.TCPConn), bufio.NewReader(c))
			}()
		}
	}()
	return "http://" + ln.Addr().String() + "/"
}

// readRequestHead reads up to the empty line that ends a request's head.
func readRequestHead(r *bufio.Reader) error {
	for {
		line, err := r.ReadString('\n')
		if err != nil || line == "\r\n" {
			return err
		}
	}
}

func post(t *testing.T, url string, size int) (body []byte, err error) {
	t.Helper()
	client := &http.Client{Transport: NewTransport(&http.Transport{DisableKeepAlives: true})}
	resp, err := client.Post(url, "", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return io.ReadAll(resp.Body)
}

const (
	upload = 8 << 20 // beyond what the socket buffers hold
	part   = 4000
)

// TestResetIsNoEnd guards against a part of an answer that looks whole because the write of the request met the reset.
func TestResetIsNoEnd(t *testing.T) {
	for _, c := range resetAnswers {
		t.Run(c.name, func(t *testing.T) {
			url := serveOne(t, func(nc *net.TCPConn, r *bufio.Reader) {
				if readRequestHead(r) != nil {
					return
				}
				_, _ = io.WriteString(nc, c.head+strings.Repeat("x", part))
				time.Sleep(c.after)
				_ = nc.SetLinger(0)
			})
			for range 10 {
				if body, err := post(t, url, upload); err == nil {
					t.Fatalf("%d bytes were taken for a whole answer", len(body))
				}
			}
		})
	}
}

// TestEndIsAnEnd guards against whole answers that are refused because their server ends the connection while it still
// receives the request.
func TestEndIsAnEnd(t *testing.T) {
	for _, early := range []bool{false, true} {
		t.Run(fmt.Sprintf("the server answers before it has read the request: %t", early), func(t *testing.T) {
			url := serveOne(t, func(nc *net.TCPConn, r *bufio.Reader) {
				if readRequestHead(r) != nil {
					return
				}
				if !early {
					_, _ = io.CopyN(io.Discard, r, upload)
				}
				_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", part))
				_ = nc.CloseWrite()
				_, _ = io.Copy(io.Discard, r)
			})
			if body, err := post(t, url, upload); err != nil || len(body) != part {
				t.Errorf("%d bytes, %v", len(body), err)
			}
		})
	}
}

// heads are heads of answers, and whether they are ones that HTTP allows or that recipients may accept.
var heads = []struct {
	name, head string
	ok         bool
}{
	{"plain", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", true},
	{"no reason", "HTTP/1.1 200 \r\n\r\n", true},
	{"no blank after the code (RFC 9112, 4)", "HTTP/1.1 200\r\n\r\n", true},
	{"lines that end with LF only (RFC 9112, 2.2)", "HTTP/1.1 200 OK\nA: b\n\n", true},
	{"a line that continues the one before (RFC 9112, 5.2)", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", true},
	{"bytes beyond ASCII in a value (RFC 9110, 5.5)", "HTTP/1.1 200 OK\r\nA: \xe4\r\n\r\n", true},
	{"an empty value, blanks around a value (RFC 9112, 5.1)", "HTTP/1.1 200 OK\r\nA:\r\nB: \t c \t\r\n\r\n", true},
	{"a code without a meaning (RFC 9110, 15)", "HTTP/1.1 799 Odd\r\n\r\n", true},
	{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n", true},
	{"status 000", "HTTP/1.1 000 None\r\n\r\n", false},
	{"status 099", "HTTP/1.1 099 None\r\n\r\n", false},
	{"status of two digits", "HTTP/1.1 20 OK\r\n\r\n", false},
	{"status of four digits", "HTTP/1.1 2000 OK\r\n\r\n", false},
	{"status with a sign", "HTTP/1.1 +20 OK\r\n\r\n", false},
	{"HTTP/2", "HTTP/2.0 200 OK\r\n\r\n", false},
	{"another protocol", "SSH-2.0 200 OK\r\n\r\n", false},
	{"NUL in the reason", "HTTP/1.1 200 O\x00K\r\n\r\n", false},
	{"a blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n", false},
	{"a blank before the colon of the framing", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n", false},
	{"a blank in a name", "HTTP/1.1 200 OK\r\nX Odd: a\r\n\r\n", false},
	{"a tab in a name", "HTTP/1.1 200 OK\r\nX\tOdd: a\r\n\r\n", false},
	{"a control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Odd: a\r\n\r\n", false},
	{"a delimiter in a name", "HTTP/1.1 200 OK\r\nX(Odd): a\r\n\r\n", false},
	{"bytes beyond ASCII in a name", "HTTP/1.1 200 OK\r\nX\xe4: a\r\n\r\n", false},
	{"an empty name", "HTTP/1.1 200 OK\r\n: a\r\n\r\n", false},
	{"a line without a colon", "HTTP/1.1 200 OK\r\nOdd\r\n\r\n", false},
	{"the first line continues", "HTTP/1.1 200 OK\r\n A: b\r\n\r\n", false},
	{"NUL in a value", "HTTP/1.1 200 OK\r\nA: b\x00\r\n\r\n", false},
	{"CR in a value", "HTTP/1.1 200 OK\r\nA: b\rc\r\n\r\n", false},
	{"another control byte in a value", "HTTP/1.1 200 OK\r\nA: b\x07\r\n\r\n", false},
	{"NUL in a line that continues", "HTTP/1.1 200 OK\r\nA: b\r\n c\x00\r\n\r\n", false},
	{"HTTP/1.0 with chunks", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
}

// TestHeads guards against heads that HTTP does not allow and that are taken for answers, and against sound ones that are
// refused.
func TestHeads(t *testing.T) {
	for _, c := range heads {
		if err := CheckBytes([]byte(c.head)); (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// TestTransportRefusesWhatIsNoAnswer guards against answers of net/http that HTTP does not allow.
func TestTransportRefusesWhatIsNoAnswer(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		ok           bool
	}{
		{"plain", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		{"status 000", "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok", false},
		{"a blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", false},
		{"a blank before the colon of the framing", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		{"a blank in a name", "HTTP/1.1 200 OK\r\nX Odd: a\r\nContent-Length: 2\r\n\r\nok", false},
		{"a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n", true},
		{"a blank in the name of a trailer field", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Odd: b\r\n\r\n", false},
		{"another protocol, which was not asked for", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			url := serveOne(t, func(nc *net.TCPConn, r *bufio.Reader) {
				if readRequestHead(r) == nil {
					_, _ = io.WriteString(nc, c.answer)
				}
			})
			if body, err := post(t, url, 0); (err == nil) != c.ok || (c.ok && string(body) != "ok") {
				t.Errorf("%q, %v", body, err)
			}
		})
	}
}

// FuzzHead checks that net/http reads from each head that is accepted the status, the fields and the framing that stand in
// it.
func FuzzHead(f *testing.F) {
	for _, c := range heads {
		f.Add([]byte(c.head))
	}
	f.Fuzz(func(t *testing.T, head []byte) {
		end := bytes.Index(head, []byte("\n\r\n"))
		if end < 0 || bytes.Contains(head[:end], []byte("\n\n")) || CheckBytes(head[:end+3]) != nil {
			return
		}
		head = head[:end+3]
		resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(head), strings.NewReader("body"))), nil)
		if err != nil {
			return // net/http is stricter
		}
		if err := Check(resp); err != nil && resp.StatusCode != http.StatusSwitchingProtocols {
			t.Errorf("%q: %v", head, err)
		}
		for i, line := range strings.Split(string(head), "\n") {
			name, _, ok := strings.Cut(line, ":")
			if i == 0 || !ok || strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t") {
				continue
			}
			switch key := textproto.CanonicalMIMEHeaderKey(name); key {
			case "Transfer-Encoding":
				if resp.TransferEncoding == nil && resp.ContentLength < 0 {
					t.Errorf("%q: its transfer encoding is ignored", head)
				}
			case "Content-Length", "Trailer", "Connection":
			default:
				if _, ok := resp.Header[key]; !ok {
					t.Errorf("%q: no field %q", head, key)
				}
			}
		}
	})
}
