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

// Bounds of the messages on requests that crash servers.
const (
	viewRecords     = 128 // in one view of an entry host
	exchangeRecords = 512 // in one message to a control host
)

// keepInterval is how often the leader looks for verdicts that are not in the log yet.
const keepInterval = 200 * time.Millisecond

// verdicts is what a control host knows of requests that crash servers: what entry and
// control hosts tell, and the verdicts that the group's log keeps.
type verdicts struct {
	mu    sync.Mutex
	table *quarantine.Table
	epoch uint64 // tells this process's revisions from an earlier one's
	// inLog is the revision up to which the table's verdicts are in the log, as the leader
	// knows.
	inLog uint64
}

func newVerdicts(o quarantine.Options, epoch uint64) *verdicts {
	return &verdicts{table: quarantine.New(o), epoch: epoch}
}

// answerUpdate takes what an entry host tells, and returns what it needs of the others.
func (r *Replica) answerUpdate(m *pb.QuarantineUpdate, from string) *pb.QuarantineUpdate {
	r.mergeVerdicts(m.Records, from)
	have := uint64(0)
	if m.Epoch == r.verdicts.epoch {
		have = m.Have
	}
	out := &pb.QuarantineUpdate{Epoch: r.verdicts.epoch}
	out.Records, out.Next = r.verdictsSince(have, viewRecords, quarantine.NeededByEntryHosts)
	return out
}

// mergeVerdicts takes what another host knows. It reports whether entry hosts must be told at once.
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
			r.o.Log.Info("verdict on a request", "verdict", c.After.Verdict.String(), "fingerprint", c.Fingerprint.String(), "team", c.Team,
				"service", c.Service, "release", c.Release, "ends", c.After.ServerCrashes, "told_by", from)
		}
	}
	return decisive
}

// verdictsSince returns records to tell another host; see quarantine.Table.
func (r *Replica) verdictsSince(revision uint64, most int, wanted quarantine.RecordFilter) ([]*pb.QuarantineRecord, uint64) {
	r.verdicts.mu.Lock()
	defer r.verdicts.mu.Unlock()
	return r.verdicts.table.Since(revision, most, wanted, r.o.Clock.Now())
}

// Quarantine lists the requests under which more than one server ended.
func (r *Replica) Quarantine() []quarantine.Entry {
	r.verdicts.mu.Lock()
	defer r.verdicts.mu.Unlock()
	return r.verdicts.table.List(r.o.Clock.Now())
}

// Lift ends a request's quarantine on all hosts, durably.
func (r *Replica) Lift(ctx context.Context, f quarantine.Fingerprint) error {
	lift := &pb.QuarantineRecord{Fingerprint: f[:], Cleared: 1}
	found := false
	for _, e := range r.Quarantine() {
		if e.Fingerprint == f {
			lift.Cleared, found = e.Cleared+1, true
		}
	}
	if !found {
		return failure.New(failure.NotFound, failure.NotRun, "no request with fingerprint %s is quarantined or suspected here", f)
	}
	_, err := r.Change(ctx, &pb.Command{Lift: lift})
	return err
}

// takeKept merges the verdicts that the log keeps. They are older than they were when they
// were accepted.
func (r *Replica) takeKept(kept []*pb.KeptQuarantine) {
	now := r.o.Clock.Now()
	records := make([]*pb.QuarantineRecord, 0, len(kept))
	for _, k := range kept {
		m := proto.Clone(k.Record).(*pb.QuarantineRecord)
		older := uint32(max(0, now.Sub(time.UnixMilli(k.TimeMs))/time.Second))
		for i := range m.AgeS {
			m.AgeS[i] += older
		}
		records = append(records, m)
	}
	r.mergeVerdicts(records, "the log")
}

// keepVerdicts lets the leader put verdicts into the log, until ctx ends: they must hold
// after all processes have stopped.
func (r *Replica) keepVerdicts(ctx context.Context) {
	defer r.wg.Done()
	t := time.NewTicker(keepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.forgetVerdicts()
			if r.leading.Load() {
				r.keepNew(ctx)
			}
		}
	}
}

func (r *Replica) forgetVerdicts() {
	r.verdicts.mu.Lock()
	defer r.verdicts.mu.Unlock()
	r.verdicts.table.RemoveExpired(r.o.Clock.Now())
}

// keepNew puts the verdicts that are not in the log yet into it, and the ends of those that are.
func (r *Replica) keepNew(ctx context.Context) {
	r.verdicts.mu.Lock()
	from := r.verdicts.inLog
	r.verdicts.mu.Unlock()
	records, next := r.verdictsSince(from, viewRecords, quarantine.AllRecords)
	kept := configstate.KeptByFingerprint(r.published.Load().Quarantined)
	for _, m := range records {
		if !configstate.MustReplaceKept(m, kept[string(m.Fingerprint)]) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, keepTimeout)
		_, err := r.Change(ctx, &pb.Command{Quarantine: m})
		cancel()
		if err != nil {
			r.o.Log.Info("verdict not kept yet", "reason", err.Error())
			return
		}
	}
	r.verdicts.mu.Lock()
	r.verdicts.inLog = next
	r.verdicts.mu.Unlock()
}

// keepTimeout bounds the time to put one verdict into the log.
const keepTimeout = 2 * time.Second
