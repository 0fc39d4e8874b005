package bed

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// backlog is the length of a server's queue of new channels.
const backlog = 16

// powerListener accepts the channels of a server. Without power it accepts none: opening packets get no answer, as
// its queue is full.
type powerListener struct {
	net.Listener
	addr string

	mu      sync.Mutex
	powered chan struct{} // closed while there is power
	fillers []net.Conn
}

// listen listens with a short queue of new channels.
func listen(addr string) (*powerListener, error) {
	at, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), addr)
	defer func() { _ = file.Close() }()
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: at.Port, Addr: [4]byte(at.IP.To4())}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, backlog); err != nil {
		return nil, err
	}
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	l := &powerListener{Listener: ln, addr: addr, powered: make(chan struct{})}
	close(l.powered)
	return l, nil
}

// Accept implements net.Listener. A channel that was accepted without power gets no answer.
func (l *powerListener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		powered := l.powered
		l.mu.Unlock()
		<-powered
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		lost := l.powered != powered
		if lost {
			l.fillers = append(l.fillers, conn)
		}
		l.mu.Unlock()
		if !lost {
			return conn, nil
		}
	}
}

// powerOff fills the queue of new channels, so that no more are opened.
func (l *powerListener) powerOff() {
	l.mu.Lock()
	l.powered = make(chan struct{})
	l.mu.Unlock()
	for range backlog + 4 {
		conn, err := net.DialTimeout("tcp", l.addr, 20*time.Millisecond)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.fillers = append(l.fillers, conn)
		l.mu.Unlock()
	}
}

// powerOn accepts channels again.
func (l *powerListener) powerOn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.fillers {
		_ = c.Close()
	}
	l.fillers = nil
	close(l.powered)
}
