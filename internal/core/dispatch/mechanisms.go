package dispatch

import (
	"slices"
	"strings"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// Mechanisms is a set of mechanisms of the dispatch policy. An experiment disables them one at
// a time to measure the effect of each; in production no mechanism is disabled.
type Mechanisms uint32

// Mechanisms that can be disabled.
const (
	// Deferral queues requests that are late anyway behind the others.
	Deferral Mechanisms = 1 << iota
	// LearnedSpeeds estimates the servers' speeds from their answers instead of using defaults.
	LearnedSpeeds
	// StartWaiting holds requests until a host that has just started is ready, instead of
	// refusing them.
	StartWaiting
	// PauseCost accounts for the pauses that a prompt causes in other answers.
	PauseCost
	// BusyCost accounts for the fraction of its time that an engine spends on prefill.
	BusyCost
	// Homes makes all hosts send a chain of shared parts to the same engines.
	Homes
	// Holders records the engines to which a chain was sent recently, and prefers them.
	Holders
	// Copies lets engines copy the KV cache of shared parts from each other.
	Copies
	// OwnDomainFirst prefers servers of the entry host's own failure domain.
	OwnDomainFirst
	// StallAvoidance avoids stalled servers: those that send nothing on any request.
	StallAvoidance
	// Health accounts for a server's failures and late answers.
	Health
	// OtherRegions allows sending requests to other regions.
	OtherRegions
	// Sampling makes each host evaluate only some of the servers if the region has many hosts.
	Sampling
	// Shares distributes the requests for a plain service over its servers and regions by their
	// free capacity.
	Shares
	// ConfigFromSender fetches a newer configuration from the entry host that forwards a
	// request.
	ConfigFromSender
	// Isolation keeps requests under which servers have crashed away from other requests.
	Isolation
	// ReportedLoads corrects the recorded loads by the request counts that servers report with
	// their answers.
	ReportedLoads
	// RegionQueries queries entry hosts of other regions for loads that the control hosts do not
	// report.
	RegionQueries
	// WorkFactors accounts for the work times that servers report with their answers.
	WorkFactors
	// MemoryRoom avoids engines whose estimated memory a request would exceed.
	MemoryRoom
)

var mechanismNames = map[string]Mechanisms{
	"deferral": Deferral, "learned-speeds": LearnedSpeeds, "start-waiting": StartWaiting, "pause-cost": PauseCost,
	"busy-cost": BusyCost, "homes": Homes, "holders": Holders, "copies": Copies, "own-domain-first": OwnDomainFirst,
	"silence": StallAvoidance, "health": Health, "other-regions": OtherRegions, "sampling": Sampling, "shares": Shares,
	"config-from-sender": ConfigFromSender, "isolation": Isolation, "loads-observed": ReportedLoads, "regions-asked": RegionQueries,
	"work-factors": WorkFactors, "memory-room": MemoryRoom,
}

// ParseMechanisms returns the set of the mechanisms with the given names. It fails on an
// unknown name.
func ParseMechanisms(names []string) (Mechanisms, *failure.Error) {
	var set Mechanisms
	for _, name := range names {
		m, ok := mechanismNames[name]
		if !ok {
			return 0, failure.New(failure.InvalidSettings, "", "%q is no mechanism; there are %s", name, strings.Join(MechanismNames(), ", "))
		}
		set |= m
	}
	return set, nil
}

// MechanismNames returns the names of all mechanisms, sorted.
func MechanismNames() []string {
	var names []string
	for name := range mechanismNames {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Has reports whether the set contains a mechanism.
func (m Mechanisms) Has(one Mechanisms) bool { return m&one != 0 }
