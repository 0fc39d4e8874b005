package daemon

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readable reports whether a read of a socket would return at once, with bytes or the end of
// the stream, or whether a listener has a connection to accept. It is false for anything that
// is not a socket.
func readable(socket any) bool {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false // closed
	}
	ready := false
	_ = raw.Control(func(fd uintptr) { // fails only if the socket is closed
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(p, 0)
		ready = err == nil && n == 1
	})
	return ready
}

// allReceived reports whether the other end's kernel has acknowledged all that was written to a socket,
// including its end. It is true for anything that is not a socket.
func allReceived(socket any) bool {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true // closed
	}
	received := true
	_ = raw.Control(func(fd uintptr) { // fails only if the socket is closed
		n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		received = err != nil || n == 0
	})
	return received
}

// HasLeft implements port.CallerConn.
func (c *callerConn) HasLeft() bool {
	left := false
	open := control(c.Conn, func(fd int) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		left = err == nil && n == 1 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return left || !open
}

// UnreadFor implements port.CallerConn. It is 0 for anything that is not a TCP socket.
func (c *callerConn) UnreadFor() time.Duration {
	var since time.Duration
	control(c.Conn, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since
}

// SentWithin implements port.CallerConn. Until the host has sent something, the kernel counts the time since it last did
// from the handshake, which ends before a frozen process accepts the connection. With TLS the process takes part in the
// handshake. A handshake that the kernel had to repeat may have ended for the caller before.
func (c *callerConn) SentWithin() (d time.Duration, known bool) {
	if c.wasAnswered() {
		return 0, false
	}
	d, known = time.Since(c.opened), true
	control(c.Conn, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		if !c.tls {
			d = max(d, time.Duration(info.Last_data_sent)*time.Millisecond)
			known = info.Total_retrans == 0
		}
		d += time.Duration(info.Rtt) * time.Microsecond
	})
	return d, known
}

// control calls f with the descriptor of a socket. It reports false if the socket is closed, and does not call f for
// anything that is not a socket.
func control(socket any, f func(fd int)) (open bool) {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}
