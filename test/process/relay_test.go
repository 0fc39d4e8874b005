package process_test

import (
	"net"
	"sync"
	"testing"
)

// relays are TCP proxies on the links between hosts: every host is configured with the relay
// addresses of the others. A relay determines the calling failure domain from the connection's
// source address. A cut stalls connections: bytes are held back, and connections stay open.
type relays struct {
	mu     sync.Mutex
	cond   *sync.Cond
	cut    map[[2]string]bool // by failure domains of source and target
	domain map[string]string  // by IP
	lns    []net.Listener
	closed bool
}

func newRelays() *relays {
	r := &relays{cut: map[[2]string]bool{}, domain: map[string]string{}}
	r.cond = sync.NewCond(&r.mu)
	return r
}

// add relays connections from one address to another.
func (r *relays) add(t testing.TB, from, to string) {
	t.Helper()
	ln, err := net.Listen("tcp", from)
	if err != nil {
		t.Fatal(err)
	}
	r.lns = append(r.lns, ln)
	target := r.domain[ipOf(to)]
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(in, to, [2]string{r.domain[ipOf(in.RemoteAddr().String())], target})
		}
	}()
}

func ipOf(addr string) string {
	ip, _, _ := net.SplitHostPort(addr)
	return ip
}

func (r *relays) serve(in net.Conn, to string, link [2]string) {
	defer func() { _ = in.Close() }()
	if !r.pass(link) {
		return
	}
	out, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	done := make(chan struct{}, 2)
	copyBytes := func(dst, src net.Conn) {
		buf := make([]byte, 64<<10)
		for {
			n, err := src.Read(buf)
			if n > 0 && r.pass(link) {
				_, werr := dst.Write(buf[:n])
				if werr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go copyBytes(out, in)
	go copyBytes(in, out)
	<-done
}

// pass waits while the link is cut. It returns false once the relays are closed.
func (r *relays) pass(link [2]string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.cut[link] && !r.closed {
		r.cond.Wait()
	}
	return !r.closed
}

// setCut cuts or restores both directions between two failure domains.
func (r *relays) setCut(a, b string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[[2]string{a, b}], r.cut[[2]string{b, a}] = cut, cut
	r.cond.Broadcast()
}

func (r *relays) close() {
	r.mu.Lock()
	r.closed = true
	r.cond.Broadcast()
	r.mu.Unlock()
	for _, ln := range r.lns {
		_ = ln.Close()
	}
}

// isolate cuts the links between a failure domain and all others, or restores them.
func (f *fleet) isolate(domain string, cut bool) {
	for _, d := range f.domains {
		if d != domain {
			f.relays.setCut(domain, d, cut)
		}
	}
}
