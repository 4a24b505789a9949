package targetconn

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/httpframing"
)

// inlineBytes bounds the requests that are written before the response is read. They
// fit into the buffers of a connection, so that writing them does not block.
const inlineBytes = 8 << 10

// Trace has hooks that are called while a request is sent. Each is optional.
type Trace struct {
	// Sending is called immediately before the first byte is written; reused is set if
	// the connection was used before. Until then the target has received nothing.
	Sending func(reused bool)
	// Sent is called when the request was written whole.
	Sent func()
}

// ErrForeignResponse is returned for a response on a kept connection that does not
// carry the id of its request.
var ErrForeignResponse = errors.New("the response on a kept connection is not one to this request")

// ErrNotAcknowledged is returned if the other side of a kept connection has not
// acknowledged the request in ackTimeout, as it does not if it has lost its link. A new
// connection would not have been established either.
var ErrNotAcknowledged = errors.New("the request on a kept connection is not acknowledged")

// headBuffers holds buffers for the heads of requests.
var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxHeadBuffer bounds the buffers that are kept in headBuffers.
const maxHeadBuffer = 64 << 10

// RoundTrip sends a request to an address (IP:port) and returns the response once its
// head has arrived. The body must be closed. If ctx ends before the body was read, the
// connection is closed, and errors are the cause of ctx.
func (p *Pool) RoundTrip(ctx context.Context, address string, r *Request, trace Trace) (*http.Response, error) {
	if err := r.check(); err != nil {
		return nil, err
	}
	c := p.take(address, r.keeps() && len(r.Body) <= maxReuseBody)
	keeps := r.keeps() && !p.isBarred(address)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address); err != nil {
			p.release(address, nil, 0, 0)
			return nil, err
		}
	}
	x := &exchange{pool: p, conn: c, request: r, keeps: keeps, ctx: ctx, wrote: make(chan struct{})}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := context.Cause(ctx); err != nil {
		x.end(false)
		return nil, err
	}
	if trace.Sending != nil {
		trace.Sending(c.used)
	}
	c.ExpectHead()
	if c.used {
		t := time.AfterFunc(ackTimeout, x.checkAcknowledged)
		defer t.Stop()
	}
	x.send(trace)
	resp, err := x.readHead()
	if err != nil {
		x.end(false)
		if x.notAcknowledged.Load() {
			err = ErrNotAcknowledged
		}
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, err
	}
	if resp.Body == http.NoBody {
		x.end(x.reusable(resp))
		return resp, nil
	}
	x.keep, x.body = x.reusable(resp), resp.Body
	resp.Body = x
	return resp, nil
}

// exchange is a request with its response on a connection. It is the body of the
// response.
type exchange struct {
	pool    *Pool
	conn    *conn
	request *Request
	// keeps is set if the connection may be used again after the request.
	keeps bool
	ctx   context.Context
	// stop ends the closing of the connection with ctx.
	stop func() bool
	// wrote is closed when the writing of the request has ended; writeErr is set
	// before.
	wrote    chan struct{}
	writeErr error
	body     io.ReadCloser
	// keep is set if the connection can be used again after the body.
	keep bool
	idle time.Duration
	once sync.Once
	// notAcknowledged is set if checkAcknowledged has closed the connection.
	notAcknowledged atomic.Bool
}

// checkAcknowledged closes the connection if the request has not been acknowledged.
func (x *exchange) checkAcknowledged() {
	if x.pool.unacknowledged(x.conn.Conn) {
		x.notAcknowledged.Store(true)
		_ = x.conn.Close()
	}
}

// send writes the request, in the background if it is long.
func (x *exchange) send(trace Trace) {
	head := headBuffers.Get().(*bytes.Buffer)
	head.Reset()
	x.request.writeHead(head, x.keeps)
	small := head.Len()+len(x.request.Body) <= inlineBytes
	write := func() {
		defer close(x.wrote)
		buffers := net.Buffers{head.Bytes(), x.request.Body}
		if small {
			head.Write(x.request.Body)
			buffers = net.Buffers{head.Bytes()}
		}
		_, x.writeErr = buffers.WriteTo(x.conn.ClientConn)
		if head.Cap() <= maxHeadBuffer {
			headBuffers.Put(head)
		}
		if x.writeErr != nil {
			_ = x.conn.SetReadDeadline(time.Now().Add(lateResponseTime))
		} else if trace.Sent != nil {
			trace.Sent()
		}
	}
	if small {
		write()
		return
	}
	go write()
}

// readHead reads the head of the response.
func (x *exchange) readHead() (*http.Response, error) {
	c := x.conn
	c.headLeft = x.pool.cfg.MaxHead
	for {
		resp, err := http.ReadResponse(c.in, &http.Request{Method: x.request.Method})
		if err != nil {
			return nil, x.readError(err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue // informational
		}
		if err := httpframing.CheckHead(resp.StatusCode, resp.Header); err != nil {
			return nil, err
		}
		if c.used && !x.matches(resp) {
			x.pool.bar(c.address)
			return nil, ErrForeignResponse
		}
		c.headLeft = -1
		return resp, nil
	}
}

// readError returns the error of writing the request if that caused err.
func (x *exchange) readError(err error) error {
	select {
	case <-x.wrote:
		if x.writeErr != nil {
			return errors.Wrap(x.writeErr, "write the request")
		}
	default:
	}
	return err
}

// matches reports whether the response carries the id of the request.
func (x *exchange) matches(resp *http.Response) bool {
	return resp.Header.Get(x.request.IDHeader) == x.request.id()
}

// reusable reports whether the connection can be used again once the response was
// read whole.
func (x *exchange) reusable(resp *http.Response) bool {
	x.idle = idleTime(resp.Header)
	return x.keeps && resp.ProtoAtLeast(1, 1) && !resp.Close && !httpframing.EndsWithConnection(resp) && x.matches(resp) && x.idle > 0
}

// Read implements io.Reader.
func (x *exchange) Read(b []byte) (int, error) {
	n, err := x.body.Read(b)
	if err == io.EOF {
		x.end(x.keep)
		return n, err
	}
	if err != nil {
		if cause := context.Cause(x.ctx); cause != nil {
			err = cause
		}
		x.end(false)
	}
	return n, err
}

// Close implements io.Closer. It closes the connection unless the body was read whole.
func (x *exchange) Close() error {
	x.end(false)
	return nil
}

// end gives the connection back to the pool, if it can be used again, or closes it.
func (x *exchange) end(reusable bool) {
	x.once.Do(func() {
		stopped := x.stop()
		if reusable && stopped && x.written() && x.conn.in.Buffered() == 0 {
			x.pool.release(x.conn.address, x.conn, x.idle, x.request.MaxConns)
			return
		}
		if reusable && stopped && x.conn.in.Buffered() > 0 {
			x.pool.bar(x.conn.address)
		}
		_ = x.conn.Close()
		x.pool.release(x.conn.address, nil, 0, 0)
	})
}

// written reports whether the request was written whole.
func (x *exchange) written() bool {
	select {
	case <-x.wrote:
		return x.writeErr == nil
	default:
		return false
	}
}
