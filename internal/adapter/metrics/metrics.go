// Package metrics publishes counters and latency histograms through expvar.
package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram bounds: 1 µs to 10 minutes with two significant figures.
const (
	minMicros = 1
	maxMicros = 600_000_000
	figures   = 2
)

// Histogram is an expvar variable that shows count, mean and quantiles in ms.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(minMicros, maxMicros, figures)}
}

// Observe records a duration.
func (h *Histogram) Observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// Quantile returns the q-th percentile (0 to 100).
func (h *Histogram) Quantile(q float64) time.Duration {
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

// Set is the metrics of one process. Its names are stable.
type Set struct {
	vars *expvar.Map
	mu   sync.Mutex
	hist map[string]*Histogram
}

// New returns a set; with publish it appears at /debug/vars under "sesame".
func New(publish bool) *Set {
	s := &Set{vars: new(expvar.Map).Init(), hist: map[string]*Histogram{}}
	if publish {
		expvar.Publish("sesame", s.vars)
	}
	return s
}

// Add raises a counter.
func (s *Set) Add(name string, n int64) { s.vars.Add(name, n) }

// Gauge publishes a value computed when it is read.
func (s *Set) Gauge(name string, f func() any) { s.vars.Set(name, expvar.Func(f)) }

// Observe records a duration in the histogram with the name.
func (s *Set) Observe(name string, d time.Duration) {
	s.mu.Lock()
	h, ok := s.hist[name]
	if !ok {
		h = NewHistogram()
		s.hist[name] = h
		s.vars.Set(name, h)
	}
	s.mu.Unlock()
	h.Observe(d)
}

// Value returns a counter's value.
func (s *Set) Value(name string) int64 {
	if v, ok := s.vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// String returns the set as JSON.
func (s *Set) String() string { return s.vars.String() }
