package releases

import (
	"slices"
	"time"
)

// Answer is what a control host states about a service when it is asked.
type Answer struct {
	// Host is the address of the control host.
	Host string
	// Releases are the releases that servers of the service may have run within the time asked for, as far as the
	// control host has heard, and Complete whether it takes these for all.
	Releases []string
	Complete bool
	// Uptime is the time since the control host started, with nothing known.
	Uptime time.Duration
	// Hosts are the addresses of all control hosts that may know of servers, as far as this one has heard. Empty for a
	// control host that does not state them.
	Hosts []string
}

// NamesAnother reports whether the answer names another release than the given one.
func (a Answer) NamesAnother(release string) bool {
	return slices.ContainsFunc(a.Releases, func(r string) bool { return r != release })
}

// Prove returns a control host whose word proves that servers of a service ran no other release within a time, or the
// reason why the answers of control hosts prove nothing. All answers must have been given after the stream in question
// began.
//
// A control host that is frozen or cut off takes its history for complete until it misses the others, so one word is no
// proof. A server is announced to a control host before it can begin a stream. So each control host must answer for its
// own announcements, for the whole time; a complete history stands for those that have ended before.
func Prove(release string, within time.Duration, answers []Answer) (host, reason string) {
	answered := map[string]bool{}
	for _, a := range answers {
		switch {
		case a.NamesAnother(release):
			return "", "control host " + a.Host + " has heard of another release"
		case a.Uptime < within:
			return "", "control host " + a.Host + " has started lately"
		}
		answered[a.Host] = true
		if a.Complete && len(a.Releases) == 1 && len(a.Hosts) > 0 {
			host = a.Host
		}
	}
	if host == "" {
		return "", "no control host in reach has known all servers for long enough"
	}
	for _, a := range answers {
		for _, other := range a.Hosts {
			if !answered[other] {
				return "", "control host " + other + " does not answer"
			}
		}
	}
	return host, ""
}
