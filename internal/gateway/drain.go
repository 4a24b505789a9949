package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/intake"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

var errCutOff = errors.New("the instance stopped before the request ended")

const (
	// drainAcceptTime is how long new requests are served after BeginDrain, but at most
	// half of the grace period: longer than directory responses may be cached.
	drainAcceptTime = 2800 * time.Millisecond
	// drainMargin is the part of the grace period that is left for the process to
	// exit before it is killed.
	drainMargin = 300 * time.Millisecond
	// cutoffMarginFraction is the fraction of the grace period before the end of Drain at
	// which requests that still run are ended, so that their callers get an answer.
	cutoffMarginFraction = 1.0 / 12
)

// Ready reports whether callers should be sent here.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.Catalog.Current().Config != nil }

// Draining reports whether the instance is being stopped.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// Refusing reports whether new requests are refused because the instance stops.
func (g *Gateway) Refusing() bool { return g.refusing.Load() }

// RunningRequests returns the number of requests in progress, including those that
// other instances forwarded.
func (g *Gateway) RunningRequests() int { return int(g.runningRequests.Load()) }

// untilCutoff returns a context that also ends when Drain ends the requests that
// still run.
func (g *Gateway) untilCutoff(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(g.cutoff, func() { cancel(errCutOff) })
	return ctx, func() { stop(); cancel(nil) }
}

// refusal returns the error for requests that come when the instance stops too soon
// for them, nil otherwise.
func (g *Gateway) refusal() error {
	if !g.refusing.Load() {
		return nil
	}
	return result.New(result.ShuttingDown, result.NotRun, "the instance is stopping").WithRetryAfter(notReadyRetryAfter)
}

// BeginDrain makes the instance not ready; from then on responses close their
// connections.
func (g *Gateway) BeginDrain() { g.draining.Store(true) }

// drainTimes returns the times after the signal at which new requests are refused, at which
// the requests that still run are ended, and at which those that are left are given up.
func drainTimes(grace time.Duration) (refuse, cutoff, end time.Duration) {
	end = grace - drainMargin
	return min(drainAcceptTime, grace/2), end - time.Duration(cutoffMarginFraction*float64(grace)), end
}

// Drained is what Drain ends: the ports of callers, of the directory and of other instances.
// Their servers are not shut down.
type Drained struct{ Callers, Directory, Peers *intake.Port }

// Drain keeps serving requests that still arrive. Then it refuses requests, stops
// accepting connections and waits until every request that has arrived is answered. Those
// that still run near the end of grace end with an error; see drainTimes. Drain returns an
// error if some are left at the end. It does not wait for connections without a
// request. The directory answers until no request is left. start is when grace began.
func (g *Gateway) Drain(start time.Time, grace time.Duration, d Drained) error {
	refuse, cutoff, end := drainTimes(grace)
	cutoffTimer := time.AfterFunc(time.Until(start.Add(cutoff)), g.cutOff)
	defer cutoffTimer.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(end))
	defer cancel()
	time.Sleep(time.Until(start.Add(refuse)))
	g.refusing.Store(true)
	left := func() int {
		if n := d.Callers.Drain() + d.Peers.Unread() + g.RunningRequests(); n > 0 {
			return n
		}
		return d.Directory.Drain()
	}
	if intake.AwaitNone(ctx, left) != nil {
		return errors.Newf("%d requests were still running, %d connections of callers open", g.RunningRequests(), d.Callers.Connections())
	}
	return nil
}
