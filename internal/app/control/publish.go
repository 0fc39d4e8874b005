package control

import (
	"slices"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// unconfirmedFor is how long a restarted replica that hears no leader keeps its
// configuration from the entry hosts: two elections and a restart of the others.
// After that it is cut off, and its region goes on with what is known there.
const unconfirmedFor = 10 * time.Second

// nothing is what a replica offers that does not know whether its state is old.
var nothing = &Published{Stamp: &pb.ConfigStamp{}}

// offered returns the configuration that entry hosts may be given. The commit
// index is not synced with each change, so a restarted replica may have applied
// less than was acknowledged; an entry host that restarts too would then go back.
func (r *Replica) offered() *Published {
	if r.currentAt.Load() != nil || r.o.Clock.Now().Sub(r.started) > unconfirmedFor {
		return r.published.Load()
	}
	return nothing
}

// Published is the accepted configuration as this replica has applied it.
type Published struct {
	Stamp  *pb.ConfigStamp
	Record *configstate.Record
	Raw    []byte
	Blob   *pb.ConfigBlob
	Recent []*pb.Accepted
	// Evacuated are the evacuated failure domains, sorted; Revision numbers the list.
	Evacuated []string
	Revision  uint64
	// Quarantined are the kept verdicts on requests that crash servers, oldest first;
	// QuarantineRevision numbers the list.
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
	p.Evacuated, p.Revision = r.machine.Evacuated()
	p.Quarantined, p.QuarantineRevision = r.machine.Quarantined()
	if !r.publishes(p) {
		return
	}
	before := r.published.Swap(p)
	if before == nil || before.QuarantineRevision != p.QuarantineRevision {
		r.takeKept(p.Quarantined)
	}
	if p.Record != nil && (before == nil || before.Record != p.Record) {
		r.quotas.setTeams(p.Record.Teams)
	}
	if r.fleet != nil {
		r.fleet.configurationChanged()
	}
}

// publishes reports whether the applied state may take the place of what is published. A
// store that was opened anew applies again what was applied before.
func (r *Replica) publishes(next *Published) bool {
	last := r.published.Load()
	return last == nil || (!configstate.Newer(last.Stamp, next.Stamp) && next.Revision >= last.Revision && next.QuarantineRevision >= last.QuarantineRevision)
}

// Evacuated returns the evacuated failure domains and the list's revision.
func (r *Replica) Evacuated() ([]string, uint64) {
	p := r.offered()
	return p.Evacuated, p.Revision
}

func (r *Replica) isEvacuated(domain string) bool {
	domains, _ := r.Evacuated()
	return slices.Contains(domains, domain)
}
