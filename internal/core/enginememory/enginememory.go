// Package enginememory decides whether the memory of a model engine, its KV cache, has room for a request. It answers
// long prompts and long answers that arrive faster than usual: an engine that holds more than its memory crashes or
// stops answers to free memory, though another one has room. All amounts are in tokens.
package enginememory

import (
	"math"
	"time"
)

const (
	// FigureAge is the age of the figures of other hosts' requests when a host decides on them: a report, a view and
	// the delays between them.
	FigureAge = 350 * time.Millisecond
	// reservedRequests is the number of requests of the size of the one to be placed that other hosts may have sent
	// there since their last figures, beyond those expected by their rate. All hosts see the same engine with room,
	// and more than one may choose it before the next figures.
	reservedRequests = 2
	// crashFraction is the part of its memory from which an engine that crashes counts as crashed by memory: the
	// estimate leaves out the lengths of answers beyond those expected.
	crashFraction = 0.9
	// refillFraction is the part of its memory to which an engine is filled for RefillTime after it crashed by memory.
	refillFraction = 0.5
	// RefillTime is the time after its restart in which an engine that crashed by memory is filled only in part. It
	// covers several views, so that hosts know each other's new requests, and the first answers that free memory.
	RefillTime = 2 * time.Second
)

// Fill states whether an engine has room for a request. A lower value is preferred.
type Fill int

// Fills.
const (
	// HasRoom means that the request fits even if other hosts have sent requests since their last figures, or that
	// the engine's memory is not known.
	HasRoom Fill = iota
	// Tight means that the request fits by the last figures.
	Tight
	// Full means that the estimate with the request exceeds the memory.
	Full
)

// Engine is the estimated state of an engine's memory.
type Engine struct {
	Capacity float64 // 0 if not known
	Own      float64 // held by requests of this host
	Others   float64 // held by requests of other hosts, as last reported
	// OthersPerSecond is the rate at which other hosts send tokens there, per second, and OtherHosts the number of
	// those hosts.
	OthersPerSecond float64
	OtherHosts      int
	// Refilling is set within RefillTime of a restart after a crash by memory.
	Refilling bool
}

// FillWith returns whether the engine has room for a request that needs a number of tokens. A request that is expected
// to need more than the whole memory fits into an empty engine only: its answer may end earlier.
func (e Engine) FillWith(need float64) Fill {
	if e.Capacity <= 0 {
		return HasRoom
	}
	limit := e.Capacity
	if e.Refilling {
		limit *= refillFraction
	}
	need = math.Min(need, e.Capacity)
	held := e.Own + e.Others + need
	reserve := e.OthersPerSecond*FigureAge.Seconds() + float64(min(e.OtherHosts, reservedRequests))*need
	switch {
	case held > limit:
		return Full
	case held+reserve > limit:
		return Tight
	}
	return HasRoom
}

// NearlyFull reports whether the engine counts as crashed by memory if it crashes now.
func (e Engine) NearlyFull() bool {
	return e.Capacity > 0 && e.Own+e.Others > crashFraction*e.Capacity
}

// Exceeds reports whether a prompt is larger than an engine's memory; false if that is not known. The expected length
// of the answer does not count, as the answer may be shorter.
func Exceeds(prompt, capacity float64) bool { return capacity > 0 && prompt > capacity }
