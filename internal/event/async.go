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
	// asyncLines is the number of lines that may wait for a slow output; at
	// about 300 bytes a line they take some 600 KB.
	asyncLines = 2048
	// perEvent is the number of lines of one event that are written in a second;
	// of those beyond, one in perEvent.
	perEvent = 50
	// dropInterval is the pause between two lines that count dropped ones.
	dropInterval = time.Second
)

// Async writes log lines to an output without ever waiting for it: lines that
// find the buffer full are dropped and counted.
type Async struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// BuildAsync returns a Logger of JSON lines that writes through an Async, whose
// Run must run beside it. Each event has a limit of lines a second.
func BuildAsync(out io.Writer, level string) (*Logger, *Async, error) {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "log level %q", level)
	}
	a := &Async{out: out, lines: make(chan []byte, asyncLines)}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.EpochMillisTimeEncoder
	enc.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), a, lvl)
	count := zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			a.dropped.Add(1)
		}
	})
	return NewLogger(zap.New(zapcore.NewSamplerWithOptions(core, time.Second, perEvent, perEvent, count))), a, nil
}

// Write implements zapcore.WriteSyncer.
func (a *Async) Write(p []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), p...):
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer; lines are on their way already.
func (a *Async) Sync() error { return nil }

// Run writes lines until ctx ends, then those that wait.
func (a *Async) Run(ctx context.Context, log *Logger) error {
	tick := time.NewTicker(dropInterval)
	defer tick.Stop()
	for {
		select {
		case line := <-a.lines:
			_, _ = a.out.Write(line) // there is no other place to report it to
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

func (a *Async) flush() {
	for {
		select {
		case line := <-a.lines:
			_, _ = a.out.Write(line)
		default:
			return
		}
	}
}
