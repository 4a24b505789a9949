package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/dispatch"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/intake"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

const requestIDBytes = 12

// exchange is one request of a caller and the response to it.
type exchange struct {
	s          *Server
	w          http.ResponseWriter
	rc         *http.ResponseController
	r          *http.Request
	id         string
	start      time.Time
	call       *dispatch.Call
	bodyMemory *dispatch.Reservation
	sink       *callerSink
	// hasIdempotencyKey is set for a request with a well-formed idempotency key.
	// An earlier attempt may have run under the key, so no refusal can say
	// "not run" until the record of the key has been read.
	hasIdempotencyKey bool
}

// newExchange assigns the request id and replaces the deadlines that an earlier
// request set on the same connection.
func (s *Server) newExchange(c echo.Context) *exchange {
	id := make([]byte, requestIDBytes)
	_, _ = rand.Read(id) // rand.Read never returns an error
	x := &exchange{s: s, w: c.Response().Writer, r: c.Request(), id: hex.EncodeToString(id), start: time.Now()}
	x.rc = http.NewResponseController(x.w)
	_ = x.rc.SetWriteDeadline(time.Time{})
	// The read deadline stays in force if the request is refused, because
	// net/http then reads the rest of the body itself.
	if t := s.Bounds.ReadTimeout; t > 0 {
		_ = x.rc.SetReadDeadline(x.start.Add(t))
	}
	x.w.Header().Set("X-Request-Id", x.id)
	if s.Gate.Draining() {
		x.w.Header().Set("Connection", "close")
	}
	return x
}

// serve returns a handler that runs one request. prepare reads and authorizes
// the request.
func (s *Server) serve(prepare func(*exchange) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		x := s.newExchange(c)
		defer x.recoverPanic()
		x.hasIdempotencyKey = mayHaveRunBefore(x.r)
		release, err := s.acquireStream()
		if err != nil {
			x.finish(dispatch.Outcome{}, x.preDispatchError(err))
			return nil
		}
		defer release()
		x.bodyMemory = s.MemoryBudget.NewReservation("")
		defer func() { x.bodyMemory.Close() }()
		if err := prepare(x); err != nil {
			x.finish(dispatch.Outcome{}, x.preDispatchError(err))
			return nil
		}
		x.sink = newCallerSink(x)
		ctx, cancel := context.WithCancelCause(x.r.Context())
		defer cancel(nil)
		x.sink.cancelCall = cancel
		out, err := s.Dispatcher.Do(ctx, x.call, x.sink)
		x.finish(out, err)
		return nil
	}
}

// acquireStream counts the request against the limit on concurrent requests and
// returns a function that releases it.
func (s *Server) acquireStream() (func(), error) {
	leaveGate, err := s.Gate.Enter()
	if err != nil {
		return nil, err
	}
	if n := s.streams.Add(1); s.Bounds.MaxStreams > 0 && n > int64(s.Bounds.MaxStreams) {
		s.streams.Add(-1)
		leaveGate()
		return nil, result.New(result.MemoryLimitReached, result.NotRun, "the instance serves its largest number of requests").WithRetryAfter(time.Second)
	}
	return func() { s.streams.Add(-1); leaveGate() }, nil
}

// preDispatchError returns the error to report for a request that was refused
// before dispatch. One with an idempotency key may have run earlier.
func (x *exchange) preDispatchError(err error) error {
	if x.hasIdempotencyKey && result.FromError(err).Code != result.BadIdempotencyKey {
		return dispatch.AsMayHaveRun(err)
	}
	return err
}

