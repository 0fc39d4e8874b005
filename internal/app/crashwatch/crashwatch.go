// Package crashwatch watches on an entry host for requests that crash the servers that run
// them, for every way by which requests come. It asks whether servers that broke off requests
// have ended, keeps the table of package quarantine, and writes its verdicts to the log.
package crashwatch

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// Options configures a Watch.
type Options struct {
	Quarantine quarantine.Options
	// AnnounceEvery is the interval of the servers' announcements.
	AnnounceEvery time.Duration
	// Probe asks whether a process listens; nil for never.
	Probe   port.ListenProbe
	Clock   port.Clock
	Log     logr.Logger
	Metrics port.Metrics
}

// Times of a question whether a server's process has ended.
const (
	checkTimeout = 100 * time.Millisecond
	// checkPause precedes a second look: a process that ends closes its connections one by
	// one, the listening one possibly last. No request waits for it.
	checkPause = 30 * time.Millisecond
	// checkHolds is how long an answer serves the requests that break off after it.
	checkHolds = 500 * time.Millisecond
)

// Watch is what one entry host knows.
type Watch struct {
	o Options

	mu     sync.Mutex
	table  *quarantine.Table
	breaks *quarantine.CrashDetector
	checks map[quarantine.ServerProcess]*check
	change func()
}

// check is one question whether a process listens, for all requests that a server broke off.
type check struct {
	done chan struct{} // closed with the answer
	at   time.Time
}

// New returns a watch that knows nothing yet.
func New(o Options) *Watch {
	return &Watch{
		o: o, table: quarantine.New(o.Quarantine), breaks: quarantine.NewCrashDetector(o.AnnounceEvery),
		checks: map[quarantine.ServerProcess]*check{},
	}
}

// OnChange sets what is called after evidence was found here, for the other hosts to be told
// at once. It must not wait.
func (w *Watch) OnChange(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.change = f
}

// Admit returns how an attempt of a request is to be treated, or its refusal. again says that
// the request has been at a server before. Finish follows an attempt that was not refused.
func (w *Watch) Admit(requestID string, f quarantine.Fingerprint, again bool) (quarantine.Judgement, *failure.Error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.table.Begin(f, again, w.o.Clock.Now())
	if j.Verdict != quarantine.Quarantined && j.Verdict != quarantine.Busy {
		return j, nil
	}
	w.o.Log.Info("request refused as a crashing one", "request_id", requestID, "fingerprint", f.String(), "verdict", j.Verdict.String(), "ends", j.ServerCrashes)
	if j.Verdict == quarantine.Quarantined {
		w.o.Metrics.Add("refused_quarantined", 1)
		return j, failure.New(failure.Quarantined, failure.NotRun, "%d servers ended while they ran it; fingerprint %s", j.ServerCrashes, f)
	}
	w.o.Metrics.Add("refused_suspected", 1)
	return j, failure.New(failure.Suspected, failure.NotRun, "%d servers ended while they ran it, and it is being tried; fingerprint %s", j.ServerCrashes, f).
		WithRetryAfter(busyRetry)
}

// busyRetry is when a request comes back that is being tried: most are answered by then, or
// have ended their server.
const busyRetry = time.Second

// Finish records that an attempt has ended.
func (w *Watch) Finish(f quarantine.Fingerprint, j quarantine.Judgement) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.Finish(f, j)
}

// Served records that a server answered the request to its end.
func (w *Watch) Served(f quarantine.Fingerprint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.table.Judge(f, w.o.Clock.Now())
	if w.table.RecordAnswer(f, w.o.Clock.Now()) && before.ServerCrashes > 1 {
		w.o.Log.Info("suspicion ended", "fingerprint", f.String(), "ends", before.ServerCrashes, "verdict", before.Verdict.String(), "reason", "a server answered it")
	}
}

// Broken takes that a server broke off a request, and returns once it is known whether the
// server's process has ended, as far as that can be asked.
func (w *Watch) Broken(b quarantine.ConnectionBreak, e quarantine.Evidence) {
	e.Server = b.Start.Key()
	w.mu.Lock()
	if w.breaks.Add(b, e, w.o.Clock.Now()) {
		w.countLocked([]quarantine.Evidence{e}, "the server has ended")
		w.mu.Unlock()
		return
	}
	c := w.checks[b.Start]
	if c == nil || w.o.Clock.Now().Sub(c.at) > checkHolds {
		c = &check{done: make(chan struct{}), at: w.o.Clock.Now()}
		w.checks[b.Start] = c
		go w.ask(b, c)
	}
	w.mu.Unlock()
	<-c.done
}

