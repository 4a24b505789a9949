package event

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cockroachdb/errors"
)

// In each second, the first sampleFirst lines of an event are written and then
// one in sampleThereafter, so that a frequent event cannot fill the log.
const (
	sampleInterval   = time.Second
	sampleFirst      = 100
	sampleThereafter = 100
)

// Build returns a Logger that writes to standard error. format is "json" or
// "console"; level is a zap level name. Audit lines are never sampled.
func Build(format, level string) (*Logger, error) {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "log level %q", level)
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	var encoder zapcore.Encoder
	switch format {
	case "json":
		encoder = zapcore.NewJSONEncoder(enc)
	case "console":
		encoder = zapcore.NewConsoleEncoder(enc)
	default:
		return nil, errors.Newf("log format %q: accepted values are json and console", format)
	}
	sink, _, err := zap.Open("stderr")
	if err != nil {
		return nil, errors.Wrap(err, "open log output")
	}
	core := zapcore.NewCore(encoder, sink, lvl)
	return &Logger{z: zap.New(&unsampledAuditCore{
		Core:      zapcore.NewSamplerWithOptions(core, sampleInterval, sampleFirst, sampleThereafter),
		unsampled: core,
	})}, nil
}

// unsampledAuditCore samples all events except the lines of the audit trail,
// which it passes to unsampled.
type unsampledAuditCore struct {
	zapcore.Core
	unsampled zapcore.Core
}

// With implements zapcore.Core.
func (c *unsampledAuditCore) With(fields []zapcore.Field) zapcore.Core {
	return &unsampledAuditCore{Core: c.Core.With(fields), unsampled: c.unsampled.With(fields)}
}

// Check implements zapcore.Core.
func (c *unsampledAuditCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if e.Message == AuditChange.Name {
		return c.unsampled.Check(e, ce)
	}
	return c.Core.Check(e, ce)
}
