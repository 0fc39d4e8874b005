// Package crowd plays HTTP clients that misbehave, and reads from /proc what they make a process use. Tests of real
// processes use it.
package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Client is one misbehaving client.
type Client struct {
	ID   string // of its first request; later ones have it as a prefix
	Path string
	// Header returns the header lines of the request with an ID, each with its line end.
	Header func(id string) string

	conn     net.Conn
	requests int // sent
}

// Head writes the head of a request with more header lines.
func (c *Client) Head(method, more string) error {
	id := c.ID
	if c.requests > 0 {
		id += fmt.Sprintf("-%d", c.requests)
	}
	c.requests++
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\n%s%s\r\n", method, c.Path, c.Header(id), more)
	return err
}

// fill writes n bytes of a body.
func (c *Client) fill(n int) error {
	block := []byte(strings.Repeat("x", 32<<10))
	for n > 0 {
		k, err := c.conn.Write(block[:min(n, len(block))])
		if err != nil {
			return err
		}
		n -= k
	}
	return nil
}

// Send is what a client sends. Its error means that the host has refused the client.
type Send func(*Client) error

// Silent sends nothing.
func Silent(*Client) error { return nil }

// Announce returns a body whose length is announced, with the last bytes left out.
func Announce(method string, length, leftOut int) Send { return Pieces(method, length, leftOut, 0, 0) }

// Pieces is Announce with a gap after each piece; 0 for one piece.
func Pieces(method string, length, leftOut, piece int, gap time.Duration) Send {
	return func(c *Client) error {
		if err := c.Head(method, fmt.Sprintf("Content-Length: %d\r\n", length)); err != nil {
			return err
		}
		if piece == 0 {
			return c.fill(length - leftOut)
		}
		for left := length - leftOut; left > 0; left -= piece {
			time.Sleep(gap)
			if err := c.fill(min(left, piece)); err != nil {
				return err
			}
		}
		return nil
	}
}

// Chunks returns a body of a length in chunks, each with an extension, without the last chunk.
func Chunks(method string, length, size int, extension string) Send {
	return func(c *Client) error {
		if err := c.Head(method, "Transfer-Encoding: chunked\r\n"); err != nil {
			return err
		}
		w := bufio.NewWriterSize(c.conn, 64<<10)
		data := strings.Repeat("x", size)
		for range length / size {
			if _, err := fmt.Fprintf(w, "%x%s\r\n%s\r\n", size, extension, data); err != nil {
				return err
			}
		}
		return w.Flush()
	}
}

// Trickle returns an announced body of which the last bytes come one at a time.
func Trickle(method string, length, slow int) Send {
	return func(c *Client) error {
		if err := Announce(method, length, slow)(c); err != nil {
			return err
		}
		go func() {
			for {
				if _, err := c.conn.Write([]byte("x")); err != nil {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
		return nil
	}
}

// UnendedHead returns a head of at least n bytes without an end.
func UnendedHead(n int) Send {
	return func(c *Client) error {
		if _, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: crowd\r\n", c.Path); err != nil {
			return err
		}
		line := "X-More: " + strings.Repeat("x", 1000) + "\r\n"
		for sent := 0; sent < n; sent += len(line) {
			if _, err := io.WriteString(c.conn, line); err != nil {
				return err
			}
		}
		return nil
	}
}

// UnendedLine returns a request line of n bytes without an end.
func UnendedLine(n int) Send {
	return func(c *Client) error {
		if _, err := io.WriteString(c.conn, "GET /"); err != nil {
			return err
		}
		return c.fill(n)
	}
}

// Pipeline returns a number of whole requests of 4 KiB each.
func Pipeline(method string, requests int) Send {
	return func(c *Client) error {
		for range requests {
			if err := c.Head(method, fmt.Sprintf("X-Fill: %s\r\nContent-Length: 2\r\n", strings.Repeat("x", 3900))); err != nil {
				return err
			}
			if _, err := io.WriteString(c.conn, "ok"); err != nil {
				return err
			}
		}
		return nil
	}
}

// Crowd is a number of clients that misbehave in the same way. Each sends once, reads the head of an answer, and stays for
// as long as it is let.
type Crowd struct {
	Name    string
	Members int
	Port    string // with the colon
	Path    string
	Send    Send
}

// New returns a crowd whose members connect to a port and send requests for a path.
func New(name string, members int, port, path string, send Send) Crowd {
	return Crowd{Name: name, Members: members, Port: port, Path: path, Send: send}
}

// Present is a crowd that has sent what it sends.
type Present struct {
	conns []net.Conn
	wg    sync.WaitGroup
	mu    sync.Mutex
	// Statuses counts the answers by status; 0 is none. Refused has the IDs of the requests whose status says that they
	// have not run. Both are valid after Leave.
	Statuses map[int]int
	Refused  []string
}

// Arrive connects a crowd to an address and returns when all members have sent what they send or have been refused, or
// ctx has ended. Each write takes timeout at most.
func (c Crowd) Arrive(ctx context.Context, addr string, timeout time.Duration, newClient func() *Client) *Present {
	p := &Present{Statuses: map[int]int{}}
	var sent sync.WaitGroup
	for range c.Members {
		sent.Add(1)
		p.wg.Go(func() {
			client := newClient()
			if !c.sendOne(ctx, addr, timeout, client, p) {
				sent.Done()
				p.count(0, "")
				return
			}
			sent.Done()
			p.readAnswer(client)
		})
	}
	sent.Wait()
	return p
}

// sendOne connects a client and sends what it sends. It reports false if it cannot connect.
func (c Crowd) sendOne(ctx context.Context, addr string, timeout time.Duration, client *Client, p *Present) bool {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	client.conn = conn
	p.mu.Lock()
	p.conns = append(p.conns, conn)
	p.mu.Unlock()
	_ = conn.SetWriteDeadline(time.Now().Add(timeout))
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = c.Send(client)
	return true
}

func (p *Present) readAnswer(c *Client) {
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		p.count(0, "")
		return
	}
	p.count(resp.StatusCode, c.ID)
}

func (p *Present) count(status int, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Statuses[status]++
	if status >= 400 && status < 500 || status == http.StatusServiceUnavailable {
		p.Refused = append(p.Refused, id)
	}
}

// Leave closes the connections of the crowd.
func (p *Present) Leave() {
	p.mu.Lock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// Upload sends a request as Send does and returns the status of its answer.
func Upload(addr string, c *Client, send Send) (int, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	c.conn = conn
	if err := send(c); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}
