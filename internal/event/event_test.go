package event

import (
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against log lines that contain the stack trace of each error, and
// against lines without an event number.
func TestErrorsAreLoggedWithoutStack(t *testing.T) {
	core, logs := observer.New(zapcore.DebugLevel)
	NewLogger(zap.New(core)).Emit(OpsServerFailed, zap.Error(errors.New("no route")))
	fields := logs.All()[0].ContextMap()
	if fields["error"] != "no route" || fields["event"] != int64(OpsServerFailed.Number) || len(fields) != 2 {
		t.Fatalf("fields %v", fields)
	}
}

// Guards against a sampler that drops lines of the audit trail when many are
// written within one sampling interval.
func TestAuditLinesAreNotSampled(t *testing.T) {
	core, logs := observer.New(zapcore.DebugLevel)
	l := &Logger{z: zap.New(&unsampledAuditCore{
		Core:      zapcore.NewSamplerWithOptions(core, sampleInterval, 1, 0),
		unsampled: core,
	})}
	for range 3 {
		l.Emit(AuditChange)
		l.Emit(OpsServerFailed)
	}
	if got := logs.FilterMessage(AuditChange.Name).Len(); got != 3 {
		t.Errorf("%d of 3 audit lines were written", got)
	}
	if got := logs.FilterMessage(OpsServerFailed.Name).Len(); got != 1 {
		t.Errorf("%d sampled lines were written, want 1", got)
	}
}
