package dispatch

import (
	"context"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/auth"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/sse"
)

const (
	chunkBytes = 16 << 10
	// prefetchBytes is how much of a plain service's response is read before its
	// head is passed on, so that a short response that is interrupted can be
	// retried.
	prefetchBytes = 64 << 10
	// unreservedResponseBytes is the size in bytes up to which an engine's response
	// is held whatever the others take of the memory for responses.
	unreservedResponseBytes = 32 << 10
)

// deliver passes the response of an attempt to the sink.
func (r *run) deliver(ctx context.Context, resp *attemptResponse) error {
	switch {
	case r.call.Permit.Model == "":
		return r.deliverService(ctx, resp)
	case resp.status == http.StatusOK && r.call.Stream:
		if !sse.IsStream(resp.header) {
			return newAttemptError(result.TargetFailed, true, "the target did not answer with a stream", nil)
		}
		return r.deliverStream(ctx, resp)
	case r.headSent:
		return newAttemptError(result.TargetFailed, true, "the target did not resume the stream", nil)
	}
	return r.deliverBuffered(ctx, resp)
}

// deliverBuffered reads the whole response of an engine before passing on any of
// it.
func (r *run) deliverBuffered(ctx context.Context, resp *attemptResponse) error {
	team := r.local.Memory.NewReservation(r.call.Permit.Team)
	defer team.Close()
	responses := r.local.ResponseMemory.NewReservation("")
	defer responses.Close()
	if err := team.Reserve(unreservedResponseBytes, result.MayHaveRun); err != nil {
		return &attemptError{err: result.FromError(err), final: true}
	}
	limit := math.MaxInt - 1
	if r.local.Bounds.MaxBody > 0 {
		limit = int(r.local.Bounds.MaxBody)
	}
	var refused error
	body, whole, err := ReadBuffered(resp.body, unreservedResponseBytes, limit, func(n int) bool {
		if refused = team.Reserve(int64(n), result.MayHaveRun); refused == nil {
			refused = responses.Reserve(int64(n), result.MayHaveRun)
		}
		return refused == nil
	})
	defer body.Free()
	switch {
	case err != nil:
		return classifyReadError(ctx, err)
	case refused != nil:
		return &attemptError{err: result.FromError(refused), final: true}
	case !whole:
		return &attemptError{err: result.New(result.TargetFailed, result.MayHaveRun, "the answer exceeds the bound"), final: true}
	}
	// The sink takes the response as one piece and reserves its own memory for it, so
	// that a slow caller keeps nobody else's response waiting for memory.
	data := body.Bytes()
	body.Free()
	responses.Close()
	if resp.status == http.StatusOK {
		if r.usage = responseUsage(data); r.usage == nil {
			attemptErr := newAttemptError(result.TargetFailed, true, "the answer of the engine is incomplete", nil)
			attemptErr.crash = resp.endsWithConnection
			return attemptErr
		}
	}
	if err := r.sendHead(resp, int64(len(data))); err != nil {
		return err
	}
	return r.sendData(data)
}

// deliverService passes on the response of a plain service.
func (r *run) deliverService(ctx context.Context, resp *attemptResponse) error {
	if r.call.Method == http.MethodHead {
		return r.sendHead(resp, resp.size)
	}
	if sse.IsStream(resp.header) {
		return r.deliverServiceEvents(ctx, resp)
	}
	buf := make([]byte, prefetchBytes)
	n, err := readFull(resp.body, buf)
	if err == io.EOF {
		if err := r.sendHead(resp, int64(n)); err != nil {
			return err
		}
		return r.sendData(buf[:n])
	}
	if err != nil {
		return classifyReadError(ctx, err)
	}
	if err := r.sendHead(resp, resp.size); err != nil {
		return err
	}
	for {
		if err := r.sendData(buf[:n]); err != nil {
			return err
		}
		n, err = resp.body.Read(buf[:chunkBytes])
		if err != nil && err != io.EOF {
			return classifyReadError(ctx, err)
		}
		if err == io.EOF {
			return r.sendData(buf[:n])
		}
	}
}

// deliverServiceEvents passes on a stream of events of a plain service, each as it
// arrives. One that ends inside an event has been broken off.
func (r *run) deliverServiceEvents(ctx context.Context, resp *attemptResponse) error {
	events, release := r.newEventReader(resp)
	defer release()
	for {
		p, err := events.Next()
		if err != nil && err != io.EOF {
			return classifyReadError(ctx, err)
		}
		if err := r.sendHead(resp, -1); err != nil {
			return err
		}
		if err := r.sendData(p.Raw); err != nil {
			return err
		}
		if err == io.EOF {
			return nil
		}
	}
}

// readFull reads until buf is full. Unlike io.ReadFull it distinguishes io.EOF,
// the end of a body, from io.ErrUnexpectedEOF, which net/http returns for a body
// that was cut short.
func readFull(r io.Reader, buf []byte) (int, error) {
	n := 0
	for n < len(buf) {
		m, err := r.Read(buf[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// classifyReadError classifies an error while reading a response.
func classifyReadError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return contextError(ctx, true)
	}
	var attemptErr *attemptError
	if errors.As(err, &attemptErr) {
		return attemptErr
	}
	lostErr := newAttemptError(result.TargetFailed, true, "the target was lost in mid-answer", err)
	lostErr.crash = !errors.Is(err, errEventTooLarge) && !errors.Is(err, sse.ErrLineTooLong)
	return lostErr
}

func (r *run) sendHead(resp *attemptResponse, size int64) error {
	if r.headSent {
		return nil
	}
	r.headSent = true
	h := auth.EndToEndHeaders(resp.header, "")
	h.Del("Content-Length") // Size tells it
	return sinkAttemptError(r.sink.Head(ResponseHead{Status: resp.status, Header: h, Target: resp.target, Size: size}))
}

func (r *run) sendData(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if err := r.waitConfirmed(); err != nil {
		return err
	}
	if r.outcome.TimeToFirstByte == 0 {
		r.outcome.TimeToFirstByte = time.Since(r.call.Arrived)
	}
	return sinkAttemptError(r.sink.Data(p))
}

// waitConfirmed holds data back while the configuration is not confirmed. A
// configuration that was missed during a process pause may forbid the request, so
// the request is rechecked at once.
func (r *run) waitConfirmed() error {
	if r.local.Gate.open() {
		return nil
	}
	if r.local.Gate.wait(r.ctx) == nil {
		if cfg := r.local.ConfigSource.Current(); cfg != nil {
			r.recheck(cfg)
		}
	}
	if r.ctx.Err() != nil {
		return contextError(r.ctx, true)
	}
	return nil
}

// sinkAttemptError wraps a failure on the caller's side; further attempts cannot
// help.
func sinkAttemptError(err error) error {
	if err == nil {
		return nil
	}
	var resultErr *result.Error
	if errors.As(err, &resultErr) {
		return &attemptError{err: result.New(resultErr.Code, result.MayHaveRun, "%s", resultErr.Message).WithCause(err), final: true}
	}
	attemptErr := newAttemptError(result.CallerTooSlow, true, "the caller closed the connection", err)
	attemptErr.final = true
	return attemptErr
}
