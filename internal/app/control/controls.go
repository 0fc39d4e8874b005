package control

import (
	"maps"
	"slices"
	"strings"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// refreshControlsLocked makes the list of control hosts that entry hosts are told: this one,
// the others that were ever heard, and the group's members. It is kept, with the version at
// which it changed, since it is the same for all entry hosts and seldom changes.
func (f *Fleet) refreshControlsLocked(now time.Time) {
	list := map[string]*pb.ControlHost{}
	for _, addr := range f.replica.MemberAddresses() {
		list[addr] = &pb.ControlHost{Peer: addr}
	}
	for _, c := range f.reg.KnownControls() {
		list[c.Peer] = &pb.ControlHost{Peer: c.Peer, FailureDomain: c.FailureDomain, Heard: c.Live(now)}
	}
	list[f.o.Peer] = &pb.ControlHost{Peer: f.o.Peer, FailureDomain: f.o.FailureDomain, Heard: true}
	next := slices.SortedFunc(maps.Values(list), func(a, b *pb.ControlHost) int { return strings.Compare(a.Peer, b.Peer) })
	if !slices.EqualFunc(next, f.controls, sameControl) {
		f.controls, f.controlsAt = next, f.reg.BumpVersion()
	}
}

func sameControl(a, b *pb.ControlHost) bool {
	return a.Peer == b.Peer && a.FailureDomain == b.FailureDomain && a.Heard == b.Heard
}
