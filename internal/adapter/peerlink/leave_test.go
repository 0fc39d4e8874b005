package peerlink

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/hashicorp/yamux"
	"pgregory.net/rapid"
)

// noLeaveTimeout is a leave timeout that no history may reach.
const noLeaveTimeout = time.Hour

// startHistory returns a history whose link is open, with its exchanges begun.
func startHistory(t *testing.T, n *fakeNet, o Options, exchanges ...*exchange) *linkHistory {
	t.Helper()
	h, err := newLinkHistory(n, o, exchanges...)
	if err != nil {
		t.Fatal(err)
	}
	if err := h.connect(); err != nil {
		t.Fatal(err)
	}
	for _, x := range exchanges {
		h.ask(x)
	}
	return h
}

// stopTook stops the server and returns how long that took.
func (h *linkHistory) stopTook() time.Duration {
	began := time.Now()
	h.stop()
	<-h.stopped
	return time.Since(began)
}

// TestHostWithNothingUnderWayLeavesAtOnce guards against a stop that waits although no answer is awaited.
func TestHostWithNothingUnderWayLeavesAtOnce(t *testing.T) {
	for _, c := range []struct {
		name      string
		exchanges []*exchange
	}{
		{name: "nothing was asked"},
		{name: "a call was answered", exchanges: []*exchange{{id: "call", call: true}}},
		{name: "a forward was answered", exchanges: []*exchange{{id: "forward", chunks: 1, chunkSize: 1}}},
		{name: "a call was given up", exchanges: []*exchange{{id: "call", call: true, serverPause: time.Second, cancelsAfter: time.Millisecond}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				h := startHistory(t, newFakeNet(regionDelay), Options{KeepAlive: historyAlive, LeaveTimeout: noLeaveTimeout}, c.exchanges...)
				h.asked.Wait()
				time.Sleep(historyAlive)
				if took := h.stopTook(); took > 2*regionDelay {
					t.Errorf("the stop took %s, more than a round trip of %s", took, 2*regionDelay)
				}
				h.end()
			})
		})
	}
}

// TestTimeOfAStopDoesNotGrowWithTheLinks guards against links that are left one after the other.
func TestTimeOfAStopDoesNotGrowWithTheLinks(t *testing.T) {
	const links = 300
	for _, c := range []struct {
		name  string
		gone  int // links whose other end is cut off
		bound time.Duration
	}{
		{"all answer", 0, 2 * regionDelay},
		{"a third is cut off", links / 3, 2 * historyAlive},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				n := newFakeNet(regionDelay)
				h := startHistory(t, n, Options{KeepAlive: historyAlive, LeaveTimeout: noLeaveTimeout})
				for i := range links - 1 {
					if _, err := h.client.session(context.Background(), fmt.Sprint(fakeAddress, i)); err != nil {
						t.Fatal(err)
					}
				}
				synctest.Wait() // the server's handshakes have ended
				for _, conn := range n.conns[:c.gone] {
					conn.cutOff()
				}
				if took := h.stopTook(); took > c.bound {
					t.Errorf("the stop took %s, more than %s", took, c.bound)
				}
				h.end()
			})
		})
	}
}

