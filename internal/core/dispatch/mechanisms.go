package dispatch

import (
	"slices"
	"strings"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// Mechanisms is a set of parts of the policy. An experiment switches them off one by one to
// measure what each is worth; in service the set that is off is empty.
type Mechanisms uint32

// The mechanisms that can be switched off.
const (
	// Deferral lets requests that are late in any case wait behind the others.
	Deferral Mechanisms = 1 << iota
	// LearnedSpeeds takes the servers' speeds from their answers, not from start values.
	LearnedSpeeds
	// StartWaiting lets requests wait for a host that has just started.
	StartWaiting
	// PauseCost counts the pauses that a prompt brings to the answers of others.
	PauseCost
	// BusyCost counts how much of its time an engine spends on reading prompts.
	BusyCost
	// Homes sends a chain of shared parts to the same engines from all hosts.
	Homes
	// Holders knows the engines to which a chain was sent lately.
	Holders
	// Copies lets engines copy shared parts from one another.
	Copies
	// OwnDomainFirst keeps requests in their failure domain.
	OwnDomainFirst
	// Silence passes over servers that send nothing on any request.
	Silence
	// Health weighs a server's failures and late answers.
	Health
	// OtherRegions sends requests to other regions.
	OtherRegions
	// Sampling lets each of many hosts weigh only some of the servers.
	Sampling
	// Shares divides the requests for a plain service among its servers and regions by what
	// each can take.
	Shares
	// ConfigFromSender takes a newer configuration from the host that sends a request.
	ConfigFromSender
	// Isolation keeps requests under which servers ended away from others.
	Isolation
	// LoadsObserved compares what servers tell of their requests with what is known.
	LoadsObserved
	// RegionsAsked asks entry hosts of other regions for the loads that control hosts don't tell.
	RegionsAsked
)

var mechanismNames = map[string]Mechanisms{
	"deferral": Deferral, "learned-speeds": LearnedSpeeds, "start-waiting": StartWaiting, "pause-cost": PauseCost,
	"busy-cost": BusyCost, "homes": Homes, "holders": Holders, "copies": Copies, "own-domain-first": OwnDomainFirst,
	"silence": Silence, "health": Health, "other-regions": OtherRegions, "sampling": Sampling, "shares": Shares,
	"config-from-sender": ConfigFromSender, "isolation": Isolation, "loads-observed": LoadsObserved, "regions-asked": RegionsAsked,
}

// ParseMechanisms returns the set of the mechanisms with the given names.
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

// Has reports whether the set holds a mechanism.
func (m Mechanisms) Has(one Mechanisms) bool { return m&one != 0 }
