package control

import (
	"slices"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// unconfirmedTimeout is how long a restarted replica without contact to a leader withholds its
// configuration from entry hosts: two elections and a restart of the other replicas. After that it
// assumes that it is isolated, and its region continues with the configuration that is known there.
const unconfirmedTimeout = 10 * time.Second

// noConfiguration is offered by a replica that cannot tell whether its state is stale.
var noConfiguration = &Published{Stamp: &pb.ConfigStamp{}}

// offered returns the configuration that may be sent to entry hosts. The commit index is not synced
// to disk with each change, so a restarted replica may have applied less than was acknowledged; an
// entry host that restarts at the same time would then revert to an older configuration.
func (r *Replica) offered() *Published {
	if r.currentAt.Load() != nil || r.o.Clock.Now().Sub(r.started) > unconfirmedTimeout {
		return r.published.Load()
	}
	return noConfiguration
}

// Published is the accepted configuration as this replica has applied it.
type Published struct {
	Stamp  *pb.ConfigStamp
	Record *configstate.Record
	Raw    []byte
	Blob   *pb.ConfigBlob
	Recent []*pb.Accepted
	// Evacuated are the evacuated failure domains, sorted; EvacuationRevision numbers the versions
	// of the list.
	Evacuated          []string
	EvacuationRevision uint64
	// Restored are the failure domains whose evacuation was withdrawn.
	Restored []*pb.RestoredDomain
	// Quarantined are the persisted verdicts on requests that crash servers, oldest first;
	// QuarantineRevision numbers the versions of the list.
	Quarantined        []*pb.KeptQuarantine
	QuarantineRevision uint64
}

// publish makes the applied configuration visible to other goroutines.
func (r *Replica) publish() {
	last := r.machine.Last()
	p := &Published{Stamp: &pb.ConfigStamp{Generation: r.machine.Generation()}}
	if last != nil {
		p.Stamp = &pb.ConfigStamp{Generation: r.machine.Generation(), Version: last.Version, Digest: last.Digest}
		p.Record, p.Raw = r.machine.Record(), last.Record
		p.Blob = &pb.ConfigBlob{Stamp: p.Stamp, Record: last.Record, Signature: configstate.Sign(r.o.Signer, p.Stamp)}
		p.Recent = append([]*pb.Accepted(nil), r.machine.History()...)
	}
	p.Evacuated, p.EvacuationRevision = r.machine.Evacuated()
	p.Restored = r.machine.Restored()
	p.Quarantined, p.QuarantineRevision = r.machine.Quarantined()
	if !r.mayPublish(p) {
		return
	}
	previous := r.published.Swap(p)
	if previous == nil || previous.QuarantineRevision != p.QuarantineRevision {
		r.mergePersisted(p.Quarantined)
	}
	if p.Record != nil && (previous == nil || previous.Record != p.Record) {
		r.quotas.setTeams(p.Record.Teams)
	}
	if r.fleet != nil {
		r.fleet.configurationChanged()
	}
}

// mayPublish reports whether the applied state may replace the published state. A replica whose
// store was reopened applies earlier entries again, and must not publish older state meanwhile.
func (r *Replica) mayPublish(next *Published) bool {
	last := r.published.Load()
	return last == nil || (!configstate.Newer(last.Stamp, next.Stamp) && next.EvacuationRevision >= last.EvacuationRevision && next.QuarantineRevision >= last.QuarantineRevision)
}

// Evacuated returns the evacuated failure domains and the list's revision.
func (r *Replica) Evacuated() ([]string, uint64) {
	p := r.offered()
	return p.Evacuated, p.EvacuationRevision
}

func (r *Replica) isEvacuated(domain string) bool {
	domains, _ := r.Evacuated()
	return slices.Contains(domains, domain)
}
