// Package logging makes the processes' loggers: JSON lines through logr. Prompt
// text and keys are never logged.
package logging

import (
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes JSON lines to w. level 0 logs info and
// errors; higher levels add debugging.
func New(w io.Writer, level int) logr.Logger {
	enc := zap.NewProductionEncoderConfig()
	enc.TimeKey, enc.MessageKey, enc.LevelKey = "time", "event", "level"
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), zapcore.Lock(zapcore.AddSync(w)), zapcore.Level(-level))
	return zapr.NewLogger(zap.New(core))
}
