package peerlink

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/membudget"
)

// TestUnreadForwardsStayWithinTheBudget guards against forwards whose callers read slowly and that hold more than the
// host's budget, against their ending although there is room, and against slow ones that end one whose caller keeps up,
// or one whose data is there already.
func TestUnreadForwardsStayWithinTheBudget(t *testing.T) {
	const slow = 6
	for _, c := range []struct {
		name   string
		budget int64
		spent  bool // some of the slow ones end
	}{
		{"room for all windows", 2 * slow * maxStreamWindow, false},
		{"room for two windows", 2 * maxStreamWindow, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := membudget.New(c.budget)
				exchanges := []*exchange{
					{id: "prompt", chunks: 64, chunkSize: 1 << 10, serverPause: regionDelay},
					{id: "slow, but first", chunks: 24, chunkSize: 16 << 10, readerPause: regionDelay},
				}
				const whole = 2 // of them, in any case
				for i := range slow {
					exchanges = append(exchanges, &exchange{
						id: fmt.Sprint(i), start: 4 * regionDelay, chunks: 64, chunkSize: 16 << 10, readerPause: regionDelay,
					})
				}
				h := startHistory(t, newFakeNet(regionDelay), Options{KeepAlive: historyAlive, Budget: b}, exchanges...)
				h.asked.Wait()
				h.awaitIdle()
				h.stop()
				h.end()
				ended := 0
				for i, x := range exchanges {
					if errors.Is(x.err, membudget.ErrSpent) && i >= whole {
						ended++
					} else if f := x.fault(); f != "" {
						t.Error(f)
					}
				}
				if b.Peak() > b.Limit() || b.Peak() == 0 || b.Used() != 0 {
					t.Errorf("%d bytes of %d were held at once, %d at the end", b.Peak(), b.Limit(), b.Used())
				}
				if (ended > 0) != c.spent {
					t.Errorf("%d of %d slow forwards ended for the budget", ended, slow)
				}
			})
		})
	}
}

// TestSenderOfAnAbandonedForwardEnds guards against a host that waits, until its link ends, to send an answer
// whose reader has gone, and against bytes of it that stay counted at the reader's host.
func TestSenderOfAnAbandonedForwardEnds(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := membudget.New(4 * maxStreamWindow)
		x := &exchange{id: "abandoned"}
		h := startHistory(t, newFakeNet(regionDelay), Options{KeepAlive: historyAlive, Budget: b})
		x.chunks, x.chunkSize = 3*maxStreamWindow/(64<<10), 64<<10
		h.handler.exchanges[x.id] = x
		s, _, err := h.client.Open(t.Context(), fakeAddress, &pb.Request{Body: &pb.Request_Forward{Forward: &pb.Forward{RequestId: x.id}}}, nil)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(historyAlive)
		if b.Used() != maxStreamWindow-freeUnreadBytes || h.handler.isIdle() {
			t.Errorf("%d bytes counted of a full window, want %d", b.Used(), maxStreamWindow-freeUnreadBytes)
		}
		_ = s.Close()
		time.Sleep(2 * historyAlive)
		if b.Used() != 0 || !h.handler.isIdle() {
			t.Errorf("%d bytes counted after the forward was abandoned; its sender ended: %t", b.Used(), h.handler.isIdle())
		}
		h.stop()
		h.end()
	})
}

// TestBytesOfAnEndedLinkAreGivenBack guards against bytes that stay counted because the other host can't close its end.
func TestBytesOfAnEndedLinkAreGivenBack(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := membudget.New(4 * maxStreamWindow)
		x := &exchange{id: "cut", chunks: 64, chunkSize: 16 << 10, readerPause: historyAlive}
		h := startHistory(t, newFakeNet(regionDelay), Options{KeepAlive: historyAlive, Budget: b}, x)
		time.Sleep(historyAlive)
		h.serverConn().cutOff()
		h.asked.Wait()
		if b.Used() != 0 || failure.As(x.err, "").Code != failure.PeerUnreachable {
			t.Errorf("%d bytes counted after the link ended with %v", b.Used(), x.err)
		}
		h.stop()
		h.end()
	})
}
