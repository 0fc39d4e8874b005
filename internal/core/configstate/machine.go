package configstate

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/core/quotashare"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Retention limits of the state machine. After MaxResults later changes, the result of a
// change ID is no longer kept, and a resent change is checked by its base version alone.
const (
	MaxResults = 4096 // results kept to answer resent changes
	MaxHistory = 1024 // accepted changes kept, with or without their records
	MaxRecords = 16   // latest accepted changes kept with their records
)

// Result is the result of one proposed change.
type Result struct {
	Version uint64       // accepted version; 0 when rejected
	Current uint64       // current version after the change was applied or rejected
	Code    failure.Code // empty when accepted
	Detail  string
	// LogIndex is the log index of the command's entry, set by the replica that applies it.
	LogIndex uint64
	// EvacuationRevision is that of the list of evacuated failure domains after the command.
	EvacuationRevision uint64
}

// Machine is the replicated state machine of the configuration. It is deterministic: equal
// sequences of Apply calls result in equal states on every replica.
type Machine struct {
	log     *pb.ChangeLog
	results map[string]*pb.ChangeResult
	record  *Record
}

// NewMachine returns a machine at version 0 without a record.
func NewMachine(generation uint64) *Machine {
	return &Machine{
		log:     &pb.ChangeLog{Generation: generation},
		results: map[string]*pb.ChangeResult{},
	}
}

// Restore replaces the machine's state with one that Snapshot returned.
func (m *Machine) Restore(data []byte) error {
	log := new(pb.ChangeLog)
	if err := proto.Unmarshal(data, log); err != nil {
		return failure.Wrap(err, failure.JournalCorrupt, "")
	}
	m.log = log
	m.results = map[string]*pb.ChangeResult{}
	for _, r := range log.Results {
		m.results[r.ChangeId] = r
	}
	m.record = nil
	if last := m.Last(); last != nil {
		m.record, _ = Parse(last.Record)
	}
	return nil
}

// Snapshot returns the encoded state of the machine.
func (m *Machine) Snapshot() []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m.log)
	if err != nil {
		panic(err) // cannot happen: the message type has no required fields
	}
	return data
}

// Generation returns the generation of the control group.
func (m *Machine) Generation() uint64 { return m.log.Generation }

// Version returns the version of the last accepted change.
func (m *Machine) Version() uint64 { return m.log.Version }

// Last returns the newest accepted change, or nil.
func (m *Machine) Last() *pb.Accepted {
	if n := len(m.log.Accepted); n > 0 {
		return m.log.Accepted[n-1]
	}
	return nil
}

// Record returns the last accepted record, or nil if there is none.
func (m *Machine) Record() *Record { return m.record }

// History returns the retained accepted changes, oldest first.
func (m *Machine) History() []*pb.Accepted { return m.log.Accepted }

// At returns the accepted change with the version, or nil if it is not retained.
func (m *Machine) At(version uint64) *pb.Accepted {
	for _, a := range m.log.Accepted {
		if a.Version == version {
			return a
		}
	}
	return nil
}

// OrderCounter returns the highest reserved order number.
func (m *Machine) OrderCounter() uint64 { return m.log.OrderCounter }

// Apply applies one committed command. A rejected change leaves the state unchanged, apart
// from its retained result. A change ID with a retained result gets that result again.
func (m *Machine) Apply(c *pb.Command) Result {
	if c.OrderCounter > 0 {
		m.log.OrderCounter = max(m.log.OrderCounter, c.OrderCounter)
		return Result{Current: m.log.Version}
	}
	switch {
	case c.Evacuate != "":
		return m.setEvacuated(c.Evacuate, true)
	case c.Restore != "":
		return m.setEvacuated(c.Restore, false)
	case c.Quarantine != nil:
		return m.applyQuarantine(c.Quarantine, false, c.TimeMs)
	case c.Lift != nil:
		return m.applyQuarantine(c.Lift, true, c.TimeMs)
	case c.IssuerShares != nil:
		return m.applyIssuerShares(c.IssuerShares)
	case c.DeclaredVersion > 0:
		return m.applyDeclared(c)
	}
	if prev, ok := m.results[c.ChangeId]; ok {
		return m.repeatResult(prev, c)
	}
	res, record := m.judge(c)
	if res.Code == "" {
		m.accept(c, res.Version, record)
	}
	m.storeResult(c, res)
	return res
}

// applyDeclared applies a record that declares its own version. The highest version wins: a
// command with a version that is not higher is acknowledged and ignored, even if its content
// differs.
func (m *Machine) applyDeclared(c *pb.Command) Result {
	if c.DeclaredVersion <= m.log.Version {
		return Result{Version: c.DeclaredVersion, Current: m.log.Version}
	}
	record, err := Parse(c.Record)
	if err != nil {
		return Result{Current: m.log.Version, Code: failure.InvalidRecord, Detail: err.Error()}
	}
	m.accept(c, c.DeclaredVersion, record)
	return Result{Version: c.DeclaredVersion, Current: c.DeclaredVersion}
}

// applyIssuerShares replaces the table of the control hosts' shares of all quotas. A table that was
// planned from another one than the current is rejected.
func (m *Machine) applyIssuerShares(next *pb.IssuerShares) Result {
	if err := quotashare.Check(m.log.IssuerShares, next); err != nil {
		f := failure.As(err, "")
		return Result{Current: m.log.Version, Code: f.Code, Detail: f.Detail}
	}
	m.log.IssuerShares = next
	return Result{Version: m.log.Version, Current: m.log.Version}
}

