// Package logs creates the structured loggers and formats errors for them.
package logs

import (
	"strings"

	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Class prefixes the errors of this package.
var Class = errs.Class("logs")

// New returns a logger that writes JSON lines of a minimum level to standard error.
func New(level string) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(minLevel)
	config.DisableStacktrace = true
	config.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	log, err := config.Build()
	return log, Class.Wrap(err)
}

// Err returns a log field with the message of an error on one line and without a
// stack trace.
func Err(err error) zap.Field { return zap.String("error", OneLine(err)) }

// OneLine returns the message of an error on one line.
func OneLine(err error) string {
	return strings.Join(strings.Split(err.Error(), "\n"), ": ")
}