// TestLeavingHostDoesNotWaitForAHostThatIsGone guards against a stop that lasts until the leave timeout because
// the other end of a link is frozen or cut off.
func TestLeavingHostDoesNotWaitForAHostThatIsGone(t *testing.T) {
	const longWork = 10 * time.Minute
	const tooLongForAWindow = 10
	frozen := func(h *linkHistory) { h.serverConn().other.silence() }
	cutOff := func(h *linkHistory) { h.serverConn().cutOff() }
	readsNothing := func(h *linkHistory) { h.serverConn().other.freeze(true) }
	for _, c := range []struct {
		name     string
		gone     func(h *linkHistory)
		interval int // keep-alive intervals that the stop may take
	}{
		{"frozen", frozen, 2},
		{"cut off", cutOff, 2},
		{"reads nothing", readsNothing, 4}, // it finds the silence itself
	} {
		for _, x := range []*exchange{
			{id: "nothing", call: true},
			{id: "call", call: true, serverPause: longWork},
			{id: "forward", chunks: 1, chunkSize: 1, serverPause: longWork},
			{id: "large answer", chunks: tooLongForAWindow, chunkSize: maxStreamWindow, readerPause: longWork},
			{id: "long answer", chunks: 1 << 10, chunkSize: 1 << 10, serverPause: 10 * time.Millisecond},
		} {
			t.Run(c.name+"/"+x.id, func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					n := newFakeNet(regionDelay)
					n.buffer = 32 << 10
					h := startHistory(t, n, Options{KeepAlive: historyAlive, LeaveTimeout: noLeaveTimeout}, x)
					time.Sleep(4 * regionDelay)
					c.gone(h)
					if took, bound := h.stopTook(), time.Duration(c.interval)*historyAlive; took > bound {
						t.Errorf("the stop took %s, more than %s", took, bound)
					}
					h.serverConn().other.freeze(false)
					h.end()
				})
			})
		}
	}
}

// TestLeavingHostKeepsALinkWhoseRoundTripsAreLong guards against answers that are cut because the host was
// silent before the stop for as long as it may be silent after.
func TestLeavingHostKeepsALinkWhoseRoundTripsAreLong(t *testing.T) {
	const keepAlive = 4 * regionDelay
	inBubble(t, func(t *testing.T) {
		for phase := time.Duration(0); phase < keepAlive; phase += keepAlive / 16 {
			x := &exchange{id: "forward", chunks: 40, chunkSize: 100, serverPause: keepAlive / 16}
			h := startHistory(t, newFakeNet(regionDelay), Options{KeepAlive: keepAlive, LeaveTimeout: noLeaveTimeout}, x)
			time.Sleep(2*regionDelay + phase)
			h.serverConn().freeze(true) // the host reads late
			h.stop()
			time.Sleep(keepAlive / 2)
			h.serverConn().freeze(false)
			h.end()
			for _, f := range h.failures() {
				t.Errorf("stop after %s: %s", phase, f)
			}
		}
	})
}

// TestHostOfTheVersionBeforeIsLeftAtTheLeaveTimeout guards against a stop that never ends because the other end
// does not close the link.
func TestHostOfTheVersionBeforeIsLeftAtTheLeaveTimeout(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const leaveTimeout = 10 * time.Second
		n := newFakeNet(regionDelay)
		o := Options{KeepAlive: historyAlive, LeaveTimeout: leaveTimeout}
		h, err := newLinkHistory(n, o)
		if err != nil {
			t.Fatal(err)
		}
		conn, err := n.dial(context.Background(), "", "")
		if err != nil {
			t.Fatal(err)
		}
		if err := handshake(conn, []byte("key"), dialerRole, listenerRole); err != nil {
			t.Fatal(err)
		}
		mux, err := yamux.Client(conn, h.client.o.yamuxConfig())
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if took := h.stopTook(); took != leaveTimeout {
			t.Errorf("the stop took %s, want %s", took, leaveTimeout)
		}
		_ = mux.Close()
		h.end()
	})
}

// TestLogOfAStopNamesTheEndThatClosedTheLink guards against a process that exits before it has logged the ends of its
// links, and against ends that are put down to the wrong host.
func TestLogOfAStopNamesTheEndThatClosedTheLink(t *testing.T) {
	for _, c := range []struct {
		name, reason string
		end          func(h *linkHistory)
	}{
		{"the other host", "closed by the other host", func(h *linkHistory) {}},
		{"this host", "the other host sent nothing", func(h *linkHistory) { h.serverConn().cutOff() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				var mu sync.Mutex
				var lines []string
				log := funcr.New(func(_, args string) {
					mu.Lock()
					defer mu.Unlock()
					lines = append(lines, args)
				}, funcr.Options{})
				h := startHistory(t, newFakeNet(regionDelay), Options{KeepAlive: historyAlive, LeaveTimeout: noLeaveTimeout, Log: log})
				synctest.Wait() // the server's handshake has ended
				c.end(h)
				h.stop()
				<-h.stopped
				mu.Lock()
				defer mu.Unlock()
				logged := slices.ContainsFunc(lines, func(line string) bool {
					return strings.Contains(line, "link ended") && strings.Contains(line, c.reason)
				})
				if !logged {
					t.Errorf("no line that the link was %s: %q", c.reason, lines)
				}
				h.end()
			})
		})
	}
}

