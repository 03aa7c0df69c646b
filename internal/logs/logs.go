// Package logs sets up the structured log and its fields.
package logs

import (
	"strings"

	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Class prefixes the errors of this package.
var Class = errs.Class("logs")

// New returns a log that writes JSON lines from a level on to standard error.
func New(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(parsed)
	config.DisableStacktrace = true
	config.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	log, err := config.Build()
	return log, Class.Wrap(err)
}

// Err is the field of an error: its message on one line, without a stack.
func Err(err error) zap.Field { return zap.String("error", Line(err)) }

// Line returns an error's message on one line.
func Line(err error) string {
	return strings.Join(strings.Split(err.Error(), "\n"), ": ")
}
