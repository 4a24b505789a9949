package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/auth"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

const (
	pieceBytes = 16 << 10
	// wholeBytes is how much of a plain answer is read before its head is
	// passed on, so that a short answer that breaks off can be retried.
	wholeBytes = 64 << 10
)

// deliver passes the answer of an attempt to the sink.
func (r *run) deliver(ctx context.Context, a *answer) error {
	switch {
	case r.c.Permit.Model == "":
		return r.deliverPlain(ctx, a)
	case a.status == http.StatusOK && r.c.Stream:
		if !strings.HasPrefix(a.header.Get("Content-Type"), "text/event-stream") {
			return fault(result.TargetFailed, true, "the target did not answer with a stream", nil)
		}
		return r.deliverStream(ctx, a)
	}
	return r.deliverWhole(ctx, a)
}

// deliverWhole reads a whole answer of an engine before any of it is passed on.
func (r *run) deliverWhole(ctx context.Context, a *answer) error {
	hold := r.l.Memory.NewReservation(r.c.Permit.Team)
	defer hold.Close()
	limit := r.l.Bounds.MaxBody
	var body []byte
	buf := make([]byte, pieceBytes)
	for {
		n, err := a.body.Read(buf)
		if n > 0 {
			if err := hold.Reserve(int64(n), result.MayHaveRun); err != nil {
				return &attemptError{err: result.From(err), final: true}
			}
			if body = append(body, buf[:n]...); limit > 0 && int64(len(body)) > limit {
				return &attemptError{err: result.New(result.TargetFailed, result.MayHaveRun, "the answer exceeds the bound"), final: true}
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return readFault(ctx, err)
		}
	}
	if a.status == http.StatusOK {
		if r.usage = wholeUsage(body); r.usage == nil {
			return fault(result.TargetFailed, true, "the answer of the engine is incomplete", nil)
		}
	}
	if err := r.sendHead(a, int64(len(body))); err != nil {
		return err
	}
	return r.sendData(body)
}

// deliverPlain passes on the answer of a plain service.
func (r *run) deliverPlain(ctx context.Context, a *answer) error {
	if r.c.Method == http.MethodHead {
		return r.sendHead(a, a.size)
	}
	buf := make([]byte, wholeBytes)
	n, err := fill(a.body, buf)
	if err == io.EOF {
		if err := r.sendHead(a, int64(n)); err != nil {
			return err
		}
		return r.sendData(buf[:n])
	}
	if err != nil {
		return readFault(ctx, err)
	}
	if err := r.sendHead(a, a.size); err != nil {
		return err
	}
	for {
		if err := r.sendData(buf[:n]); err != nil {
			return err
		}
		n, err = a.body.Read(buf[:pieceBytes])
		if err != nil && err != io.EOF {
			return readFault(ctx, err)
		}
		if err == io.EOF {
			return r.sendData(buf[:n])
		}
	}
}

// fill reads until buf is full. Unlike io.ReadFull it keeps io.EOF, the end of
// a body, apart from io.ErrUnexpectedEOF, which net/http returns for a body
// that broke off.
func fill(r io.Reader, buf []byte) (int, error) {
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

// readFault classifies an error while reading an answer.
func readFault(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return contextFault(ctx, true)
	}
	var own *attemptError
	if errors.As(err, &own) {
		return own
	}
	f := fault(result.TargetFailed, true, "the target was lost in mid-answer", err)
	f.crash = !errors.Is(err, errEventTooLarge)
	return f
}

func (r *run) sendHead(a *answer, size int64) error {
	if r.headSent {
		return nil
	}
	r.headSent = true
	h := auth.EndToEnd(a.header, "")
	h.Del("Content-Length") // Size tells it
	return sinkFault(r.sink.Head(ResponseHead{Status: a.status, Header: h, Target: a.target, Size: size}))
}

func (r *run) sendData(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if err := r.afterPause(); err != nil {
		return err
	}
	if r.out.TimeToFirstByte == 0 {
		r.out.TimeToFirstByte = time.Since(r.c.Arrived)
	}
	return sinkFault(r.sink.Data(p))
}

// afterPause holds data back while the edition is not confirmed. What was
// missed during a pause may forbid the request, so it is then checked at once.
func (r *run) afterPause() error {
	if r.l.Gate.open() {
		return nil
	}
	if r.l.Gate.wait(r.ctx) == nil {
		if e := r.l.ConfigSource.Current(); e != nil {
			r.recheck(e)
		}
	}
	if r.ctx.Err() != nil {
		return contextFault(r.ctx, true)
	}
	return nil
}

// sinkFault is a failure on the side of the caller; no other attempt helps.
func sinkFault(err error) error {
	if err == nil {
		return nil
	}
	var own *result.Error
	if errors.As(err, &own) {
		return &attemptError{err: result.New(own.Code, result.MayHaveRun, "%s", own.Message).WithCause(err), final: true}
	}
	f := fault(result.CallerTooSlow, true, "the caller closed the connection", err)
	f.final = true
	return f
}