// TestStopDuringAHandshakeCutsNoRequest guards against a first request that is lost because its link opens
// while the host stops.
func TestStopDuringAHandshakeCutsNoRequest(t *testing.T) {
	const steps = 24
	for _, call := range []bool{true, false} {
		t.Run(fmt.Sprintf("call=%t", call), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				for step := range steps {
					after := time.Duration(step) * regionDelay / 4
					for _, f := range playFirstRequest(t, call, func(h *linkHistory) { time.Sleep(after); h.stop() }) {
						t.Errorf("stop after %s: %s", after, f)
					}
				}
			})
		})
	}
}

// TestStopAtTheEndOfAHandshakeCutsNoAnswer guards against the handshake's deadline on a link that has begun.
func TestStopAtTheEndOfAHandshakeCutsNoAnswer(t *testing.T) {
	for _, call := range []bool{true, false} {
		t.Run(fmt.Sprintf("call=%t", call), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				faults := playFirstRequest(t, call, func(h *linkHistory) {
					synctest.Wait()
					conn := h.serverConn()
					conn.onCleared(func() {
						h.stop()
						synctest.Wait()
					})
					time.Sleep(regionDelay + regionDelay/2)
					conn.freeze(true) // the request arrives before the handshake has ended
					time.Sleep(4 * regionDelay)
					conn.freeze(false)
				})
				for _, f := range faults {
					t.Error(f)
				}
			})
		})
	}
}

// playFirstRequest plays a request that opens a link, which takes longer than a keep-alive interval, and
// returns what the history breaks.
func playFirstRequest(t *testing.T, call bool, stop func(h *linkHistory)) []string {
	x := &exchange{id: "first", call: call, chunks: 1, chunkSize: 100, serverPause: 2 * historyAlive}
	h, err := newLinkHistory(newFakeNet(regionDelay), Options{KeepAlive: historyAlive, LeaveTimeout: noLeaveTimeout}, x)
	if err != nil {
		t.Fatal(err)
	}
	h.ask(x)
	stop(h)
	h.end()
	return h.failures()
}

// largeBody is more than a stream's window.
const largeBody = maxStreamWindow + 64<<10

// drawExchange draws an exchange that begins within the given time.
func drawExchange(t *rapid.T, id string, within time.Duration) *exchange {
	ms := func(label string, values ...int) time.Duration {
		return time.Duration(rapid.SampledFrom(values).Draw(t, id+label)) * time.Millisecond
	}
	x := &exchange{
		id: id, call: rapid.Bool().Draw(t, id+" call"),
		start:        time.Duration(rapid.IntRange(0, int(within/time.Millisecond)).Draw(t, id+" start")) * time.Millisecond,
		serverPause:  ms(" server pause", 0, 1, 30, 300),
		cancelsAfter: ms(" cancels after", 0, 0, 0, 1, 100, 250, 500),
	}
	if !x.call {
		x.body = rapid.SampledFrom([]int{0, 0, 100, 100, 100 << 10, largeBody}).Draw(t, id+" body")
		x.chunks = rapid.IntRange(0, 3).Draw(t, id+" chunks")
		x.chunkSize = rapid.SampledFrom([]int{1, 1, 1000, 1000, 64 << 10, largeBody}).Draw(t, id+" chunk size")
		x.readerPause = ms(" reader pause", 0, 1, 100, 1000)
	}
	return x
}

// direction is the requests from one of two hosts to the other.
type direction struct {
	delay     time.Duration
	rate      int // bytes per second
	exchanges []*exchange
	stopAt    time.Duration // when the serving host stops
	freezeAt  time.Duration // when the reads of one end stop for a while; 0 for never
	caller    bool          // the calling end freezes
	breakAt   time.Duration // when the link breaks; 0 for never
	breakLink func(d *direction)

	*linkHistory
	lastEnd, ended time.Time // of the requests, and of the serving host
}

