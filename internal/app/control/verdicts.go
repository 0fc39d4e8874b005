package control

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Limits of the quarantine records in one message.
const (
	maxViewRecords     = 128 // in one view of an entry host
	maxExchangeRecords = 512 // in one message to a control host
)

// persistInterval is the pause between the leader's checks for verdicts that are not in the log
// yet.
const persistInterval = 200 * time.Millisecond

// verdicts holds a control host's records of requests and prompt parts that crash servers: those that entry and
// control hosts sent, and those persisted in the group's log.
type verdicts struct {
	mu    sync.Mutex
	table *quarantine.Table
	epoch uint64 // distinguishes the revisions of this process from those of an earlier one
	// persistedRevision is the revision up to which the leader has added the table's verdicts to
	// the log.
	persistedRevision uint64
}

func newVerdicts(o quarantine.Options, epoch uint64) *verdicts {
	return &verdicts{table: quarantine.New(o), epoch: epoch}
}

// answerQuarantineUpdate merges the records of an entry host, and returns those of other hosts that
// it needs.
func (r *Replica) answerQuarantineUpdate(m *pb.QuarantineUpdate, from string) *pb.QuarantineUpdate {
	r.mergeVerdicts(m.Records, from)
	have := uint64(0)
	if m.Epoch == r.verdicts.epoch {
		have = m.Have
	}
	out := &pb.QuarantineUpdate{Epoch: r.verdicts.epoch}
	out.Records, out.Next = r.verdictsSince(have, maxViewRecords, quarantine.NeededByEntryHosts)
	return out
}

// mergeVerdicts merges another host's records. It reports whether entry hosts must be notified at
// once.
func (r *Replica) mergeVerdicts(records []*pb.QuarantineRecord, from string) (decisive bool) {
	if len(records) == 0 {
		return false
	}
	now := r.o.Clock.Now()
	r.verdicts.mu.Lock()
	defer r.verdicts.mu.Unlock()
	for _, c := range r.verdicts.table.Merge(records, now) {
		if c.After.ServerCrashes > 1 || c.Before.ServerCrashes > 1 {
			decisive = true
			r.o.Log.Info(verdictEvent(c), "verdict", c.After.Verdict.String(), "fingerprint", c.Fingerprint.String(), "part", c.Part, "team", c.Team,
				"service", c.Service, "release", c.Release, "ends", c.After.ServerCrashes, "told_by", from)
		}
	}
	return decisive
}

func verdictEvent(c quarantine.Change) string {
	if c.Part != "" {
		return "verdict on a prompt part"
	}
	return "verdict on a request"
}

// verdictsSince returns up to limit records to send to another host; see quarantine.Table.
func (r *Replica) verdictsSince(revision uint64, limit int, wanted quarantine.RecordFilter) ([]*pb.QuarantineRecord, uint64) {
	r.verdicts.mu.Lock()
	defer r.verdicts.mu.Unlock()
	return r.verdicts.table.Since(revision, limit, wanted, r.o.Clock.Now())
}

// Quarantine returns the requests and prompt parts that crashed more than one server.
func (r *Replica) Quarantine() []quarantine.Entry {
	r.verdicts.mu.Lock()
	defer r.verdicts.mu.Unlock()
	return r.verdicts.table.List(r.o.Clock.Now())
}

// LiftQuarantine ends the quarantine of a request or prompt part on all hosts, durably.
func (r *Replica) LiftQuarantine(ctx context.Context, f quarantine.Fingerprint) error {
	lift := &pb.QuarantineRecord{Fingerprint: f[:], Cleared: 1}
	found := false
	for _, e := range r.Quarantine() {
		if e.Fingerprint == f {
			lift.Cleared, found = e.Cleared+1, true
		}
	}
	if !found {
		return failure.New(failure.NotFound, failure.NotRun, "no request or prompt part with fingerprint %s is quarantined or suspected here", f)
	}
	_, err := r.Change(ctx, &pb.Command{Lift: lift})
	return err
}

// mergePersisted merges the verdicts from the log. It increases their ages by the time since they
// were accepted.
func (r *Replica) mergePersisted(kept []*pb.KeptQuarantine) {
	now := r.o.Clock.Now()
	records := make([]*pb.QuarantineRecord, 0, len(kept))
	for _, k := range kept {
		m := proto.Clone(k.Record).(*pb.QuarantineRecord)
		elapsedS := uint32(max(0, now.Sub(time.UnixMilli(k.TimeMs))/time.Second))
		for i := range m.AgeS {
			m.AgeS[i] += elapsedS
		}
		records = append(records, m)
	}
	r.mergeVerdicts(records, "the log")
}

// persistVerdicts adds new verdicts to the log while this replica is the leader, until ctx ends.
// Verdicts must survive a restart of all processes.
func (r *Replica) persistVerdicts(ctx context.Context) {
	defer r.wg.Done()
	t := time.NewTicker(persistInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.expireVerdicts()
			if r.leading.Load() {
				r.persistNewVerdicts(ctx)
			}
		}
	}
}

func (r *Replica) expireVerdicts() {
	r.verdicts.mu.Lock()
	defer r.verdicts.mu.Unlock()
	r.verdicts.table.RemoveExpired(r.o.Clock.Now())
}

// persistNewVerdicts adds to the log the verdicts that are not in it yet, and further crashes
// of those that are.
func (r *Replica) persistNewVerdicts(ctx context.Context) {
	r.verdicts.mu.Lock()
	from := r.verdicts.persistedRevision
	r.verdicts.mu.Unlock()
	records, next := r.verdictsSince(from, maxViewRecords, quarantine.AllRecords)
	kept := configstate.KeptByFingerprint(r.published.Load().Quarantined)
	for _, m := range records {
		if k := kept[string(m.Fingerprint)]; !configstate.MustReplaceKept(m, k) || (k == nil && quarantine.CountCrashes(m) < quarantine.CrashThreshold) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, persistTimeout)
		_, err := r.Change(ctx, &pb.Command{Quarantine: m})
		cancel()
		if err != nil {
			r.o.Log.Info("verdict not persisted yet", "reason", err.Error())
			return
		}
	}
	r.verdicts.mu.Lock()
	r.verdicts.persistedRevision = next
	r.verdicts.mu.Unlock()
}

// persistTimeout limits the time to add one verdict to the log.
const persistTimeout = 2 * time.Second
