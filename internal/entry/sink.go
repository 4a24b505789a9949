package entry

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/dispatch"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

const (
	// maxWriteSize is the number of bytes written under one write deadline: a
	// caller that does not take this many within the write timeout is too slow.
	maxWriteSize = 4 << 10
	// chunkOverhead is the memory accounted for each buffered chunk beside its
	// data; chunks are so small that it matters.
	chunkOverhead = 64
)

// callerSink writes a response to the caller. Data is buffered in memory, within
// the limits, while the caller is slow; at a limit Data blocks, so that no more
// is read from the target.
type callerSink struct {
	x           *exchange
	reservation *dispatch.Reservation
	cancelCall  context.CancelCauseFunc
	wake        chan struct{}
	done        chan struct{} // closed when the writer goroutine has ended
	cancelCtx   context.CancelCauseFunc
	ctx         context.Context // ends with the caller's connection or with the writer goroutine
	headWritten bool
	streaming   bool
	mu          struct {
		sync.Mutex
		queue        [][]byte
		closed       bool
		err          error
		buffered     int64
		peakBuffered int64
		bodyBytes    int64 // response body bytes that Data received
	}
}

func newCallerSink(x *exchange) *callerSink {
	s := &callerSink{x: x, reservation: x.s.MemoryBudget.NewReservation(x.call.Permit.Team), wake: make(chan struct{}, 1), done: make(chan struct{})}
	s.ctx, s.cancelCtx = context.WithCancelCause(x.r.Context())
	return s
}

func (s *callerSink) started() bool { return s.headWritten }

// Head implements dispatch.Sink.
func (s *callerSink) Head(h dispatch.ResponseHead) error {
	header := s.x.w.Header()
	for name, values := range h.Header {
		if name != "X-Request-Id" {
			header[name] = values
		}
	}
	if h.Size >= 0 && h.Status != http.StatusNoContent && h.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.FormatInt(h.Size, 10))
	}
	s.headWritten, s.streaming = true, s.x.call.Stream || h.Size < 0
	s.x.setWriteDeadline()
	s.x.w.WriteHeader(h.Status)
	go s.write()
	return nil
}

// Data implements dispatch.Sink.
func (s *callerSink) Data(p []byte) error {
	if err := s.reservation.ReserveWait(s.ctx, int64(len(p)+chunkOverhead)); err != nil {
		if sinkErr := s.failure(); sinkErr != nil {
			return sinkErr
		}
		return err
	}
	return s.push(append([]byte(nil), p...))
}

func (s *callerSink) push(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.err != nil {
		return s.mu.err
	}
	s.mu.queue = append(s.mu.queue, p)
	s.mu.buffered += int64(len(p) + chunkOverhead)
	s.mu.peakBuffered = max(s.mu.peakBuffered, s.mu.buffered)
	s.mu.bodyBytes += int64(len(p))
	s.signal()
	return nil
}

func (s *callerSink) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// write writes out the queued chunks. It runs on its own goroutine until the
// response has ended or failed.
func (s *callerSink) write() {
	defer close(s.done)
	for {
		chunk, more, last := s.next()
		if chunk == nil && last {
			return
		}
		if chunk == nil {
			<-s.wake
			continue
		}
		err := s.writeChunk(chunk, !more)
		n := int64(len(chunk) + chunkOverhead)
		s.mu.Lock()
		s.mu.buffered -= n
		s.mu.Unlock()
		s.reservation.Release(n)
		if err != nil {
			s.fail(err)
			return
		}
	}
}

func (s *callerSink) next() (chunk []byte, more, last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.mu.queue) == 0 {
		return nil, false, s.mu.closed
	}
	chunk, s.mu.queue = s.mu.queue[0], s.mu.queue[1:]
	return chunk, len(s.mu.queue) > 0, false
}

func (s *callerSink) writeChunk(p []byte, flush bool) error {
	for len(p) > 0 {
		n := min(len(p), maxWriteSize)
		s.x.setWriteDeadline()
		if _, err := s.x.w.Write(p[:n]); err != nil {
			return err
		}
		p = p[n:]
	}
	if !flush || !s.streaming {
		return nil
	}
	s.x.setWriteDeadline()
	return s.x.rc.Flush()
}

// fail cancels the call after a failed write to the caller.
func (s *callerSink) fail(err error) {
	e := result.New(result.CallerTooSlow, result.MayHaveRun, "the caller closed the connection").WithCause(err)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		e = result.New(result.CallerTooSlow, result.MayHaveRun, "the caller did not read in time").WithCause(err)
		peak, _ := s.totals()
		s.x.s.Log.Emit(event.CallerTooSlow, zap.String("request", s.x.id), zap.String("team", s.x.call.Permit.Team), zap.Int64("held", peak))
	}
	s.mu.Lock()
	s.mu.err, s.mu.queue = e, nil
	s.mu.Unlock()
	s.cancelCtx(e)
	s.cancelCall(e)
}

func (s *callerSink) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.err
}

// dropsBuffered reports whether err means that the caller must not receive the
// data still buffered for it, for example because its key was withdrawn or the
// region is no longer allowed.
func dropsBuffered(err error) bool {
	if err == nil {
		return false
	}
	code := result.FromError(err).Code
	return code < result.OverRate || code == result.NoRegionAllowed
}

// end waits until the buffered data has been written, followed by the terminal
// event if there is one. If drop is set, the buffered data is discarded first.
func (s *callerSink) end(terminal []byte, drop bool) error {
	s.mu.Lock()
	if drop {
		s.mu.queue = nil
	}
	if terminal != nil && s.mu.err == nil {
		s.mu.queue = append(s.mu.queue, terminal)
	}
	s.mu.closed = true
	s.signal()
	s.mu.Unlock()
	<-s.done
	s.reservation.Close()
	s.cancelCtx(nil)
	return s.failure()
}

// totals returns the largest number of bytes buffered at one time and the number
// of response body bytes that Data received.
func (s *callerSink) totals() (peak, bodyBytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.peakBuffered, s.mu.bodyBytes
}
