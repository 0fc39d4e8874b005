package daemon

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// readable reports whether a socket has something to read: bytes, the end of the stream, or
// for a listener a connection that waits. It is false for what is no socket.
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
	_ = raw.Control(func(fd uintptr) { // it fails for a closed one only
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(p, 0)
		ready = err == nil && n == 1
	})
	return ready
}
