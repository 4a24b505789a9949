package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/crash"
	"github.com/wigeonhill/wigeonhill/internal/dispatch"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/sse"
	"github.com/wigeonhill/wigeonhill/platform"
)

const (
	// maxBufferedResponse is the size in bytes up to which a response is read
	// completely before its first byte is passed on, so that the request can be
	// retried if the response is interrupted.
	maxBufferedResponse = 256 << 10
	// initialResponseBuffer is the size in bytes of the buffer of a response. It
	// grows only if memory for responses is left.
	initialResponseBuffer = 4 << 10
)

var (
	errUnresponsive = errors.New("no answer in a multiple of the usual time")
	// errNoEvents is for streams that end with their connection: whether the target
	// had nothing to say or crashed before its first event is not known.
	errNoEvents = errors.New("the stream ended without an event")
)

// attempt sends a call to the target or region of choice and passes the response
// on. It returns nil if the response was passed on completely.
func (g *Gateway) attempt(ctx context.Context, v *catalog.View, c *call, choice placement.Choice, d *delivery) *failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if e := c.callerLeft(ctx); e != nil {
		return &failure{err: e, outcome: placement.Inconclusive, uncounted: true}
	}
	if choice.Region != "" {
		d.remoteRegion, d.expectedDelay, d.onResponding = choice.Region, choice.Delay, nil
		resp, f := g.forward(ctx, v, c, choice.Region, d.lastEventID)
		if f != nil {
			return f
		}
		defer resp.body.Close()
		return g.deliver(c, resp, d, func() {})
	}
	d.expectedDelay = choice.Delay
	entry := v.Targets[choice.Target]
	q := g.placementQuery(v, c, time.Now())
	fetchFrom := ""
	if cacheHolder := v.Targets[choice.FetchFrom]; cacheHolder != nil {
		fetchFrom = cacheHolder.Address
	}
	tracked := g.Tracker.Begin(v, entry, v.Config.Services[c.service], q, choice, time.Now())
	if tracked == nil {
		return notRunFailure(placement.Inconclusive, true, "the target is warming up or paced and has got its requests")
	}
	running, _ := g.Crashes.Begin(entry.ID, c.service, c.suspects(), true)
	d.onResponding = running.Responding
	onFirstByte := func() { tracked.FirstByte(time.Now()) }
	if timeout := g.unresponsiveTimeout(c); timeout > 0 {
		timer := time.AfterFunc(timeout, func() { cancel(errUnresponsive) })
		onFirstByte = func() { timer.Stop(); tracked.FirstByte(time.Now()) }
	}
	f := g.exchange(ctx, c, entry, v, d, fetchFrom, tracked, onFirstByte)
	running.End()
	outcome := placement.Success
	if f == nil && d.succeeded {
		running.Completed()
	}
	if f != nil {
		if outcome = f.outcome; context.Cause(ctx) == errUnresponsive {
			outcome = placement.Unresponsive
		}
	}
	if tracked.End(outcome, time.Now()) {
		g.Log.Emit(event.TargetAvoided, zap.String("target", entry.ID), zap.String("request", c.ID), zap.String("reason", f.err.Message))
		switch outcome {
		case placement.ConnectionLost, placement.Unreachable, placement.Refused, placement.AddressReused:
			g.OnTargetDown(entry.ID)
		}
	}
	if outcome == placement.ConnectionLost {
		f.crashConfirmed = g.startConfirmCrash(entry.ID, entry.Address, running, c.ID, partIDs(c.PromptParts))
	}
	return f
}

// unresponsiveTimeout returns the time without a response after which a call is
// sent to another target, or 0 if it may not be.
func (g *Gateway) unresponsiveTimeout(c *call) time.Duration {
	if !c.route.Retryable() || c.possibleRuns+1 >= c.route.MaxTargets {
		return 0
	}
	return max(unresponsiveFactor*c.route.FirstByteObjective, time.Duration(unresponsiveFraction*float64(time.Until(c.deadline))))
}

// exchange sends a call to a target and passes the response on.
func (g *Gateway) exchange(ctx context.Context, c *call, entry *catalog.Entry, v *catalog.View, d *delivery, fetchFrom string, tracked *placement.Attempt, onFirstByte func()) *failure {
	resp, f := g.send(ctx, c, entry, v, d.lastEventID, fetchFrom, tracked)
	if f != nil {
		return f
	}
	defer resp.body.Close()
	resp.header = platform.ForwardedResponseHeaders(resp.header)
	return g.deliver(c, resp, d, onFirstByte)
}

// deliver passes a response on and records how it ended. onFirstByte is called when
// a first part of it has arrived, for event streams after each event.
func (g *Gateway) deliver(c *call, resp *targetResponse, d *delivery, onFirstByte func()) *failure {
	d.framing, d.succeeded = resp.framing, resp.status >= 200 && resp.status < 300
	body := &countingReader{r: resp.body}
	resp.body = body
	f := g.passOn(c, resp, d, onFirstByte)
	g.Metrics.recordResponse(resp.framing, f)
	if resp.framing == closeFraming {
		reason := "complete"
		if f != nil {
			reason = f.err.Message
		}
		g.Log.Emit(event.ResponseEndedByClose, zap.String("request", c.ID), zap.String("target", resp.target), zap.Int("status", resp.status),
			zap.Int64("bytes", body.n), zap.String("last_event", d.lastEventID), zap.String("reason", reason))
	}
	return f
}

