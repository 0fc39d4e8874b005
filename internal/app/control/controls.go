package control

import (
	"maps"
	"slices"
	"strings"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// refreshControlsLocked rebuilds the list of control hosts that is sent to entry hosts: this one,
// all others from which a message was ever received, and the group's members. The list is the same
// for all entry hosts and seldom changes, so it is stored together with the version of its last
// change.
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
		f.controls, f.controlsVersion = next, f.reg.BumpVersion()
	}
}

// controlForgottenAfter is the time without a message after which a control host that is no member of the group counts
// as gone for good.
const controlForgottenAfter = 15 * time.Minute

// controlContactTimeout is the time without a message after which a control host may know servers that are not known
// here: a few exchanges.
const controlContactTimeout = 5 * exchangeInterval

// hearsAllControlsLocked reports whether messages of all other control hosts arrive, as far as they are known here.
func (f *Fleet) hearsAllControlsLocked(now time.Time) bool {
	live := map[string]bool{f.o.Peer: true}
	for _, c := range f.reg.KnownControls() {
		if live[c.Peer] = now.Sub(c.LastSeen) < controlContactTimeout; !live[c.Peer] && now.Sub(c.LastSeen) < controlForgottenAfter {
			return false
		}
	}
	for _, addr := range f.replica.MemberAddresses() {
		if !live[addr] {
			return false
		}
	}
	for addr := range f.controlDomains { // reported by others
		if _, known := live[addr]; !known && now.Sub(f.started) < controlForgottenAfter {
			return false
		}
	}
	return true
}

// rememberedControlsLocked returns the peer addresses of the control hosts that are members of the group or were heard
// within controlForgottenAfter, this one included.
func (f *Fleet) rememberedControlsLocked(now time.Time) []string {
	set := map[string]bool{f.o.Peer: true}
	for _, c := range f.reg.KnownControls() {
		if now.Sub(c.LastSeen) < controlForgottenAfter {
			set[c.Peer] = true
		}
	}
	for _, addr := range f.replica.MemberAddresses() {
		set[addr] = true
	}
	return slices.Sorted(maps.Keys(set))
}

func sameControl(a, b *pb.ControlHost) bool {
	return a.Peer == b.Peer && a.FailureDomain == b.FailureDomain && a.Heard == b.Heard
}
