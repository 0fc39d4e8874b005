// Package crashwatch detects requests that crash the servers that run them, for all requests of
// an entry host. It checks whether servers that broke connections have ended, maintains the table
// of package quarantine, and logs the verdicts.
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
	// AnnounceEvery is the interval at which servers announce themselves.
	AnnounceEvery time.Duration
	// Probe checks whether a process listens at an address; nil to make no checks.
	Probe   port.ListenProbe
	Clock   port.Clock
	Log     logr.Logger
	Metrics port.Metrics
}

// Times of the check whether a server's process has ended.
const (
	checkTimeout = 100 * time.Millisecond
	// recheckDelay is the delay before a second probe: a process that ends closes its connections
	// one by one, and its listener possibly last. No request waits for the second probe.
	recheckDelay = 30 * time.Millisecond
	// checkValidity is how long a check also serves for connections that the server breaks later.
	checkValidity = 500 * time.Millisecond
)

// Watch detects crashing requests on one entry host. It is safe for concurrent use.
type Watch struct {
	o Options

	mu       sync.Mutex
	table    *quarantine.Table
	detector *quarantine.CrashDetector
	checks   map[quarantine.ServerProcess]*check
	onChange func()
	checking int           // checks that go on
	settled  chan struct{} // closed when no check goes on; nil if nobody waits for that
}

// check is one check of a server, shared by all requests whose connections the server broke.
type check struct {
	done chan struct{} // closed after the first probe
	at   time.Time
}

// New returns a Watch without records.
func New(o Options) *Watch {
	return &Watch{
		o: o, table: quarantine.New(o.Quarantine), detector: quarantine.NewCrashDetector(o.AnnounceEvery),
		checks: map[quarantine.ServerProcess]*check{},
	}
}

// OnChange sets a function that is called after this host has recorded evidence, to send it to
// the other hosts at once. It is called with the Watch locked, so it must not block or call the
// Watch.
func (w *Watch) OnChange(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onChange = f
}

// Admit returns how an attempt of a request is to be treated, or its refusal. again is set if
// the request has been sent to a server before. Finish must follow an attempt that was admitted.
func (w *Watch) Admit(requestID string, f quarantine.Fingerprint, again bool) (quarantine.Judgement, *failure.Error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.table.Begin(f, again, w.o.Clock.Now())
	if j.Verdict != quarantine.Quarantined && j.Verdict != quarantine.Busy {
		return j, nil
	}
	w.o.Log.Info("request refused as crashing", "request_id", requestID, "fingerprint", f.String(), "verdict", j.Verdict.String(), "ends", j.ServerCrashes)
	if j.Verdict == quarantine.Quarantined {
		w.o.Metrics.Add("refused_quarantined", 1)
		return j, failure.New(failure.Quarantined, failure.NotRun, "%d servers crashed while running the request; fingerprint %s", j.ServerCrashes, f)
	}
	w.o.Metrics.Add("refused_suspected", 1)
	return j, failure.New(failure.Suspected, failure.NotRun, "%d servers crashed while running the request, and the verdict is pending; fingerprint %s", j.ServerCrashes, f).
		WithRetryAfter(busyRetryAfter)
}

// busyRetryAfter is the time after which to repeat a request whose verdict is Busy: by then most
// attempts in flight have been answered or have crashed their server.
const busyRetryAfter = time.Second

// Finish records the end of an attempt.
func (w *Watch) Finish(f quarantine.Fingerprint, j quarantine.Judgement) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.Finish(f, j)
}

// RecordAnswer records that a server answered the request completely.
func (w *Watch) RecordAnswer(f quarantine.Fingerprint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.table.Judge(f, w.o.Clock.Now())
	if w.table.RecordAnswer(f, w.o.Clock.Now()) && before.ServerCrashes > 1 {
		w.o.Log.Info("suspicion ended", "fingerprint", f.String(), "ends", before.ServerCrashes, "verdict", before.Verdict.String(), "reason", "a server answered it")
	}
}

// RecordBreak records that a server broke the connection of a request. It blocks until the server
// has been probed, unless its process is already proved to have ended.
func (w *Watch) RecordBreak(b quarantine.ConnectionBreak, e quarantine.Evidence) {
	e.Server = b.Process.Key()
	w.mu.Lock()
	if w.detector.Add(b, e, w.o.Clock.Now()) {
		w.countLocked([]quarantine.Evidence{e}, "the server's process has ended")
		w.mu.Unlock()
		return
	}
	c := w.checks[b.Process]
	if c == nil || w.o.Clock.Now().Sub(c.at) > checkValidity {
		c = &check{done: make(chan struct{}), at: w.o.Clock.Now()}
		w.checks[b.Process] = c
		w.checking++
		go w.checkServer(b, c)
	}
	w.mu.Unlock()
	<-c.done
}