func drawDirection(t *rapid.T, name string) *direction {
	const within = 600 * time.Millisecond
	d := &direction{
		delay:  time.Duration(rapid.SampledFrom([]int{0, 1, 20, 80, 150}).Draw(t, name+" delay")) * time.Millisecond,
		rate:   rapid.SampledFrom([]int{0, 512 << 10, 4 << 20}).Draw(t, name+" rate"),
		stopAt: time.Duration(rapid.IntRange(0, 1000).Draw(t, name+" stop at")) * time.Millisecond,
		caller: rapid.Bool().Draw(t, name+" caller freezes"),
	}
	if rapid.Bool().Draw(t, name+" freezes") {
		d.freezeAt = time.Duration(rapid.IntRange(1, 1000).Draw(t, name+" freeze at")) * time.Millisecond
	}
	for i := range rapid.IntRange(1, 5).Draw(t, name+" exchanges") {
		d.exchanges = append(d.exchanges, drawExchange(t, fmt.Sprint(name, i), within))
	}
	return d
}

// begin opens the direction's link.
func (d *direction) begin() error {
	n := newFakeNet(d.delay)
	n.rate = d.rate
	n.buffer = 1 << 30 // a write that waits would hold a mutex, for which virtual time does not wait
	var err error
	if d.linkHistory, err = newLinkHistory(n, Options{KeepAlive: historyAlive, LeaveTimeout: noLeaveTimeout}, d.exchanges...); err != nil {
		return err
	}
	return d.connect()
}

// play plays the direction until its requests have ended and the serving host has stopped.
func (d *direction) play() {
	var all sync.WaitGroup
	defer all.Wait()
	if d.freezeAt > 0 {
		all.Go(d.freeze)
	}
	if d.breakAt > 0 {
		all.Go(func() {
			time.Sleep(d.breakAt)
			d.breakLink(d)
		})
	}
	for _, x := range d.exchanges {
		d.ask(x)
	}
	all.Go(func() {
		time.Sleep(d.stopAt)
		d.stop()
		<-d.stopped
		d.ended = time.Now()
	})
	d.asked.Wait()
	d.lastEnd = time.Now()
}

func (d *direction) freeze() {
	conn := d.serverConn()
	if d.caller {
		conn = conn.other
	}
	time.Sleep(d.freezeAt)
	conn.freeze(true)
	time.Sleep(historyAlive / 4)
	conn.freeze(false)
}

// playBoth plays two hosts, each of which ends its links to the other once it has stopped and its own requests
// have ended. It returns what they break.
func playBoth(a, b *direction) []string {
	for _, d := range []*direction{a, b} {
		if err := d.begin(); err != nil {
			return []string{err.Error()}
		}
	}
	began := time.Now()
	var hosts sync.WaitGroup
	for _, d := range []*direction{a, b} {
		hosts.Go(d.play)
	}
	for _, h := range []struct{ served, asked *direction }{{a, b}, {b, a}} {
		hosts.Go(func() {
			<-h.served.stopped
			h.asked.asked.Wait()
			h.asked.client.Close()
		})
	}
	hosts.Wait()
	return append(a.faults(began), b.faults(began)...)
}

// faults returns what the direction breaks.
func (d *direction) faults(began time.Time) []string {
	out := d.failures()
	if wait := d.waited(began); wait > historyAlive {
		out = append(out, fmt.Sprintf("the host stopped %s after the end of its last request", wait))
	}
	return out
}

// waited returns for how long the serving host went on after its stop and the end of the last request.
func (d *direction) waited(began time.Time) time.Duration {
	work := began.Add(d.stopAt)
	if work.Before(d.lastEnd) {
		work = d.lastEnd
	}
	return d.ended.Sub(work)
}

// TestEveryRequestOfALeftLinkIsAnsweredOrRefused plays any two hosts that ask one another, and both stop. It guards
// against a request that was read and gets no whole answer, or a refusal of a request that was read.
func TestEveryRequestOfALeftLinkIsAnsweredOrRefused(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a, b := drawDirection(rt, "a"), drawDirection(rt, "b")
		var faults []string
		inBubble(t, func(*testing.T) { faults = playBoth(a, b) })
		for _, f := range faults {
			rt.Error(f)
		}
	})
}