// finish writes the error, if any, waits until the response has been written
// out, and reports the request. It panics with http.ErrAbortHandler if the
// response is incomplete and the connection must be closed to show it.
func (x *exchange) finish(out dispatch.Outcome, err error) {
	abort := false
	if x.sink == nil || !x.sink.started() {
		if err != nil {
			x.writeError(err)
		}
	} else {
		if writeErr := x.sink.end(x.terminalEvent(err), dropsBuffered(err)); err == nil && writeErr != nil {
			err = writeErr
		}
		abort = err != nil && (!x.call.Stream || x.sink.failure() != nil)
	}
	x.report(out, err)
	if abort {
		// The caller must not mistake the truncated response for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// terminalEvent returns the error event that ends a failed stream, or nil if the
// call succeeded or is no stream.
func (x *exchange) terminalEvent(err error) []byte {
	if err == nil || !x.call.Stream {
		return nil
	}
	return fmt.Appendf(nil, "event: error\ndata: %s\n\n", x.errorBody(result.FromError(err)))
}

func (x *exchange) report(out dispatch.Outcome, err error) {
	rec := Record{Region: out.Region, Target: out.Target, Duration: time.Since(x.start), TimeToFirstByte: out.TimeToFirstByte,
		TokensUsed: out.Tokens, Attempts: out.Attempts, Class: "none"}
	if x.call != nil {
		rec.Team, rec.Class = x.call.Permit.Team, x.call.Class()
	}
	if x.sink != nil {
		rec.PeakBufferedBytes, rec.BodyBytes = x.sink.totals()
		rec.BodyBytes += int64(len(x.call.Body))
	}
	if err != nil {
		e := result.FromError(err)
		rec.Code = e.Code
		x.s.Log.Emit(event.RequestFailed, zap.String("request", x.id), zap.String("team", rec.Team), zap.Int("code", int(e.Code)),
			zap.Stringer("ran", e.Ran), zap.String("reason", e.Message))
	}
	x.s.Requests.End(x.id, rec.Team, int(rec.Code), rec.Duration)
	x.s.Observer.RequestDone(rec)
}

// recoverPanic turns a panic into an error response. It passes
// http.ErrAbortHandler on to net/http.
func (x *exchange) recoverPanic() {
	p := recover()
	if p == nil {
		return
	}
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	x.s.Log.Emit(event.PanicRecovered, zap.String("request", x.id), zap.Any("panic", p), zap.Stack("stack"))
	if x.sink != nil && x.sink.started() {
		_ = x.sink.end(nil, true)
		panic(http.ErrAbortHandler)
	}
	x.writeError(result.New(result.InternalError, result.MayHaveRun, "internal fault"))
}

// writeError writes err as the complete response.
func (x *exchange) writeError(err error) {
	e := result.FromError(err)
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	if e.Code == result.ShuttingDown {
		h.Set("Connection", "close")
	}
	x.setWriteDeadline()
	body := append(x.errorBody(e), '\n')
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(e.Code.Status())
	_, _ = x.w.Write(body)
}

func (x *exchange) errorBody(e *result.Error) []byte {
	type body struct {
		Code      int    `json:"code"`
		Name      string `json:"name"`
		Message   string `json:"message"`
		Ran       string `json:"ran"`
		RequestID string `json:"request_id"`
	}
	b, _ := json.Marshal(map[string]body{"error": {int(e.Code), e.Code.String(), e.Message, e.Ran.String(), x.id}})
	return b
}

func (x *exchange) writeJSON(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		x.writeError(result.New(result.InternalError, result.NotRun, "the answer cannot be written"))
		return
	}
	x.w.Header().Set("Content-Type", "application/json")
	x.setWriteDeadline()
	_, _ = x.w.Write(append(b, '\n'))
}

func (x *exchange) setWriteDeadline() {
	if t := x.s.Bounds.WriteTimeout; t > 0 {
		_ = x.rc.SetWriteDeadline(time.Now().Add(t))
	}
}

// readBody reads the whole body within the limits on size, memory and time.
func (x *exchange) readBody(team string) ([]byte, error) {
	limit := x.s.Bounds.MaxBody
	if limit <= 0 {
		limit = math.MaxInt64 - 1
	}
	x.bodyMemory = x.s.MemoryBudget.NewReservation(team)
	var r io.Reader = x.r.Body
	if r != http.NoBody {
		r = reservingReader{r, x.bodyMemory}
	}
	body, err := intake.ReadBody(r, x.r.ContentLength, limit, x.s.Intake)
	// Once it is whole, the body is held from the memory of its team.
	body.Release()
	var refused *result.Error
	switch {
	case err == nil:
		// The read deadline must not end the request while its response is written.
		_ = x.rc.SetReadDeadline(time.Time{})
		return body.Bytes, nil
	case errors.As(err, &refused):
		return nil, refused
	case errors.Is(err, intake.ErrTooLarge):
		return nil, result.New(result.BodyTooLarge, result.NotRun, "the body exceeds the bound of %d bytes", limit)
	case errors.Is(err, intake.ErrNoMemory):
		return nil, result.New(result.MemoryLimitReached, result.NotRun, "requests that arrive fill the memory for them").WithRetryAfter(time.Second)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, intake.ErrTooSlow):
		return nil, result.New(result.CallerTooSlow, result.NotRun, "the request was not received in time")
	}
	return nil, result.New(result.BadRequest, result.NotRun, "the body could not be read")
}
