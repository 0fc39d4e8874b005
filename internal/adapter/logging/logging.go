// Package logging creates logr loggers that write JSON lines. Prompt text and keys are
// never logged.
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

func newEncoder() zapcore.Encoder {
	enc := zap.NewProductionEncoderConfig()
	enc.TimeKey, enc.MessageKey, enc.LevelKey = "time", "event", "level"
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zapcore.NewJSONEncoder(enc)
}

// New returns a logger that writes JSON lines to w and blocks while w does. Level 0
// logs info and errors; higher levels add debug lines.
func New(w io.Writer, level int) logr.Logger {
	core := zapcore.NewCore(newEncoder(), zapcore.Lock(zapcore.AddSync(w)), zapcore.Level(-level))
	return zapr.NewLogger(zap.New(core))
}

// Limits of a bounded logger.
const (
	// maxEventLinesPerSecond is the maximum number of lines of one event per second. It is a
	// few times the routing decisions of an entry host per second at peak load.
	maxEventLinesPerSecond = 150
	// maxQueuedLines is the maximum number of lines that wait for the output: several seconds
	// of one event at its maximum rate.
	maxQueuedLines = 1024
	// maxBatchBytes is the size at which a batch is written. Without it, a batch would
	// grow for as long as lines arrive faster than they are collected.
	maxBatchBytes = 64 << 10
	// flushTimeout limits the wait for the output in Close.
	flushTimeout = 300 * time.Millisecond
)

// Bounded is a logger that never blocks on its output. Lines over the rate of their
// event and lines that do not fit in the queue are dropped and counted.
type Bounded struct {
	logr.Logger
	out             *queue
	droppedOverRate atomic.Int64
}

// NewBounded returns a bounded logger that writes to w.
func NewBounded(w io.Writer, level int) *Bounded {
	b := &Bounded{out: newQueue(w)}
	core := zapcore.NewCore(newEncoder(), b.out, zapcore.Level(-level))
	core = zapcore.NewSamplerWithOptions(core, time.Second, maxEventLinesPerSecond, 0, zapcore.SamplerHook(b.countOverRate))
	b.Logger = zapr.NewLogger(zap.New(core))
	return b
}

// countOverRate counts the lines that the sampler dropped.
func (b *Bounded) countOverRate(_ zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped != 0 {
		b.droppedOverRate.Add(1)
	}
}

// Dropped returns the number of lines that were dropped because their event exceeded
// its rate, and because the output was too slow.
func (b *Bounded) Dropped() (overRate, slowOutput int64) {
	return b.droppedOverRate.Load(), b.out.dropped.Load()
}

// Close writes the queued lines and stops the logger. It gives up after flushTimeout.
func (b *Bounded) Close() { b.out.close() }

// queue passes lines to a goroutine that writes them to the output.
type queue struct {
	lines   chan []byte // nil ends the goroutine
	dropped atomic.Int64
	done    chan struct{}
}

func newQueue(w io.Writer) *queue {
	q := &queue{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go q.run(w)
	return q
}

// run writes queued lines in batches, to save system calls.
func (q *queue) run(w io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		if line == nil {
			return
		}
		batch := line
		for more := true; more && len(batch) < maxBatchBytes; {
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
		_, _ = w.Write(batch) // an error of the log output cannot be reported anywhere
	}
}

// Write implements zapcore.WriteSyncer. It copies the line because the encoder reuses
// its buffer.
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