// IssuerShares returns the control hosts' shares of all quotas; nil if none were set. The caller
// must not modify the table.
func (m *Machine) IssuerShares() *pb.IssuerShares { return m.log.IssuerShares }

// setEvacuated marks or unmarks a failure domain as evacuated. It is idempotent.
func (m *Machine) setEvacuated(domain string, evacuated bool) Result {
	at, found := slices.BinarySearch(m.log.Evacuated, domain)
	if found != evacuated {
		next := slices.Clone(m.log.Evacuated) // readers may still use the old slice
		if evacuated {
			next = slices.Insert(next, at, domain)
		} else {
			next = slices.Delete(next, at, at+1)
		}
		m.log.Evacuated = next
		m.log.EvacuationRevision++
		if !evacuated {
			m.setRestored(domain)
		}
	}
	return Result{Version: m.log.Version, Current: m.log.Version}
}

// setRestored records that the evacuation of a failure domain was withdrawn in the current revision
// of the list.
func (m *Machine) setRestored(domain string) {
	entry := &pb.RestoredDomain{FailureDomain: domain, Revision: m.log.EvacuationRevision}
	next := slices.Clone(m.log.Restored) // readers may still use the old slice
	at, found := slices.BinarySearchFunc(next, domain, func(r *pb.RestoredDomain, d string) int { return strings.Compare(r.FailureDomain, d) })
	if found {
		next[at] = entry
	} else {
		next = slices.Insert(next, at, entry)
	}
	m.log.Restored = next
}

// Restored returns the failure domains whose evacuation was withdrawn, sorted, each with the
// revision of the list at its last withdrawal. The caller must not modify the list.
func (m *Machine) Restored() []*pb.RestoredDomain { return m.log.Restored }

// Evacuated returns the evacuated failure domains, sorted, and the revision of
// that list. The caller must not modify the list.
func (m *Machine) Evacuated() (domains []string, revision uint64) {
	return m.log.Evacuated, m.log.EvacuationRevision
}

// repeatResult returns the retained result of a resent change. It rejects a change that reuses
// the ID of a different change.
func (m *Machine) repeatResult(prev *pb.ChangeResult, c *pb.Command) Result {
	if !bytes.Equal(prev.Digest, commandDigest(c)) {
		return Result{
			Current: m.log.Version, Code: failure.ChangeIDReused,
			Detail: fmt.Sprintf("change_id %q was used for a different record or base version", c.ChangeId),
		}
	}
	return Result{
		Version: prev.Version, Current: prev.CurrentVersion,
		Code: failure.Code(prev.Code), Detail: prev.Detail,
	}
}

// judge checks a change against the current version and record, and returns its result and the
// parsed record.
func (m *Machine) judge(c *pb.Command) (Result, *Record) {
	current := m.log.Version
	if c.BaseVersion != current {
		return Result{
			Current: current, Code: failure.VersionConflict,
			Detail: fmt.Sprintf("base_version is %d, the current version is %d", c.BaseVersion, current),
		}, nil
	}
	next, err := Parse(c.Record)
	if err != nil {
		return Result{Current: current, Code: failure.InvalidRecord, Detail: err.Error()}, nil
	}
	if m.record != nil {
		if errs := CheckTransition(m.record, next); len(errs) > 0 {
			return Result{Current: current, Code: failure.InvalidRecord, Detail: errs.Error()}, nil
		}
	}
	return Result{Version: current + 1, Current: current + 1}, next
}

// accept makes the record current and trims the history to its retention limits.
func (m *Machine) accept(c *pb.Command, version uint64, record *Record) {
	m.log.Version = version
	m.record = record
	m.log.Accepted = append(m.log.Accepted, &pb.Accepted{
		Version: version, SchemaVersion: c.SchemaVersion, Operator: c.Operator,
		Reason: c.Reason, TimeMs: c.TimeMs, ChangeId: c.ChangeId,
		Digest: Digest(c.Record), Record: c.Record, Source: c.Source,
	})
	if n := len(m.log.Accepted); n > MaxRecords {
		old := m.log.Accepted[n-MaxRecords-1]
		// The entry is replaced rather than modified, as readers may still use the old one.
		m.log.Accepted[n-MaxRecords-1] = &pb.Accepted{
			Version: old.Version, SchemaVersion: old.SchemaVersion, Operator: old.Operator,
			Reason: old.Reason, TimeMs: old.TimeMs, ChangeId: old.ChangeId, Digest: old.Digest,
		}
	}
	if n := len(m.log.Accepted); n > MaxHistory {
		m.log.Accepted = append([]*pb.Accepted(nil), m.log.Accepted[n-MaxHistory:]...)
	}
}

// storeResult keeps a change's result for resends and drops the oldest one beyond MaxResults.
func (m *Machine) storeResult(c *pb.Command, res Result) {
	r := &pb.ChangeResult{
		ChangeId: c.ChangeId, Version: res.Version, Code: string(res.Code),
		CurrentVersion: res.Current, Detail: res.Detail, Digest: commandDigest(c),
	}
	m.results[c.ChangeId] = r
	m.log.Results = append(m.log.Results, r)
	if n := len(m.log.Results); n > MaxResults {
		delete(m.results, m.log.Results[0].ChangeId)
		m.log.Results = append([]*pb.ChangeResult(nil), m.log.Results[1:]...)
	}
}

// commandDigest returns the digest of a change's base version and record.
func commandDigest(c *pb.Command) []byte {
	return Digest(append([]byte(fmt.Sprintf("%d\x00", c.BaseVersion)), c.Record...))
}
