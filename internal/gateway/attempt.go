package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/platform"
)

// maxBuffered is the size in bytes up to which a whole answer is held before the
// first byte is passed on, so that a broken one can be repeated.
const maxBuffered = 256 << 10

var errSilent = errors.New("no answer in a multiple of the usual time")

// attempt makes one attempt where choice says and passes the answer on.
func (g *Gateway) attempt(ctx context.Context, v *catalog.View, c *call, choice placement.Choice, d *delivery) *failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if choice.Region != "" {
		d.away, d.expected = choice.Region, choice.Delay
		a, f := g.forward(ctx, c, choice.Region, d.lastEvent)
		if f != nil {
			return f
		}
		defer a.body.Close()
		return g.deliver(c, a, d, func() {})
	}
	d.expected = choice.Delay
	e := v.Targets[choice.Target]
	team := v.Config.Teams[c.team]
	q := c.query(g.Settings.Region, team, time.Now())
	attemptID, leave, _ := g.CrashSuspects.Begin(e.ID, c.fingerprint(), true)
	fetchFrom := ""
	if holder := v.Targets[choice.FetchFrom]; holder != nil {
		fetchFrom = holder.Address
	}
	run := g.Tracker.Begin(e, v.Config.Services[c.service], q, choice, time.Now())
	first := func() { run.FirstByte(time.Now()) }
	if limit := g.silence(c); limit > 0 {
		timer := time.AfterFunc(limit, func() { cancel(errSilent) })
		first = func() { timer.Stop(); run.FirstByte(time.Now()) }
	}
	f := g.exchange(ctx, c, e, v, d, fetchFrom, first)
	leave()
	outcome := placement.Success
	if f != nil {
		if outcome = f.outcome; context.Cause(ctx) == errSilent {
			outcome = placement.Unresponsive
		}
	}
	if run.End(outcome, time.Now()) {
		g.Log.Emit(event.TargetAvoided, zap.String("target", e.ID), zap.String("request", c.ID), zap.String("reason", f.err.Message))
		if outcome == placement.ConnectionLost || outcome == placement.Unreachable || outcome == placement.AddressReused {
			g.OnTargetDown(e.ID)
		}
	}
	if outcome == placement.ConnectionLost {
		go g.confirmCrash(e.ID, e.Address, attemptID, c.fingerprint(), c.ID)
	}
	return f
}

// silence is the time without an answer after which a call goes to another
// target; 0 if it must wait.
func (g *Gateway) silence(c *call) time.Duration {
	if !c.route.Retryable() || c.sent+1 >= c.route.MaxTargets {
		return 0
	}
	return max(silentFactor*c.route.FirstByteObjective, time.Duration(silentPart*float64(time.Until(c.deadline))))
}

// exchange sends a call to a target and passes its answer on.
func (g *Gateway) exchange(ctx context.Context, c *call, e *catalog.Entry, v *catalog.View, d *delivery, fetchFrom string, first func()) *failure {
	a, f := g.send(ctx, c, e, v.Config.Teams[c.team], d.lastEvent, fetchFrom)
	if f != nil {
		return f
	}
	defer a.body.Close()
	a.header = platform.ForwardedResponseHeaders(a.header)
	return g.deliver(c, a, d, first)
}

// deliver passes an answer on. first is called with its first byte.
func (g *Gateway) deliver(c *call, a *answer, d *delivery, first func()) *failure {
	if a.status >= 200 && a.status < 300 && streams(a.header) {
		return deliverEvents(a, d, first)
	}
	body, err := io.ReadAll(io.LimitReader(a.body, maxBuffered+1))
	if err != nil {
		return broken(err)
	}
	first()
	if d.begun {
		// A stream is resumed and the target answers something else.
		return mayHaveRun(placement.Failed, result.StreamInterrupted, "the target did not resume the stream: status %d", a.status)
	}
	if a.status >= http.StatusInternalServerError {
		d.fallback = &buffered{a.status, a.header, body, a.target}
		return mayHaveRun(placement.Failed, result.TargetFailed, "the target answered %d", a.status)
	}
	return deliverWhole(a, d, body)
}

func streams(h http.Header) bool {
	const prefix = "text/event-stream"
	t := h.Get("Content-Type")
	return len(t) >= len(prefix) && t[:len(prefix)] == prefix
}

// deliverWhole passes on an answer whose first part was read.
func deliverWhole(a *answer, d *delivery, body []byte) *failure {
	length := int64(len(body))
	if length > maxBuffered {
		length = -1
	}
	d.begin(a)
	if err := d.sink.Head(a.status, a.header, length, a.target); err != nil {
		return gone(err)
	}
	for {
		if len(body) > 0 {
			if err := d.sink.Data(body); err != nil {
				return gone(err)
			}
		}
		if length >= 0 {
			return nil
		}
		buf := make([]byte, maxBuffered/4)
		n, err := a.body.Read(buf)
		body = buf[:n]
		switch {
		case err == io.EOF:
			length = 0
		case err != nil:
			return broken(err)
		}
	}
}

func (d *delivery) begin(a *answer) {
	d.begun, d.target, d.first = true, a.target, time.Now()
}

// passed notes that an event is passed on.
func (d *delivery) passed(now time.Time) {
	if !d.lastAt.IsZero() {
		d.longestGap = max(d.longestGap, now.Sub(d.lastAt))
	}
	d.lastAt = now
}

// deliverEvents passes on a stream of events, each as a whole.
func deliverEvents(a *answer, d *delivery, first func()) *failure {
	events := newEventReader(a.body)
	if d.begun {
		events.skipTo(d.lastEvent)
	}
	for {
		event, id, err := events.next()
		if err != nil && err != io.EOF {
			return broken(err)
		}
		first()
		if !d.begun {
			d.begin(a)
			if err := d.sink.Head(a.status, a.header, -1, a.target); err != nil {
				return gone(err)
			}
		}
		if len(event) > 0 {
			d.passed(time.Now())
			if err := d.sink.Data(event); err != nil {
				return gone(err)
			}
		}
		if id != "" {
			d.lastEvent = id
		}
		if err == io.EOF {
			return nil
		}
	}
}

func broken(err error) *failure {
	var told *failure
	if errors.As(err, &told) {
		// The head of the answer has arrived, so the request has run.
		e := *told.err
		e.Ran = result.MayHaveRun
		return &failure{err: &e, outcome: told.outcome}
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return mayHaveRun(placement.Inconclusive, result.TargetTimeout, "the answer was not complete in time")
	}
	return mayHaveRun(placement.ConnectionLost, result.StreamInterrupted, "the answer broke off: %v", err)
}

func gone(err error) *failure {
	return mayHaveRun(placement.Inconclusive, result.CallerTooSlow, "the caller did not take the answer: %v", err)
}