// RecordBreakLater is RecordBreak without the wait for the probe.
func (w *Watch) RecordBreakLater(b quarantine.ConnectionBreak, e quarantine.Evidence) {
	w.mu.Lock()
	w.checking++
	w.mu.Unlock()
	go func() {
		defer w.endCheck()
		w.RecordBreak(b, e)
	}()
}

func (w *Watch) endCheck() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.checking--; w.checking == 0 && w.settled != nil {
		close(w.settled)
		w.settled = nil
	}
}

// Settle waits until the checks that go on have ended and their evidence is recorded, or ctx ends.
func (w *Watch) Settle(ctx context.Context) {
	w.mu.Lock()
	if w.checking == 0 {
		w.mu.Unlock()
		return
	}
	if w.settled == nil {
		w.settled = make(chan struct{})
	}
	settled := w.settled
	w.mu.Unlock()
	select {
	case <-settled:
	case <-ctx.Done():
	}
}

// RecordCrash records proof that the server's process ended while it ran a request.
func (w *Watch) RecordCrash(b quarantine.ConnectionBreak, e quarantine.Evidence) {
	e.Server = b.Process.Key()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.countLocked([]quarantine.Evidence{e}, "another process runs under the server's ID")
}

func (w *Watch) checkServer(b quarantine.ConnectionBreak, c *check) {
	defer w.endCheck()
	answer := w.probe(b)
	close(c.done)
	if answer == port.Accepts {
		time.Sleep(recheckDelay)
		answer = w.probe(b)
	}
	w.o.Log.Info("server checked after broken connections", "server", b.Process.ID, "start", b.Process.StartID, "address", b.Address, "listening", answer.String())
	time.AfterFunc(checkValidity, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.checks[b.Process] == c {
			delete(w.checks, b.Process)
		}
	})
}

// probe checks whether a process listens at the server's address, and records a crash if none
// does.
func (w *Watch) probe(b quarantine.ConnectionBreak) port.Listening {
	if w.o.Probe == nil {
		return port.NoAnswer
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	answer := w.o.Probe.Listening(ctx, b.Address)
	if answer == port.Refuses {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.countLocked(w.detector.ConnectionRefused(b.Process), "no process listens at the server's address")
	}
	return answer
}

// Idle reports whether there are no records to compare with the servers' announcements.
func (w *Watch) Idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.detector.Len() == 0 && w.table.Len() == 0
}

// ObserveAnnouncements compares the records with the servers' last announcements. Another process
// under a server's ID or at its address proves that the server's process has ended; a later
// announcement of the same process disproves it.
func (w *Watch) ObserveAnnouncements(servers []quarantine.Announcement) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.o.Clock.Now()
	proved, alive := w.detector.ObserveAnnouncements(servers, now)
	w.countLocked(proved, "another process announced itself under the server's ID or at its address")
	for _, key := range alive {
		for _, f := range w.table.RecordAlive(key, now) {
			w.o.Log.Info("evidence withdrawn", "fingerprint", f.String(), "server_key", key, "reason", "the server announced itself again")
		}
	}
	w.table.RemoveExpired(now)
}

// countLocked records crashes of servers for the requests that they were running.
func (w *Watch) countLocked(list []quarantine.Evidence, proof string) {
	now, added := w.o.Clock.Now(), false
	for _, e := range list {
		j, counted := w.table.RecordCrash(e, now)
		if !counted {
			continue
		}
		added = true
		w.o.Metrics.Add("servers_ended_under_requests", 1)
		if j.ServerCrashes > 1 {
			w.logVerdict(quarantine.Change{Fingerprint: e.Fingerprint, After: j, Team: e.Team, Service: e.Service, Release: e.Release}, "proof", proof, "server_key", e.Server)
		}
	}
	if added && w.onChange != nil {
		w.onChange()
	}
}

// logVerdict logs a change of the verdict on a request, with the evidence.
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
		last = c.Before.LastCrash // After holds no crash
	}
	if !last.IsZero() {
		attrs = append(attrs, "since_ms", max(0, w.o.Clock.Now().Sub(last).Milliseconds()))
	}
	w.o.Log.Info(event, append(attrs, kv...)...)
}

// Merge adds the records of another host.
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

// Since returns records to send to another host; see quarantine.Table.
func (w *Watch) Since(revision uint64, most int, wanted quarantine.RecordFilter) ([]*pb.QuarantineRecord, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.Since(revision, most, wanted, w.o.Clock.Now())
}

// SetHosts sets the number of entry hosts.
func (w *Watch) SetHosts(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.SetHosts(n)
}

// SetReleases sets the releases that a service's servers run.
func (w *Watch) SetReleases(service string, releases []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.SetReleases(service, releases, w.o.Clock.Now())
}

// Sizes returns the number of recorded fingerprints and how many of them are quarantined.
func (w *Watch) Sizes() (recorded, quarantined int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.table.List(w.o.Clock.Now()) {
		if e.Verdict == quarantine.Quarantined {
			quarantined++
		}
	}
	return w.table.Len(), quarantined
}