// breaks are the ways in which a link may break.
var breaks = map[string]func(d *direction){
	"cut off":              func(d *direction) { d.serverConn().cutOff() },
	"caller is frozen":     func(d *direction) { d.serverConn().other.silence() },
	"server is frozen":     func(d *direction) { d.serverConn().silence() },
	"caller reads nothing": func(d *direction) { d.serverConn().other.freeze(true) },
	"server reads nothing": func(d *direction) { d.serverConn().freeze(true) },
	"caller's writes fail": func(d *direction) { d.serverConn().other.failWrites() },
	"server's writes fail": func(d *direction) { d.serverConn().failWrites() },
	"caller closes":        func(d *direction) { _ = d.serverConn().other.Close() },
	"server closes":        func(d *direction) { _ = d.serverConn().Close() },
	"caller's client ends": func(d *direction) { d.client.Close() },
	"caller half-closes":   func(d *direction) { _ = d.serverConn().other.CloseWrite() },
	"server half-closes":   func(d *direction) { _ = d.serverConn().CloseWrite() },
	"caller finds it dead": func(d *direction) { d.client.CloseSession(fakeAddress) },
}

// TestHostStopsHoweverItsLinkBreaks plays any requests of one host to another that stops, on a link that breaks at any
// time. It guards against a stop that waits for the leave timeout, and a refusal of a request that was read.
func TestHostStopsHoweverItsLinkBreaks(t *testing.T) {
	const mostKeepAlives = 4 // an end that reads nothing sends a message within one, and waits for two
	rapid.Check(t, func(rt *rapid.T) {
		d := drawDirection(rt, "a")
		d.freezeAt = 0
		d.breakAt = time.Duration(rapid.IntRange(1, 1500).Draw(rt, "break at")) * time.Millisecond
		name := rapid.SampledFrom(slices.Sorted(maps.Keys(breaks))).Draw(rt, "break")
		d.breakLink = breaks[name]
		var faults []string
		inBubble(t, func(*testing.T) { faults = d.playBroken(mostKeepAlives * historyAlive) })
		for _, f := range faults {
			rt.Error(f)
		}
	})
}

// playBroken plays the direction, whose link breaks, and returns what it breaks.
func (d *direction) playBroken(mostWait time.Duration) (faults []string) {
	if err := d.begin(); err != nil {
		return []string{err.Error()}
	}
	// A second dial would hold a mutex, for which virtual time does not wait.
	d.client.dialTCP = func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	began := time.Now()
	d.play()
	d.client.Close()
	for _, conn := range d.net.conns {
		conn.freeze(false)
	}
	for _, x := range d.exchanges {
		if f := x.contradiction(); f != "" {
			faults = append(faults, x.String()+": "+f)
		}
	}
	if wait := d.waited(began); wait > mostWait {
		faults = append(faults, fmt.Sprintf("the host stopped %s after the end of its last request", wait))
	}
	return faults
}

// TestDialerHearsOfAStopAtOnce guards against hosts that learn only from a control host's view that another one stops.
func TestDialerHearsOfAStopAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		heard := make(chan string, 1)
		const work = 10 * historyAlive
		forward := &exchange{id: "forward", chunks: 1, chunkSize: 1, serverPause: work}
		h := startHistory(t, newFakeNet(regionDelay), Options{KeepAlive: historyAlive, LeaveTimeout: noLeaveTimeout, PeerLeaves: func(addr string) { heard <- addr }}, forward)
		synctest.Wait()
		time.Sleep(historyAlive / 2)
		began := time.Now()
		h.stop()
		addr := <-heard
		if took := time.Since(began); took > regionDelay || addr != fakeAddress {
			t.Errorf("heard after %s that %q leaves, want %q after %s", took, addr, fakeAddress, regionDelay)
		}
		<-h.stopped
		h.asked.Wait()
		h.end()
	})
}
