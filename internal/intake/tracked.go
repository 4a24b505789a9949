package intake

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrTooSlow is returned for a body that did not arrive in time.
var ErrTooSlow = errors.New("the body did not arrive in time")

const (
	// drainBytes bounds what is read and dropped of a body that was refused: a client
	// that reads nothing before it has sent everything would lose the response if the
	// connection were closed before. Each drainStep must arrive within stallTime.
	drainBytes = 4 << 20
	drainStep  = 64 << 10
)

// trackedBody is the body of a request that has not arrived whole.
type trackedBody struct {
	io.ReadCloser
	// request is the request for the handler. net/http decides by the body of its own
	// request whether the connection can be used again.
	request http.Request
	port    *Port
	conn    *conn // nil for HTTP/2
	w       http.ResponseWriter
	// begun, progress and deadline are times since the start of the port; deadline is
	// 0 if none was set. begun is guarded by bodyMu.
	begun              time.Duration
	progress, deadline atomic.Int64
	// refusal is 1 more than the reason for which the rest is not waited for.
	refusal  atomic.Int32
	complete atomic.Bool
	// needed and reserved are bytes of memory for a message.
	needed, reserved int64
	next, prev       *trackedBody // guarded by bodyMu

	mu sync.Mutex
	// ended is set when the handler has returned; w must not be used then.
	ended bool
}

func (p *Port) track(w http.ResponseWriter, r *http.Request, c *conn) *trackedBody {
	b := &trackedBody{ReadCloser: r.Body, request: *r, port: p, conn: c, w: w, begun: time.Duration(p.sinceStart.Load())}
	b.request.Body = b
	b.progress.Store(int64(b.begun))
	if c != nil {
		c.body.Store(b)
	}
	p.bodyMu.Lock()
	defer p.bodyMu.Unlock()
	last := p.bodies.prev
	b.next, b.prev = &p.bodies, last
	last.next, p.bodies.prev = b, b
	return b
}

func (b *trackedBody) untrack() {
	b.port.bodyMu.Lock()
	defer b.port.bodyMu.Unlock()
	if b.next != nil {
		b.prev.next, b.next.prev = b.next, b.prev
		b.next, b.prev = nil, nil
	}
}

// Read implements io.Reader.
func (b *trackedBody) Read(q []byte) (int, error) {
	if b.port.messageFactor > 0 && b.refusal.Load() != 0 {
		return 0, b.refusalError()
	}
	n, err := b.ReadCloser.Read(q)
	if n > 0 {
		b.progress.Store(max(b.port.sinceStart.Load(), b.progress.Load()))
		if f := b.port.messageFactor; f > 0 && !b.reserve(int64(n)*f) {
			b.refusal.Store(int32(refusedMemory) + 1)
			b.port.count(refusedMemory)
			return 0, ErrNoMemory
		}
	}
	switch {
	case err == io.EOF:
		b.mu.Lock() // interrupt must not set a deadline from here on
		b.complete.Store(true)
		b.mu.Unlock()
		b.untrack()
		b.keepMessage()
		if b.conn != nil {
			b.conn.phase.CompareAndSwap(phaseBody, phaseServing)
		}
		// The body was refused as its last bytes arrived. Its reads have been interrupted,
		// which net/http takes for the end of the connection: nothing may run for it.
		if refusal := b.refusalError(); refusal != nil {
			return n, refusal
		}
	case err != nil:
		if refusal := b.refusalError(); refusal != nil {
			return n, refusal
		}
	}
	return n, err
}

func (b *trackedBody) refusalError() error {
	switch reason(b.refusal.Load() - 1) {
	case refusedMemory:
		return ErrNoMemory
	case refusedSlow:
		return ErrTooSlow
	}
	return nil
}

// messageStep is the size in bytes of the reservations for messages.
const messageStep = 16 << 10

func (b *trackedBody) reserve(n int64) bool {
	b.needed += n
	if b.needed <= b.reserved {
		return true
	}
	step := max(messageStep, b.needed-b.reserved)
	if !b.port.budget.take(step, b.reserved+step) {
		return false
	}
	b.reserved += step
	return true
}

// Fits reports whether there is memory now for the rest of body, a message that has said
// that it has size bytes. It reserves nothing, as the client may never send them. It is
// true for a body that is none of a port.
func Fits(body io.Reader, size int64) bool {
	b, ok := body.(*trackedBody)
	if !ok || b.port.messageFactor == 0 || b.port.budget.free(size) >= size*b.port.messageFactor {
		return true
	}
	b.refusal.Store(int32(refusedMemory) + 1)
	b.port.count(refusedMemory)
	b.port.budget.exhausted.Store(true)
	return false
}

// keepMessage releases what is reserved beyond the bytes of a message that has arrived.
func (b *trackedBody) keepMessage() {
	if f := b.port.messageFactor; f > 0 && b.reserved > 0 {
		size := min((b.needed-b.port.requestBytes)/f, b.reserved)
		b.port.budget.put(b.reserved - size)
		b.needed, b.reserved = size, size
	}
}

// SetDeadline sets the time until which body, the body of a request, must have
// arrived. It reports whether body is one of a port.
func SetDeadline(body io.Reader, t time.Time) bool {
	b, ok := body.(*trackedBody)
	if ok {
		b.deadline.Store(int64(t.Sub(b.port.start)))
	}
	return ok
}

// expired is a deadline that ends reads at once.
var expired = time.Unix(1, 0)

// interrupt ends the reads of the body.
func (b *trackedBody) interrupt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended || b.complete.Load() {
		return
	}
	if b.conn != nil {
		_ = b.conn.TCPConn.SetReadDeadline(expired)
		return
	}
	_ = http.NewResponseController(b.w).SetReadDeadline(expired)
}

// drain sends the response to a request whose body the handler has refused, and reads
// a part of the rest. If the body does not end with it, net/http closes the connection.
func (b *trackedBody) drain(w http.ResponseWriter, r *http.Request) {
	tcp := b.conn.TCPConn
	if b.refusal.Load() == 0 && r.Header.Get("Expect") == "" {
		rc := http.NewResponseController(w)
		// Without it, net/http reads up to 256 KiB of the body before it sends anything.
		_ = rc.EnableFullDuplex() // HTTP/1.1 servers support it
		_ = rc.Flush()            // fails only if the connection failed, as the reads do then
		steps := drainBytes / drainStep
		if r.ContentLength > drainBytes {
			steps = 1 // such a client knows that it is over every limit
		}
		for range steps {
			_ = tcp.SetReadDeadline(time.Now().Add(stallTime))
			if _, err := io.CopyN(io.Discard, b, drainStep); err != nil {
				break
			}
		}
		// The deadline of the handler may have passed; the end of a response without a
		// length is written after this.
		_ = tcp.SetWriteDeadline(time.Now().Add(stallTime))
		if b.complete.Load() {
			_ = tcp.SetReadDeadline(time.Time{})
			return
		}
	}
	_ = tcp.SetReadDeadline(expired)
	// What is left of the body must not be taken for a request.
	b.conn.phase.Store(phaseClosed)
}

func (b *trackedBody) end() {
	if !b.complete.Load() {
		b.untrack()
		b.mu.Lock()
		b.ended = true
		b.mu.Unlock()
	}
	if b.reserved > 0 {
		b.port.budget.put(b.reserved)
	}
	if b.conn != nil {
		b.conn.body.Store(nil)
		b.conn.phase.CompareAndSwap(phaseBody, phaseServing)
	}
}
