package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/controlhosts"
	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/releases"
	"github.com/sesamefork/sesamefork/internal/core/streamorigin"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Times of the search for the origin of a stream that a caller takes up.
const (
	// maxOriginWait is the longest time for which the origin is searched. An origin reaches a control
	// host with the next sync request of the host that recorded it, and other regions within a message
	// delay.
	maxOriginWait = 700 * time.Millisecond
	// originRetryInterval is the pause between two queries.
	originRetryInterval = 150 * time.Millisecond
	// originQueryTimeout exceeds a round trip to another region.
	originQueryTimeout = 400 * time.Millisecond
	// originRetryAfter is the time after which a caller should try again to take up a stream whose origin
	// is not known.
	originRetryAfter = 500 * time.Millisecond
)

// streamLog holds the origins of the streams that this host began or took up.
type streamLog struct {
	mu  sync.Mutex
	log *streamorigin.Log
}

func (l *streamLog) record(stream uint64, o streamorigin.Origin, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log.Record(stream, o, streamorigin.FromEntryHost, now)
}

func (l *streamLog) origin(stream uint64) (streamorigin.Origin, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.Origin(stream)
}

// addStreams adds the origins of streams that the primary has not received, and returns the position that
// it has with them.
func (g *Gateway) addStreams(m *pb.FleetSync, c *controlHost, primary bool) (position uint64) {
	config := g.config.Load()
	if !primary || config == nil {
		return 0
	}
	l := &g.streams
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log.Expire(config.Record.StreamRetention(), g.o.Clock.Now())
	m.Streams, position = l.log.Since(c.sentStreams, streamorigin.FromEntryHost)
	return position
}

// recordStreamsSent records that a control host received the origins up to a position. If the view's epoch
// has changed, the control host has restarted, and all origins are to be sent again.
func (c *controlHost) recordStreamsSent(view *pb.FleetView, epochBefore, position uint64) {
	c.sentStreams = position
	if epochBefore != 0 && view.Epoch != epochBefore {
		c.sentStreams = 0
	}
}

// takesUpStream reports whether a caller takes up a stream that an earlier attempt of it began.
func (x *execution) takesUpStream() bool {
	return x.r.Origin == "" && x.r.ResumeAfter > 0 && x.route.Kind == configstate.KindStream
}

// takeUp binds a request that takes up a stream to the stream's service and release. It refuses the request
// if these are not known.
func (g *Gateway) takeUp(ctx context.Context, x *execution) *failure.Error {
	if x.r.Resumes == "" {
		return g.bindToOnlyRelease(ctx, x)
	}
	began := g.o.Clock.Now()
	stream := streamorigin.Key(x.r.Resumes)
	o, source := g.findOrigin(ctx, stream, min(maxOriginWait, x.deadline.Sub(began)/3))
	now := g.o.Clock.Now()
	if source == "" || o == streamorigin.Unknown {
		g.o.Metrics.Add("streams_of_unknown_origin", 1)
		g.o.Log.Info("stream not taken up", "request_id", x.r.ID, "resumes", x.r.Resumes, "resume_after", x.r.ResumeAfter, "waited_ms", now.Sub(began).Milliseconds())
		return notRun(failure.StreamUnknown, originRetryAfter, "no control host in reach knows the stream that attempt %q began", x.r.Resumes)
	}
	g.o.Metrics.Add("streams_taken_up", 1)
	g.o.Log.Info("stream taken up", "request_id", x.r.ID, "resumes", x.r.Resumes, "resume_after", x.r.ResumeAfter, "service", o.Service, "release", o.Release,
		"source", source, "waited_ms", now.Sub(began).Milliseconds())
	g.streams.record(stream, o, now)
	x.service, x.release = o.Service, &o.Release
	return nil
}

// bindToOnlyRelease binds a stream whose first attempt is not named to the release of its service, if no other one can
// have begun it: a control host has known all servers for as long as streams may be taken up, and they ran one release.
// The servers that this host knows now do not prove it, as others may have left or have ended with the last process of
// this host.
func (g *Gateway) bindToOnlyRelease(ctx context.Context, x *execution) *failure.Error {
	service := x.route.Service(hashFraction(x.r.ID))
	g.mu.Lock()
	release, only := g.fleet.OnlyRelease(service)
	g.mu.Unlock()
	reason, source := "several releases serve", ""
	if only {
		source, reason = g.findReleaseProof(ctx, service, release, x.record.StreamRetention())
	}
	g.o.Log.Info("release of an unnamed stream", "request_id", x.r.ID, "resume_after", x.r.ResumeAfter, "service", service, "release", release,
		"source", source, "reason", reason)
	if source == "" {
		g.o.Metrics.Add("streams_of_unknown_origin", 1)
		return notRun(failure.StreamUnknown, 0, "the request does not name the attempt that began the stream, and the release of service %q is not certain: %s", service, reason)
	}
	g.o.Metrics.Add("streams_taken_up", 1)
	x.service, x.release = service, &release
	return nil
}

