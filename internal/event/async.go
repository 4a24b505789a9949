package event

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cockroachdb/errors"
)

const (
	// bufferedLines is the number of lines buffered for a slow output; at about
	// 300 bytes each they take about 600 KB.
	bufferedLines = 2048
	// linesPerEvent limits the lines of one event that are written in a second;
	// beyond it, one line in linesPerEvent is written.
	linesPerEvent = 50
	// dropReportInterval is the interval between two reports of dropped lines.
	dropReportInterval = time.Second
)

// AsyncWriter writes log lines to an output without blocking the caller: when
// the buffer is full, lines are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// BuildAsync returns a Logger of JSON lines and the AsyncWriter that it writes
// to; the caller must run the writer's Run method. The number of lines of each
// event per second is limited.
func BuildAsync(out io.Writer, level string) (*Logger, *AsyncWriter, error) {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "log level %q", level)
	}
	a := &AsyncWriter{out: out, lines: make(chan []byte, bufferedLines)}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.EpochMillisTimeEncoder
	enc.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), a, lvl)
	count := zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			a.dropped.Add(1)
		}
	})
	return NewLogger(zap.New(zapcore.NewSamplerWithOptions(core, time.Second, linesPerEvent, linesPerEvent, count))), a, nil
}

// Write implements zapcore.WriteSyncer. It copies p and never blocks.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), p...):
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing: Run writes each line
// without further buffering.
func (a *AsyncWriter) Sync() error { return nil }

// Run writes lines until ctx ends, then those still in the buffer. It reports
// dropped lines to log.
func (a *AsyncWriter) Run(ctx context.Context, log *Logger) error {
	tick := time.NewTicker(dropReportInterval)
	defer tick.Stop()
	for {
		select {
		case line := <-a.lines:
			_, _ = a.out.Write(line) // there is no other output to report a failed write to
		case <-tick.C:
			if n := a.dropped.Swap(0); n > 0 {
				log.Emit(LinesDropped, zap.Int64("lines", n))
			}
		case <-ctx.Done():
			a.flush()
			return nil
		}
	}
}

func (a *AsyncWriter) flush() {
	for {
		select {
		case line := <-a.lines:
			_, _ = a.out.Write(line)
		default:
			return
		}
	}
}
