package daemon

import (
	"syscall"

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