// findReleaseProof asks all control hosts which releases a service ran within a time. It returns a control host whose
// word proves that this was the only one, or the reason why there is none.
func (g *Gateway) findReleaseProof(ctx context.Context, service, release string, within time.Duration) (source, reason string) {
	query := &pb.StreamQuery{Service: service, WithinMs: uint64(within.Milliseconds())}
	near, far := g.controlHostsByDistance()
	var answers []releases.Answer
	g.askControlHosts(ctx, slices.Concat(near, far), query, func(a originAnswer) (enough bool) {
		if a.m == nil {
			return false
		}
		answer := releases.Answer{Host: a.addr, Releases: a.m.RecentReleases, Complete: a.m.Complete, Uptime: milliseconds(a.m.UptimeMs), Hosts: a.m.ControlHosts}
		answers = append(answers, answer)
		return answer.NamesAnother(release)
	})
	return releases.Prove(release, within, answers)
}

// findOrigin returns the origin of a stream and the control host that knows it, or "this host"; "" if none
// does within a time.
func (g *Gateway) findOrigin(ctx context.Context, stream uint64, within time.Duration) (o streamorigin.Origin, source string) {
	deadline := g.o.Clock.Now().Add(within)
	for {
		if o, ok := g.streams.origin(stream); ok {
			return o, "this host"
		}
		near, far := g.controlHostsByDistance()
		if o, source = g.queryOrigin(ctx, near, stream); source == "" {
			o, source = g.queryOrigin(ctx, far, stream)
		}
		if source != "" || ctx.Err() != nil || g.o.Clock.Now().Add(originRetryInterval).After(deadline) {
			return o, source
		}
		sleep(ctx, originRetryInterval)
	}
}

// controlHostsByDistance returns the addresses of the control hosts of the own region and of the others.
func (g *Gateway) controlHostsByDistance() (near, far []string) {
	now := g.o.Clock.Now()
	c := &g.control
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, addr := range c.allLocked() {
		h := c.hostLocked(addr)
		if g.distance(h.domain) != controlhosts.OtherRegion {
			near = append(near, addr)
			continue
		}
		far = append(far, addr)
		if !h.syncing {
			h.idleSince = now // the link that a query opens is closed after idleLinkTimeout
		}
	}
	return near, far
}

// queryOrigin asks control hosts for the origin of a stream and returns the first one that is found.
func (g *Gateway) queryOrigin(ctx context.Context, addrs []string, stream uint64) (streamorigin.Origin, string) {
	knows := func(a originAnswer) bool { return len(a.m.GetService()) == 1 && len(a.m.GetRelease()) == 1 }
	answers := g.askControlHosts(ctx, addrs, &pb.StreamQuery{Stream: stream}, knows)
	if n := len(answers); n > 0 && knows(answers[n-1]) {
		a := answers[n-1]
		return streamorigin.Origin{Service: a.m.Service[0], Release: a.m.Release[0]}, a.addr
	}
	return streamorigin.Origin{}, ""
}

// originAnswer is a control host's answer to a query.
type originAnswer struct {
	m    *pb.StreamOrigins // nil if it did not answer
	addr string
}

// askControlHosts sends a query to control hosts at once. It returns the answers in the order of their arrival, up to
// the first one that is enough.
func (g *Gateway) askControlHosts(ctx context.Context, addrs []string, query *pb.StreamQuery, enough func(originAnswer) bool) (list []originAnswer) {
	ctx, cancel := context.WithTimeout(ctx, originQueryTimeout)
	defer cancel()
	answers := make(chan originAnswer, len(addrs))
	for _, addr := range addrs {
		go func() {
			req := g.newPeerRequest()
			req.Body = &pb.Request_StreamQuery{StreamQuery: query}
			resp, err := g.o.Peers.Call(ctx, addr, req)
			if err != nil {
				resp = nil
			}
			answers <- originAnswer{resp.GetStreamOrigins(), addr}
		}()
	}
	for range addrs {
		a := <-answers
		if list = append(list, a); enough(a) {
			return list
		}
	}
	return list
}

// bindToRelease binds a stream to the release of the server that writes it, once that is known, and records it
// for callers who take the stream up at another entry host.
func (g *Gateway) bindToRelease(x *execution, hd Head) {
	if x.release != nil {
		return
	}
	x.releaseUnknown = hd.Release == nil
	if x.releaseUnknown {
		return
	}
	x.release = hd.Release
	origin := streamorigin.Origin{Service: x.service, Release: *hd.Release}
	if x.successor.Load() {
		origin = streamorigin.Unknown
	}
	if x.route.Resumable {
		g.streams.record(streamorigin.Key(x.r.ID), origin, g.o.Clock.Now())
	}
}

// doubtRelease reports whether a stream may have begun at the process that has replaced its server's, and so at another
// release than the announced one. If so, the stream does not go on elsewhere, and callers who take it up are refused.
func (g *Gateway) doubtRelease(x *execution, c *dispatch.Choice, began time.Time) bool {
	g.mu.Lock()
	doubt := g.fleet.MayBeSuccessor(c, began)
	g.mu.Unlock()
	if doubt && x.successor.CompareAndSwap(false, true) && x.route.Resumable {
		g.streams.record(streamorigin.Key(x.r.ID), streamorigin.Unknown, g.o.Clock.Now())
		g.o.Log.Info("release of a begun stream unknown", "request_id", x.r.ID, "server", c.Server.ID, "start", c.Server.Start, "release", c.Server.Release)
	}
	return doubt
}