// passOn passes a response on as the kind of response that it is. What is held of it
// beyond a small buffer is reserved.
func (g *Gateway) passOn(c *call, resp *targetResponse, d *delivery, onFirstByte func()) *failure {
	memory, logged := g.responseMemory.NewReservation(c.team), false
	reserve := func(n int) bool {
		ok := memory.Grow(n)
		if !ok && !logged {
			logged = true
			g.Log.Emit(event.ResponseNotBuffered, zap.String("request", c.ID), zap.String("target", resp.target), zap.Int64("reserved", g.BufferedResponseBytes()))
		}
		return ok
	}
	if resp.status >= 200 && resp.status < 300 && sse.IsStream(resp.header) {
		defer memory.Close()
		return deliverEvents(resp, d, reserve, onFirstByte)
	}
	body, whole, err := dispatch.ReadBuffered(resp.body, initialResponseBuffer, maxBufferedResponse, reserve)
	held := &bufferedResponse{resp.status, resp.header, body, resp.target, memory}
	defer func() {
		if d.fallback != held {
			held.release()
		}
	}()
	if err != nil {
		return readFailure(err)
	}
	onFirstByte()
	if d.started {
		// The call resumes a stream, but the target did not respond with one.
		return mayHaveRunFailure(placement.Failed, result.StreamInterrupted, "the target did not resume the stream: status %d", resp.status)
	}
	if resp.status >= http.StatusInternalServerError && whole {
		d.setFallback(held)
		return mayHaveRunFailure(placement.Failed, result.TargetFailed, "the target answered %d", resp.status)
	}
	return deliverBody(resp, d, body, whole)
}

// deliverBody passes on a response that is no event stream. body is the part that
// was read already, which is all of it if whole is set.
func deliverBody(resp *targetResponse, d *delivery, body *dispatch.ResponseBuffer, whole bool) *failure {
	length := int64(-1)
	if whole {
		length = int64(body.Len())
	}
	d.start(resp)
	if err := d.sink.Head(resp.status, resp.header, length, resp.target); err != nil {
		return callerWriteFailure(err)
	}
	if err := body.Each(d.sink.Data); err != nil {
		return callerWriteFailure(err)
	}
	if whole {
		return nil
	}
	buf := body.Space()
	for {
		n, err := resp.body.Read(buf)
		if n > 0 {
			if err := d.sink.Data(buf[:n]); err != nil {
				return callerWriteFailure(err)
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return readFailure(err)
		}
	}
}

func (d *delivery) start(resp *targetResponse) {
	d.started, d.target, d.firstByteAt = true, resp.target, time.Now()
}

// recordEvent records the time at which an event is passed on.
func (d *delivery) recordEvent(now time.Time) {
	if !d.lastEventAt.IsZero() {
		d.longestGap = max(d.longestGap, now.Sub(d.lastEventAt))
	}
	d.lastEventAt = now
}

// deliverEvents passes on a stream of server-sent events, whole events at a time as
// far as they are not too long, so that it can be resumed after the last one.
// reserve is asked for the memory of long events.
func deliverEvents(resp *targetResponse, d *delivery, reserve func(n int) bool, onFirstByte func()) *failure {
	events, whole := newEventReader(resp.body), 0
	events.Reserve = reserve
	if d.started {
		events.skipThrough(d.lastEventID)
	}
	for {
		piece, err := events.next()
		if err == io.EOF && resp.framing == closeFraming && !events.sawEvent {
			err = errNoEvents
		}
		if err != nil && err != io.EOF {
			return readFailure(err)
		}
		onFirstByte()
		if !d.started {
			d.start(resp)
			d.resumable = true
			if err := d.sink.Head(resp.status, resp.header, -1, resp.target); err != nil {
				return callerWriteFailure(err)
			}
		}
		if len(piece.Raw) > 0 {
			d.recordEvent(time.Now())
			if err := d.sink.Data(piece.Raw); err != nil {
				return callerWriteFailure(err)
			}
		}
		if !piece.More && !piece.Comment && len(piece.Raw) > 0 {
			if whole++; whole == crash.RespondingEvents && d.onResponding != nil {
				d.onResponding()
			}
		}
		switch {
		case piece.More || piece.ID == "" && !piece.Comment:
			d.resumable = false
		case piece.ID != "":
			d.lastEventID, d.resumable = piece.ID, true
		}
		if err == io.EOF {
			return nil
		}
	}
}

// readFailure returns the failure for an error that interrupted a response.
func readFailure(err error) *failure {
	var reported *failure
	if errors.As(err, &reported) {
		// The head of the response had arrived, so the request has run.
		e := *reported.err
		e.Ran = result.MayHaveRun
		return &failure{err: &e, outcome: reported.outcome}
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return mayHaveRunFailure(placement.Inconclusive, result.TargetTimeout, "the answer was not complete in time")
	}
	return mayHaveRunFailure(placement.ConnectionLost, result.StreamInterrupted, "the answer broke off: %v", err)
}

// callerWriteFailure returns the failure for an error of the sink.
func callerWriteFailure(err error) *failure {
	return mayHaveRunFailure(placement.Inconclusive, result.CallerTooSlow, "the caller did not take the answer: %v", err)
}
