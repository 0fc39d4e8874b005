package bed2

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// NewID returns an ID for a client's attempt.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Attempt is one attempt of a client. Its request line is sent as it stands here.
type Attempt struct {
	ID, Method, Target, Host string
	Deadline                 time.Duration
	Lines                    []string // further header lines
	Body                     string
}

// connectTimeout is the time that clients allow for a new connection.
const connectTimeout = time.Second

// Send sends the attempt on a new connection and returns its answer, whose head has been read. The connection ends with
// the answer.
func (a *Attempt) Send(addr string) (*http.Response, net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, connectTimeout)
	if err != nil {
		return nil, nil, err
	}
	_ = c.SetDeadline(time.Now().Add(a.Deadline))
	lines := append([]string{
		a.Method + " " + a.Target + " HTTP/1.1", "Host: " + a.Host, Wire("id") + ": " + a.ID,
		fmt.Sprintf("%s: %d", Wire("deadline"), a.Deadline.Milliseconds()), fmt.Sprintf("Content-Length: %d", len(a.Body)),
	}, a.Lines...)
	if _, err := c.Write([]byte(strings.Join(lines, "\r\n") + "\r\n\r\n" + a.Body)); err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	return resp, c, nil
}
