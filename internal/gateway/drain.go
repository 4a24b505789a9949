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
	// which requests that still run are ended, so that their callers get an answer, and
	// minCutoffMargin the least such time.
	cutoffMarginFraction = 1.0 / 12
	minCutoffMargin      = 200 * time.Millisecond
	// uncutFraction is the fraction of the grace period for which running requests are not
	// ended, unless the drain ends within minCutoffMargin of it.
	uncutFraction = 5.0 / 6
	// lagInterval is the interval at which the lag of the process is measured while it
	// still accepts requests.
	lagInterval = 20 * time.Millisecond
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

// drainTimes returns the times after the start of a drain at which new requests are
// refused, at which the requests that still run are ended, and at which those that are left
// are given up. lag is by how much the process has woken up late at worst: the signal may
// have been noticed that late, and the ends of requests take as long if there is room.
func drainTimes(grace, lag time.Duration) (refuse, cutoff, end time.Duration) {
	refuse = max(min(drainAcceptTime, grace/2)-lag, 0)
	end = grace - drainMargin - lag
	cutoff = end - time.Duration(cutoffMarginFraction*float64(grace)) - lag
	uncut := min(time.Duration(uncutFraction*float64(grace)), end-minCutoffMargin)
	return refuse, max(cutoff, uncut, refuse), end
}

// overslept sleeps for lagInterval and returns by how much longer it took.
func overslept() time.Duration {
	begun := time.Now()
	time.Sleep(lagInterval)
	return time.Since(begun) - lagInterval
}

// Drained is what Drain ends: the ports of callers, of the directory and of other instances.
// Their servers are not shut down.
type Drained struct{ Callers, Directory, Peers *intake.Port }

// Drain keeps serving requests that still arrive. Then it refuses requests, stops
// accepting connections and waits until every request that has arrived is answered. Those
// that still run near the end of grace end with an error; see drainTimes. Drain returns an
// error if some are left at the end. It does not wait for connections without a
// request. The directory answers until no request is left.
func (g *Gateway) Drain(grace time.Duration, d Drained) error {
	start := time.Now()
	var lag time.Duration
	refuse, cutoff, end := drainTimes(grace, lag)
	for time.Since(start) < refuse {
		lag = max(lag, overslept())
		refuse, cutoff, end = drainTimes(grace, lag)
	}
	g.refusing.Store(true)
	cutoffTimer := time.AfterFunc(time.Until(start.Add(cutoff)), g.cutOff)
	defer cutoffTimer.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(end))
	defer cancel()
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
