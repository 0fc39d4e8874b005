// Package logging makes the processes' loggers: JSON lines through logr. Prompt
// text and keys are never logged.
package logging

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

func encoder() zapcore.Encoder {
	enc := zap.NewProductionEncoderConfig()
	enc.TimeKey, enc.MessageKey, enc.LevelKey = "time", "event", "level"
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zapcore.NewJSONEncoder(enc)
}

// New returns a logger that writes JSON lines to w. level 0 logs info and
// errors; higher levels add debugging.
func New(w io.Writer, level int) logr.Logger {
	core := zapcore.NewCore(encoder(), zapcore.Lock(zapcore.AddSync(w)), zapcore.Level(-level))
	return zapr.NewLogger(zap.New(core))
}

// Bounds of a bounded logger.
const (
	// linesPerSecond bounds the lines of one event in a second: a few times the decisions of
	// an entry host at its peak.
	linesPerSecond = 150
	// queuedLines bounds the lines that wait for the output: some seconds of the above.
	queuedLines = 1024
	// maxBatch bounds the bytes written in one call: lines may come faster than
	// they are collected.
	maxBatch = 64 << 10
	// flushTimeout bounds the wait for the output at the end of the process.
	flushTimeout = 300 * time.Millisecond
)

// Bounded is a logger that never waits for its output. Lines beyond the bounds
// are dropped and counted.
type Bounded struct {
	logr.Logger
	out     *queue
	sampled atomic.Int64
}

// NewBounded returns a bounded logger that writes to w.
func NewBounded(w io.Writer, level int) *Bounded {
	b := &Bounded{out: newQueue(w)}
	core := zapcore.NewCore(encoder(), b.out, zapcore.Level(-level))
	core = zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, 0, zapcore.SamplerHook(b.count))
	b.Logger = zapr.NewLogger(zap.New(core))
	return b
}

func (b *Bounded) count(_ zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped != 0 {
		b.sampled.Add(1)
	}
}

// Dropped returns the number of lines that were dropped: over the rate of their
// event, and because the output was too slow.
func (b *Bounded) Dropped() (overRate, slowOutput int64) {
	return b.sampled.Load(), b.out.dropped.Load()
}

// Close writes what waits, for a short time, and ends the logger.
func (b *Bounded) Close() { b.out.close() }

// queue hands lines to a writer of its own goroutine.
type queue struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

func newQueue(w io.Writer) *queue {
	q := &queue{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go q.run(w)
	return q
}

// run writes lines together when several wait: one call of the system for all.
func (q *queue) run(w io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		if line == nil {
			return
		}
		batch := line
		for more := true; more && len(batch) < maxBatch; {
			select {
			case next := <-q.lines:
				if next == nil {
					_, _ = w.Write(batch)
					return
				}
				batch = append(batch, next...)
			default:
				more = false
			}
		}
		_, _ = w.Write(batch) // there is nowhere to report a broken output
	}
}

// Write implements zapcore.WriteSyncer. The line is copied: the encoder uses its
// buffer again.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (q *queue) Sync() error { return nil }

func (q *queue) close() {
	end := time.After(flushTimeout)
	select {
	case q.lines <- nil:
	case <-end:
		return
	}
	select {
	case <-q.done:
	case <-end:
	}
}
