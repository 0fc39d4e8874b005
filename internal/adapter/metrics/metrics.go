// Package metrics publishes counters and latency histograms through expvar.
package metrics

import (
	"encoding/json"
	"expvar"
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of a histogram: 1 µs to 10 minutes with two significant figures.
const (
	minMicros          = 1
	maxMicros          = 600_000_000
	significantFigures = 2
)

// Histogram is an expvar variable that shows count, mean and quantiles in ms.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(minMicros, maxMicros, significantFigures)}
}

// Observe records a duration.
func (h *Histogram) Observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// Percentile returns the q-th percentile (0 to 100).
func (h *Histogram) Percentile(q float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.h.ValueAtQuantile(q)) * time.Microsecond
}

// Count returns the number of durations recorded.
func (h *Histogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.h.TotalCount()
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	ms := func(v int64) float64 { return float64(v) / 1000 }
	data, _ := json.Marshal(map[string]float64{
		"count": float64(h.h.TotalCount()), "mean_ms": h.h.Mean() / 1000,
		"p50_ms": ms(h.h.ValueAtQuantile(50)), "p95_ms": ms(h.h.ValueAtQuantile(95)),
		"p99_ms": ms(h.h.ValueAtQuantile(99)), "max_ms": ms(h.h.Max()),
	})
	return string(data)
}

// Set holds the metrics of one process. Metric names are stable. Gauge functions run
// without the set's lock, so that they may acquire locks whose holders increment
// counters.
type Set struct {
	mu       sync.Mutex
	counters map[string]*expvar.Int
	hist     map[string]*Histogram
	gauges   map[string]func() any
}

// New returns an empty set. With publish, the set appears at /debug/vars as "sesame".
func New(publish bool) *Set {
	s := &Set{counters: map[string]*expvar.Int{}, hist: map[string]*Histogram{}, gauges: map[string]func() any{}}
	if publish {
		expvar.Publish("sesame", s)
	}
	return s
}

// Add increases a counter by n.
func (s *Set) Add(name string, n int64) { s.counter(name).Add(n) }

// LinkBytes counts the bytes sent to and received from other hosts.
func (s *Set) LinkBytes(sent, received int) {
	if sent > 0 {
		s.Add("link_bytes_sent", int64(sent))
	}
	if received > 0 {
		s.Add("link_bytes_received", int64(received))
	}
}

// Value returns a counter's value.
func (s *Set) Value(name string) int64 { return s.counter(name).Value() }

func (s *Set) counter(name string) *expvar.Int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.counters[name]
	if !ok {
		c = new(expvar.Int)
		s.counters[name] = c
	}
	return c
}

// Gauge registers a function that computes the value of a gauge on each read.
func (s *Set) Gauge(name string, f func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gauges[name] = f
}

// Observe records a duration in the histogram with the name.
func (s *Set) Observe(name string, d time.Duration) {
	s.mu.Lock()
	h, ok := s.hist[name]
	if !ok {
		h = NewHistogram()
		s.hist[name] = h
	}
	s.mu.Unlock()
	h.Observe(d)
}

// String implements expvar.Var.
func (s *Set) String() string {
	s.mu.Lock()
	out := make(map[string]any, len(s.counters)+len(s.hist)+len(s.gauges))
	for name, c := range s.counters {
		out[name] = c.Value()
	}
	for name, h := range s.hist {
		out[name] = json.RawMessage(h.String())
	}
	gauges := maps.Clone(s.gauges)
	s.mu.Unlock()
	for name, f := range gauges {
		out[name] = f()
	}
	data, err := json.Marshal(out)
	if err != nil {
		return "{}"
	}
	return string(data)
}
