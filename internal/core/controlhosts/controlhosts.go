// Package controlhosts decides by which control hosts an entry host goes. It does no I/O
// and reads no clock.
package controlhosts

import "time"

// MaxStaleness is how old a control host's configuration and evacuations may be before
// others have to be heard as well. A new leader's first commit, between regions 80 ms
// apart, comes 1.0 to 1.9 s after the last word of one that was lost; 0.6 s more is needed
// to ask a farther control host and fetch the configuration, and an accepted one has to be
// in force within 4 s.
const MaxStaleness = 2 * time.Second
