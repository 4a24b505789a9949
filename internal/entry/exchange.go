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
	"github.com/wigeonhill/wigeonhill/internal/result"
)

const (
	requestIDBytes = 12
	bodyStep       = 32 << 10
)

// exchange is one request of a caller with its answer.
type exchange struct {
	s     *Server
	w     http.ResponseWriter
	rc    *http.ResponseController
	r     *http.Request
	id    string
	start time.Time
	call  *dispatch.Call
	body  *dispatch.Reservation
	sink  *callerSink
	// keyed is set for a request with a well-formed idempotency key. Until the
	// record of the key was read, no refusal can say "not run".
	keyed bool
}

// begin sets the request id and clears deadlines of an earlier request on the
// same connection.
func (s *Server) begin(c echo.Context) *exchange {
	id := make([]byte, requestIDBytes)
	_, _ = rand.Read(id) // never fails
	x := &exchange{s: s, w: c.Response().Writer, r: c.Request(), id: hex.EncodeToString(id), start: time.Now()}
	x.rc = http.NewResponseController(x.w)
	_ = x.rc.SetWriteDeadline(time.Time{})
	// It stays in force if the request is refused: net/http then reads the rest
	// of the body itself.
	if t := s.Bounds.ReadTimeout; t > 0 {
		_ = x.rc.SetReadDeadline(x.start.Add(t))
	}
	x.w.Header().Set("X-Request-Id", x.id)
	return x
}

// serve runs one request: prepare reads and authorizes it.
func (s *Server) serve(prepare func(*exchange) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		x := s.begin(c)
		defer x.recover()
		x.keyed = mayBeBooking(x.r)
		leave, err := s.enter()
		if err != nil {
			x.finish(dispatch.Outcome{}, x.early(err))
			return nil
		}
		defer leave()
		x.body = s.MemoryBudget.NewReservation("")
		defer func() { x.body.Close() }()
		if err := prepare(x); err != nil {
			x.finish(dispatch.Outcome{}, x.early(err))
			return nil
		}
		x.sink = newCallerSink(x)
		ctx, cancel := context.WithCancelCause(x.r.Context())
		defer cancel(nil)
		x.sink.cancel = cancel
		out, err := s.Dispatcher.Do(ctx, x.call, x.sink)
		x.finish(out, err)
		return nil
	}
}

// enter counts the request against the bound of requests at one time.
func (s *Server) enter() (func(), error) {
	leave, err := s.Gate.Enter()
	if err != nil {
		return nil, err
	}
	if n := s.streams.Add(1); s.Bounds.MaxStreams > 0 && n > int64(s.Bounds.MaxStreams) {
		s.streams.Add(-1)
		leave()
		return nil, result.New(result.MemoryBound, result.NotRun, "the instance serves its largest number of requests").WithRetryAfter(time.Second)
	}
	return func() { s.streams.Add(-1); leave() }, nil
}

// early is the error of a request that was refused before dispatch.
func (x *exchange) early(err error) error {
	if x.keyed && result.From(err).Code != result.BadIdempotencyKey {
		return dispatch.AsMayHaveRun(err)
	}
	return err
}

// finish writes the error, if any, waits until the caller has read the answer,
// and reports the request.
func (x *exchange) finish(out dispatch.Outcome, err error) {
	abort := false
	if x.sink == nil || !x.sink.begun() {
		if err != nil {
			x.fail(err)
		}
	} else {
		if sent := x.sink.end(x.terminal(err), forbids(err)); err == nil && sent != nil {
			err = sent
		}
		abort = err != nil && (!x.call.Stream || x.sink.failed() != nil)
	}
	x.report(out, err)
	if abort {
		// The caller must not take what it has for the whole answer.
		panic(http.ErrAbortHandler)
	}
}

// terminal is the last event of a stream that failed.
func (x *exchange) terminal(err error) []byte {
	if err == nil || !x.call.Stream {
		return nil
	}
	return fmt.Appendf(nil, "event: error\ndata: %s\n\n", x.errorBody(result.From(err)))
}

func (x *exchange) report(out dispatch.Outcome, err error) {
	rec := Record{Region: out.Region, Target: out.Target, Duration: time.Since(x.start), FirstByte: out.TimeToFirstByte,
		Tokens: out.Tokens, Attempts: out.Attempts, Class: "none"}
	if x.call != nil {
		rec.Team, rec.Class = x.call.Permit.Team, x.call.Class()
	}
	if x.sink != nil {
		rec.Held, rec.Bytes = x.sink.totals()
		rec.Bytes += int64(len(x.call.Body))
	}
	if err != nil {
		e := result.From(err)
		rec.Code = e.Code
		x.s.Log.Emit(event.RequestFailed, zap.String("request", x.id), zap.String("team", rec.Team), zap.Int("code", int(e.Code)),
			zap.Stringer("ran", e.Ran), zap.String("reason", e.Message))
	}
	x.s.Requests.End(x.id, rec.Team, int(rec.Code), rec.Duration)
	x.s.Observer.RequestDone(rec)
}

// recover turns a panic into an answer; an abort goes on to net/http.
func (x *exchange) recover() {
	p := recover()
	if p == nil {
		return
	}
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	x.s.Log.Emit(event.PanicRecovered, zap.String("request", x.id), zap.Any("panic", p), zap.Stack("stack"))
	if x.sink != nil && x.sink.begun() {
		_ = x.sink.end(nil, true)
		panic(http.ErrAbortHandler)
	}
	x.fail(result.New(result.InternalFault, result.MayHaveRun, "internal fault"))
}

// fail writes an error as the whole answer.
func (x *exchange) fail(err error) {
	e := result.From(err)
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	if e.Code == result.ShuttingDown {
		h.Set("Connection", "close")
	}
	x.setWriteDeadline()
	x.w.WriteHeader(e.Code.Status())
	_, _ = x.w.Write(append(x.errorBody(e), '\n'))
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
		x.fail(result.New(result.InternalFault, result.NotRun, "the answer cannot be written"))
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

// readBody reads the whole body within the bounds of size, memory and time.
func (x *exchange) readBody(team string) ([]byte, error) {
	limit := x.s.Bounds.MaxBody
	tooLarge := result.New(result.BodyTooLarge, result.NotRun, "the body exceeds the bound of %d bytes", limit)
	if limit > 0 && x.r.ContentLength > limit {
		x.discard(limit)
		return nil, tooLarge
	}
	x.body = x.s.MemoryBudget.NewReservation(team)
	var body []byte
	buf := make([]byte, bodyStep)
	for {
		n, err := x.r.Body.Read(buf)
		if n > 0 {
			if err := x.body.Reserve(int64(n), result.NotRun); err != nil {
				return nil, err
			}
			if body = append(body, buf[:n]...); limit > 0 && int64(len(body)) > limit {
				x.discard(limit)
				return nil, tooLarge
			}
		}
		switch {
		case err == io.EOF:
			// The deadline must not end the request while its answer is written.
			_ = x.rc.SetReadDeadline(time.Time{})
			return body, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, result.New(result.CallerTooSlow, result.NotRun, "the request was not received in time")
		case err != nil:
			return nil, result.New(result.BadRequest, result.NotRun, "the body could not be read")
		}
	}
}

// discard reads on for a bounded part of a body that is too large: many callers
// read the refusal only after they have sent the body, and a connection closed
// before that would be reset under them.
func (x *exchange) discard(limit int64) {
	if x.r.Header.Get("Expect") == "" {
		_, _ = io.CopyN(io.Discard, x.r.Body, limit)
	}
}
