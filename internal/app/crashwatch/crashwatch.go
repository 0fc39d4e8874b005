// Package crashwatch detects requests and prompt parts that crash the servers that run them, for
// all requests of an entry host. It checks whether servers that broke connections have ended, maintains the table
// of package quarantine, and logs the verdicts.
package crashwatch

import (
	"context"
	"fmt"
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

// Watch detects crashing requests and prompt parts on one entry host. It is safe for concurrent use.
type Watch struct {
	o Options

	mu       sync.Mutex
	table    *quarantine.Table
	detector *quarantine.CrashDetector
	open     *quarantine.OpenAnswers
	checks   map[quarantine.ServerProcess]*check
	onChange func()
	checking int           // checks that go on
	settled  chan struct{} // closed when no check goes on; nil if nobody waits for that
}

// check is one check of a server, shared by all requests whose connections the server broke.
type check struct {
	done     chan struct{} // closed after the first probe
	finished chan struct{} // closed after the last probe
	at       time.Time
	last     bool // the last probe has begun
	refused  bool // no process listens; valid once finished is closed
}

// New returns a Watch without records.
func New(o Options) *Watch {
	return &Watch{
		o: o, table: quarantine.New(o.Quarantine), detector: quarantine.NewCrashDetector(o.AnnounceEvery),
		open:   quarantine.NewOpenAnswers(),
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
func (w *Watch) Admit(requestID string, s quarantine.Subjects, again bool) (quarantine.Admission, *failure.Error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.table.Admit(s, again, w.o.Clock.Now())
	if !a.Refused() {
		return a, nil
	}
	w.o.Log.Info("request refused as crashing", append(subjectAttrs(a.Subject, a.Part), "request_id", requestID, "verdict", a.Verdict.String(), "ends", a.ServerCrashes)...)
	return a, w.refusal(&a)
}

func (w *Watch) refusal(a *quarantine.Admission) *failure.Error {
	quarantined, suspected, what := failure.Quarantined, failure.Suspected, "the request"
	if a.Part != "" {
		quarantined, suspected, what = failure.QuarantinedPart, failure.SuspectedPart, fmt.Sprintf("requests with the prompt part %.*q", maxPartBytes, a.Part)
	}
	if a.Verdict == quarantine.Quarantined {
		w.o.Metrics.Add("refused_quarantined", 1)
		return failure.New(quarantined, failure.NotRun, "%d servers crashed while running %s; fingerprint %s", a.ServerCrashes, what, a.Subject)
	}
	w.o.Metrics.Add("refused_suspected", 1)
	return failure.New(suspected, failure.NotRun, "%d servers crashed while running %s, and the verdict is pending; fingerprint %s", a.ServerCrashes, what, a.Subject).
		WithRetryAfter(busyRetryAfter)
}

// maxPartBytes bounds the ID of a prompt part in logs and failures.
const maxPartBytes = 128

// subjectAttrs returns the log attributes of a request or a prompt part.
func subjectAttrs(f quarantine.Fingerprint, part string) []any {
	attrs := []any{"fingerprint", f.String(), "kind", "request"}
	if part != "" {
		attrs = []any{"fingerprint", f.String(), "kind", "part", "part", part[:min(len(part), maxPartBytes)]}
	}
	return attrs
}

// busyRetryAfter is the time after which to repeat a request whose verdict is Busy: by then most
// attempts in flight have been answered or have crashed their server.
const busyRetryAfter = time.Second

// Finish records the end of an attempt.
func (w *Watch) Finish(a *quarantine.Admission) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.Release(a)
}

// RecordAnswer records that a server of a release answered a request completely.
func (w *Watch) RecordAnswer(s quarantine.Subjects, release string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordAnswerLocked(s, release)
}

func (w *Watch) recordAnswerLocked(s quarantine.Subjects, release string) {
	cleared := w.table.RecordWholeAnswer(s, release, w.o.Clock.Now())
	for _, c := range cleared {
		if c.Before.ServerCrashes > 1 {
			w.o.Log.Info("suspicion ended", append(subjectAttrs(c.Fingerprint, c.Part), "ends", c.Before.ServerCrashes, "verdict", c.Before.Verdict.String(), "reason", "a server answered it")...)
		}
	}
	if len(cleared) > 0 && w.onChange != nil {
		w.onChange()
	}
}

// RecordBreak records that a server broke the connection of a request. e holds the request's team,
// service and release. It blocks until the server has been probed, unless its process is already
// proved to have ended.
func (w *Watch) RecordBreak(b quarantine.ConnectionBreak, s quarantine.Subjects, e quarantine.Evidence) {
	e.Server = b.Process.Key()
	w.mu.Lock()
	proved := false
	evidence := s.Evidence(e)
	for _, e := range evidence {
		proved = w.detector.Add(b, e, w.o.Clock.Now())
	}
	if proved {
		w.countLocked(evidence, "the server's process has ended")
		w.mu.Unlock()
		return
	}
	c := w.checks[b.Process]
	if c == nil || w.o.Clock.Now().Sub(c.at) > checkValidity {
		c = w.startCheckLocked(b)
	}
	w.mu.Unlock()
	<-c.done
}

// RecordBreakLater is RecordBreak without the wait for the probe.
func (w *Watch) RecordBreakLater(b quarantine.ConnectionBreak, s quarantine.Subjects, e quarantine.Evidence) {
	w.mu.Lock()
	w.checking++
	w.mu.Unlock()
	go func() {
		defer w.endCheck()
		w.RecordBreak(b, s, e)
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

func (w *Watch) startCheckLocked(b quarantine.ConnectionBreak) *check {
	c := &check{done: make(chan struct{}), finished: make(chan struct{}), at: w.o.Clock.Now()}
	w.checks[b.Process] = c
	w.checking++
	go w.checkServer(b, c)
	return c
}

// RecordOpenAnswer records an answer that ended with its connection, without a length or chunks. It
// counts as an answer once the server's process responds to a later attempt, and as broken off if no process
// listens at the server's address. Of too many such answers the last are ignored. It does not block.
func (w *Watch) RecordOpenAnswer(b quarantine.ConnectionBreak, s quarantine.Subjects, e quarantine.Evidence) {
	e.Server = b.Process.Key()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.open.Add(b.Process, quarantine.OpenAnswer{Subjects: s, Release: e.Release, EndedAt: w.o.Clock.Now()}) {
		return
	}
	c := w.checks[b.Process]
	if c == nil || c.last {
		c = w.startCheckLocked(b)
	}
	w.checking++
	go w.countOpenAnswer(c, b, s.Evidence(e))
}

// countOpenAnswer counts an open answer as evidence if the check finds that its server's process has
// ended.
func (w *Watch) countOpenAnswer(c *check, b quarantine.ConnectionBreak, evidence []quarantine.Evidence) {
	defer w.endCheck()
	<-c.finished
	if !c.refused {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range evidence {
		w.detector.Add(b, e, w.o.Clock.Now())
	}
	w.detector.ConnectionRefused(b.Process)
	w.countLocked(evidence, "no process listens at the server's address")
}

// RecordResponse records that a server's process responded to an attempt that was sent to it at a
// time, so that it was alive then.
func (w *Watch) RecordResponse(p quarantine.ServerProcess, sentAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordOpenAnswersLocked(w.open.Confirm(p, sentAt))
}

func (w *Watch) recordOpenAnswersLocked(complete []quarantine.OpenAnswer) {
	for _, a := range complete {
		w.recordAnswerLocked(a.Subjects, a.Release)
	}
}

// RecordCrash records proof that the server's process ended while it ran a request.
func (w *Watch) RecordCrash(b quarantine.ConnectionBreak, s quarantine.Subjects, e quarantine.Evidence) {
	e.Server = b.Process.Key()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.countLocked(s.Evidence(e), "another process runs under the server's ID")
}

func (w *Watch) checkServer(b quarantine.ConnectionBreak, c *check) {
	defer w.endCheck()
	answer := w.probe(b)
	close(c.done)
	if answer == port.Accepts {
		time.Sleep(recheckDelay)
	}
	w.mu.Lock()
	c.last = true
	w.mu.Unlock()
	if answer == port.Accepts {
		answer = w.probe(b)
	}
	c.refused = answer == port.Refuses
	close(c.finished)
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
		w.open.Drop(b.Process)
		w.countLocked(w.detector.ConnectionRefused(b.Process), "no process listens at the server's address")
	}
	return answer
}

// Idle reports whether there are no records to compare with the servers' announcements.
func (w *Watch) Idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.detector.Len() == 0 && w.table.Len() == 0 && w.open.Len() == 0
}

// ObserveAnnouncements compares the records with the servers' last announcements. Another process
// under a server's ID or at its address proves that the server's process has ended; a later
// announcement of the same process disproves it.
func (w *Watch) ObserveAnnouncements(servers []quarantine.Announcement) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.o.Clock.Now()
	w.open.RemoveExpired(now)
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
		if e.Part == "" {
			w.o.Metrics.Add("servers_ended_under_requests", 1)
		}
		if j.ServerCrashes > 1 {
			w.logVerdict(quarantine.Change{Fingerprint: e.Fingerprint, Part: e.Part, After: j, Team: e.Team, Service: e.Service, Release: e.Release}, "proof", proof, "server_key", e.Server)
		}
	}
	if added && w.onChange != nil {
		w.onChange()
	}
}

// logVerdict logs a change of the verdict on a request or prompt part, with the evidence.
func (w *Watch) logVerdict(c quarantine.Change, kv ...any) {
	subject, metric := "request", "requests_quarantined"
	if c.Part != "" {
		subject, metric = "prompt part", "prompt_parts_quarantined"
	}
	event := subject + " suspected"
	switch {
	case c.After.Verdict >= quarantine.Trial:
		event = subject + " quarantined"
		w.o.Metrics.Add(metric, 1)
	case c.After.ServerCrashes == 0:
		event = "quarantine or suspicion lifted"
	}
	attrs := append(subjectAttrs(c.Fingerprint, c.Part), "team", c.Team, "service", c.Service, "release", c.Release, "ends", c.After.ServerCrashes)
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
