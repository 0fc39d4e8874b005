package daemon

import (
	"runtime/debug"
	"syscall"

	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/clientmem"
	"github.com/sesamefork/sesamefork/internal/core/intake"
	"github.com/sesamefork/sesamefork/internal/membudget"
	"github.com/sesamefork/sesamefork/internal/port"
)

// Parts of a process's memory. docs/CAPACITY.md adds them up.
const (
	// goShare is the part that the Go runtime may use. The rest is for the program's code and for memory of the operating
	// system, such as what sockets hold unread.
	goShare = 0.65
	// answerShare, bodyShare, forwardShare and connectionShare are the parts for answers, for the bodies of requests, for
	// requests that other hosts forward and for callers' connections, and unreadShare the one for what sockets hold unread
	// beyond what each connection costs.
	answerShare     = 1.0 / 4
	bodyShare       = 1.0 / 10
	forwardShare    = 1.0 / 12
	connectionShare = 1.0 / 8
	unreadShare     = 1.0 / 12
)

const (
	// minAnswers holds one answer of the largest size (16 MiB) beside the room that is left to others.
	minAnswers = 24 << 20
	// minBodies holds one body of 8 MiB while its buffer grows, and two forwards of 4 MiB.
	minBodies = 12 << 20
	// unlimitedPart is each part of a process whose memory is not limited.
	unlimitedPart = 1 << 30
)

// Parts of a process's descriptors.
const (
	// defaultFiles is the number of descriptors if neither the settings nor the operating system allow fewer.
	defaultFiles = 4096
	// callerFiles is the part for the connections of callers, of all addresses together. The rest is for connections to
	// servers, links and files.
	callerFiles = 3.0 / 4
	// handshakeFiles is the part for connections of other hosts that have not proved to be such.
	handshakeFiles = 1.0 / 16
)

// MemoryPlan divides the memory and the descriptors of a process. It limits the Go runtime to its part.
type MemoryPlan struct {
	bytes int64 // 0 for no limit
	files int
	log   logr.Logger
	gauge func(name string, value func() any)
}

// NewMemoryPlan returns the plan for a process that may use memoryMB MiB, or any number with 0, and files descriptors, or
// with 0 those that the operating system allows, defaultFiles at most. It sets the limit of the Go runtime.
func NewMemoryPlan(memoryMB, files int, log logr.Logger, gauge func(string, func() any)) *MemoryPlan {
	if files == 0 {
		files = defaultFiles
		var limit syscall.Rlimit
		if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
			files = int(min(limit.Cur, defaultFiles))
		}
	}
	p := &MemoryPlan{int64(memoryMB) << 20, files, log, gauge}
	if memoryMB > 0 {
		debug.SetMemoryLimit(p.part(goShare, 0))
	}
	return p
}

// part returns a part of the memory, in bytes.
func (p *MemoryPlan) part(share float64, least int64) int64 {
	if p.bytes == 0 {
		return unlimitedPart
	}
	return max(least, int64(share*float64(p.bytes)))
}

// Answers returns the budget for answers that the process holds.
func (p *MemoryPlan) Answers() *membudget.Budget {
	b := membudget.New(p.part(answerShare, minAnswers))
	p.gauge("answer_bytes_limit", func() any { return b.Limit() })
	p.gauge("answer_bytes_held", func() any { return b.Used() })
	p.gauge("answer_bytes_held_max", func() any { return b.Peak() })
	p.gauge("answer_bytes_refused", func() any { return b.Refused() })
	return b
}

// Forwards returns the budget for the bodies of requests that other hosts forward.
func (p *MemoryPlan) Forwards() *membudget.Budget {
	b := membudget.New(p.part(forwardShare, minBodies))
	p.gauge("forward_bytes_limit", func() any { return b.Limit() })
	p.gauge("forward_bytes_held", func() any { return b.Used() })
	p.gauge("forward_bytes_held_max", func() any { return b.Peak() })
	p.gauge("forward_bytes_refused", func() any { return b.Refused() })
	return b
}

// Connections returns the budget for the connections at one address, which has a share of those of all callers. Without
// hasBodies, requests there have at most the part of a body that the cost of a connection covers.
func (p *MemoryPlan) Connections(name string, share float64, hasBodies bool) *clientmem.Budget {
	var limits [intake.Parts]int64
	limits[intake.Connections] = p.part(share*connectionShare, clientmem.ConnectionCost)
	limits[intake.Unread] = p.part(share*unreadShare, 0)
	if hasBodies {
		limits[intake.Bodies] = p.part(bodyShare, minBodies)
	}
	b := clientmem.New(clientmem.Options{
		Name: name, Limits: limits, MaxConnections: max(1, int(share*callerFiles*float64(p.files))), Clock: port.SystemClock{}, Log: p.log,
	})
	p.gauge("connections_"+name, func() any { return b.Usage() })
	p.gauge("large_heads_refused_"+name, func() any { return b.LargeHeads() })
	return b
}

// Handshakes returns the number of connections that may be in the handshake of a link.
func (p *MemoryPlan) Handshakes() int { return max(1, int(handshakeFiles*float64(p.files))) }
