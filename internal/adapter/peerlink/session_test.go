package peerlink

import (
	"net"

	"github.com/hashicorp/yamux"
)

// newSession returns a session over a yamux session that the test closes itself.
func newSession(mux *yamux.Session) *session {
	unused, _ := net.Pipe()
	gate := newReadGate()
	go func() {
		<-mux.CloseChan()
		gate.end()
	}()
	return newLinkSession(&link{Session: mux, gate: gate, conn: newFrameConn(unused, gate)})
}
