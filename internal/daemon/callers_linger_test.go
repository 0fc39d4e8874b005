package daemon

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// endingConn is a connection that reports when its server has ended it, wholly or for writing.
type endingConn struct {
	*net.TCPConn
	end func()
}

func (c *endingConn) Close() error {
	defer c.end()
	return c.TCPConn.Close()
}

func (c *endingConn) CloseWrite() error {
	defer c.end()
	return c.TCPConn.CloseWrite()
}

type endingListener struct {
	net.Listener
	end func()
}

func (l *endingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &endingConn{c.(*net.TCPConn), l.end}, nil
}

// TestAnswerArrivesThoughMoreWasSent guards against an answer that is cut because its connection is closed
// while bytes of the caller are unread: the kernel then resets the connection and discards what it has not
// sent.
func TestAnswerArrivesThoughMoreWasSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	answer := bytes.Repeat([]byte("x"), 1<<20)
	s := newCallerServer(&endingListener{ln, sync.OnceFunc(func() { close(ended) })}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(answer)
	}), nil)
	s.StartDraining()
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	const first = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	second := fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", 64<<10, bytes.Repeat([]byte("y"), 64<<10))
	if _, err := io.WriteString(conn, first+second); err != nil {
		t.Fatal(err)
	}
	<-ended
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || len(body) != len(answer) {
		t.Errorf("%d of %d bytes, %v", len(body), len(answer), err)
	}
	if cut := s.Finish(context.Background()); cut != 0 {
		t.Errorf("%d connections cut", cut)
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}