// Ended takes proof that the server's process ended while it ran a request.
func (w *Watch) Ended(b quarantine.ConnectionBreak, e quarantine.Evidence) {
	e.Server = b.Start.Key()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.countLocked([]quarantine.Evidence{e}, "another process runs under the server's ID")
}

func (w *Watch) ask(b quarantine.ConnectionBreak, c *check) {
	answer := w.look(b)
	close(c.done)
	if answer == port.Accepts {
		time.Sleep(checkPause)
		answer = w.look(b)
	}
	w.o.Log.Info("server checked after it broke off requests", "server", b.Start.ID, "start", b.Start.StartID, "address", b.Address, "listening", answer.String())
	time.AfterFunc(checkHolds, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.checks[b.Start] == c {
			delete(w.checks, b.Start)
		}
	})
}

// look asks whether a process listens at the server's address, and counts what that proves.
func (w *Watch) look(b quarantine.ConnectionBreak) port.Listening {
	if w.o.Probe == nil {
		return port.NoAnswer
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	answer := w.o.Probe.Listening(ctx, b.Address)
	if answer == port.Refuses {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.countLocked(w.breaks.ConnectionRefused(b.Start), "no process listens at the server's address")
	}
	return answer
}

// Idle reports whether nothing that a server's announcement tells would matter.
func (w *Watch) Idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.breaks.Len() == 0 && w.table.Len() == 0
}

// Heard takes which servers are known.
func (w *Watch) Heard(servers []quarantine.Announcement) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.o.Clock.Now()
	proved, alive := w.breaks.ObserveAnnouncements(servers, now)
	w.countLocked(proved, "another server was heard under its ID or at its address")
	for _, key := range alive {
		for _, f := range w.table.RecordAlive(key, now) {
			w.o.Log.Info("evidence taken back", "fingerprint", f.String(), "server_key", key, "reason", "the server was heard again")
		}
	}
	w.table.RemoveExpired(now)
}

// countLocked counts evidence against the requests that it names.
func (w *Watch) countLocked(list []quarantine.Evidence, proof string) {
	now, news := w.o.Clock.Now(), false
	for _, e := range list {
		j, counted := w.table.RecordCrash(e, now)
		if !counted {
			continue
		}
		news = true
		w.o.Metrics.Add("servers_ended_under_requests", 1)
		if j.ServerCrashes > 1 {
			w.logVerdict(quarantine.Change{Fingerprint: e.Fingerprint, After: j, Team: e.Team, Service: e.Service, Release: e.Release}, "proof", proof, "server_key", e.Server)
		}
	}
	if news && w.change != nil {
		w.change()
	}
}

// logVerdict writes how a request stands, with the evidence.
func (w *Watch) logVerdict(c quarantine.Change, kv ...any) {
	event := "request suspected"
	switch {
	case c.After.ServerCrashes >= quarantine.CrashThreshold:
		event = "request quarantined"
		w.o.Metrics.Add("requests_quarantined", 1)
	case c.After.ServerCrashes == 0:
		event = "quarantine or suspicion lifted"
	}
	attrs := []any{"fingerprint", c.Fingerprint.String(), "team", c.Team, "service", c.Service, "release", c.Release, "ends", c.After.ServerCrashes}
	last := c.After.LastCrash
	if c.After.ServerCrashes == 0 {
		last = c.Before.LastCrash // nothing is left after it
	}
	if !last.IsZero() {
		attrs = append(attrs, "since_ms", max(0, w.o.Clock.Now().Sub(last).Milliseconds()))
	}
	w.o.Log.Info(event, append(attrs, kv...)...)
}

// Merge takes what another host knows.
func (w *Watch) Merge(records []*pb.QuarantineRecord, from string) {
	if len(records) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.table.Merge(records, w.o.Clock.Now()) {
		if c.After.ServerCrashes > 1 || c.Before.ServerCrashes > 1 {
			w.logVerdict(c, "told_by", from)
		}
	}
}

// Since returns records to tell another host; see quarantine.Table.
func (w *Watch) Since(revision uint64, most int, wanted quarantine.RecordFilter) ([]*pb.QuarantineRecord, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.Since(revision, most, wanted, w.o.Clock.Now())
}

// SetHosts tells how many entry hosts there are.
func (w *Watch) SetHosts(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.SetHosts(n)
}

// SetReleases tells which releases a service's servers run.
func (w *Watch) SetReleases(service string, releases []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.SetReleases(service, releases, w.o.Clock.Now())
}

// Sizes returns how many fingerprints are remembered and how many of them are refused.
func (w *Watch) Sizes() (remembered, quarantined int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.table.List(w.o.Clock.Now()) {
		if e.Verdict == quarantine.Quarantined {
			quarantined++
		}
	}
	return w.table.Len(), quarantined
}
