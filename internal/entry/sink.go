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
	// writeStep is the unit of progress: a caller that does not take this many
	// bytes within the write timeout is too slow.
	writeStep = 4 << 10
	// pieceOverhead is added for each held piece, because pieces are small.
	pieceOverhead = 64
)

// callerSink writes an answer to the caller. Data is held in memory, within
// the bounds, while the caller is slow; beyond them Data blocks, so that the
// target is not read further.
type callerSink struct {
	x      *exchange
	hold   *dispatch.Reservation
	cancel context.CancelCauseFunc // ends the call
	wake   chan struct{}
	done   chan struct{} // closed when the writer has ended
	stop   context.CancelCauseFunc
	ctx    context.Context // ends with the caller's connection or the writer
	head   bool
	stream bool
	mu     struct {
		sync.Mutex
		queue  [][]byte
		closed bool
		err    error
		held   int64
		most   int64
		passed int64 // bytes of the answer
	}
}

func newCallerSink(x *exchange) *callerSink {
	s := &callerSink{x: x, hold: x.s.MemoryBudget.NewReservation(x.call.Permit.Team), wake: make(chan struct{}, 1), done: make(chan struct{})}
	s.ctx, s.stop = context.WithCancelCause(x.r.Context())
	return s
}

func (s *callerSink) begun() bool { return s.head }

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
	s.head, s.stream = true, s.x.call.Stream || h.Size < 0
	s.x.setWriteDeadline()
	s.x.w.WriteHeader(h.Status)
	go s.write()
	return nil
}

// Data implements dispatch.Sink.
func (s *callerSink) Data(p []byte) error {
	if err := s.hold.ReserveWait(s.ctx, int64(len(p)+pieceOverhead)); err != nil {
		if own := s.failed(); own != nil {
			return own
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
	s.mu.held += int64(len(p) + pieceOverhead)
	s.mu.most = max(s.mu.most, s.mu.held)
	s.mu.passed += int64(len(p))
	s.signal()
	return nil
}

func (s *callerSink) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// write runs on its own goroutine until the answer has ended or failed.
func (s *callerSink) write() {
	defer close(s.done)
	for {
		piece, more, last := s.take()
		if piece == nil && last {
			return
		}
		if piece == nil {
			<-s.wake
			continue
		}
		err := s.writePiece(piece, !more)
		n := int64(len(piece) + pieceOverhead)
		s.mu.Lock()
		s.mu.held -= n
		s.mu.Unlock()
		s.hold.Release(n)
		if err != nil {
			s.fail(err)
			return
		}
	}
}

func (s *callerSink) take() (piece []byte, more, last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.mu.queue) == 0 {
		return nil, false, s.mu.closed
	}
	piece, s.mu.queue = s.mu.queue[0], s.mu.queue[1:]
	return piece, len(s.mu.queue) > 0, false
}

func (s *callerSink) writePiece(p []byte, flush bool) error {
	for len(p) > 0 {
		n := min(len(p), writeStep)
		s.x.setWriteDeadline()
		if _, err := s.x.w.Write(p[:n]); err != nil {
			return err
		}
		p = p[n:]
	}
	if !flush || !s.stream {
		return nil
	}
	s.x.setWriteDeadline()
	return s.x.rc.Flush()
}

// fail ends the call: the caller cannot be written to any more.
func (s *callerSink) fail(err error) {
	e := result.New(result.CallerTooSlow, result.MayHaveRun, "the caller closed the connection").WithCause(err)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		e = result.New(result.CallerTooSlow, result.MayHaveRun, "the caller did not read in time").WithCause(err)
		held, _ := s.totals()
		s.x.s.Log.Emit(event.CallerTooSlow, zap.String("request", s.x.id), zap.String("team", s.x.call.Permit.Team), zap.Int64("held", held))
	}
	s.mu.Lock()
	s.mu.err, s.mu.queue = e, nil
	s.mu.Unlock()
	s.stop(e)
	s.cancel(e)
}

func (s *callerSink) failed() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.err
}

// forbids reports whether a failure means that the caller may not have the
// data that was held for it.
func forbids(err error) bool {
	if err == nil {
		return false
	}
	code := result.From(err).Code
	return code < result.OverRate || code == result.NoRegionAllowed
}

// end waits until everything was written, the terminal event last. Data that
// waits is dropped if drop is set.
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
	s.hold.Close()
	s.stop(nil)
	return s.failed()
}

// largest is the largest number of bytes held at one time.
// totals returns the largest number of bytes held at one time, and the bytes
// of the answer.
func (s *callerSink) totals() (held, passed int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.most, s.mu.passed
}
