package gateway

import (
	"context"
	"net/http"
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
	// cutoffMargin is the time before the end of Drain at which requests that still
	// run are ended, so that their callers get an answer.
	cutoffMargin = 200 * time.Millisecond
	// drainPollInterval is the interval at which the number of requests in progress
	// is checked, and drainIdlePolls the number of checks in a row that must find
	// none: a forwarded request that was just read is not counted yet.
	drainPollInterval = 20 * time.Millisecond
	drainIdlePolls    = 5
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
// have been noticed that late, and the ends of requests take as long.
func drainTimes(grace, lag time.Duration) (refuse, cutoff, end time.Duration) {
	refuse = max(min(drainAcceptTime, grace/2)-lag, 0)
	end = grace - drainMargin - lag
	return refuse, max(end-cutoffMargin-lag, refuse), end
}

// sleepForPoll sleeps for drainPollInterval and returns by how much longer it took.
func sleepForPoll() time.Duration {
	begun := time.Now()
	time.Sleep(drainPollInterval)
	return time.Since(begun) - drainPollInterval
}

// Drained is what Drain ends.
type Drained struct {
	// Callers and Directory are the ports of servers that are not shut down.
	Callers, Directory *intake.Port
	// Peers is the server of forwarded requests, and PeerPort its port.
	Peers    *http.Server
	PeerPort *intake.Port
}

// Drain keeps serving requests that still arrive. Then it refuses requests, stops
// accepting connections and waits until every request that has arrived is answered. Those
// that still run near the end of grace end with an error; see drainTimes. Drain returns an
// error if some are left at the end. It does not wait for connections without a
// request. The directory answers until no request is left.
func (g *Gateway) Drain(grace time.Duration, d Drained) error {
	start := time.Now()
	var lag time.Duration
	for {
		if refuse, _, _ := drainTimes(grace, lag); time.Since(start) >= refuse {
			break
		}
		lag = max(lag, sleepForPoll())
	}
	g.refusing.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(grace-drainMargin))
	defer cancel()
	go func() { _ = d.Peers.Shutdown(ctx) }() // stops listening and closes idle connections
	for idlePolls := 0; idlePolls < drainIdlePolls; {
		lag = max(lag, sleepForPoll())
		_, cutoff, end := drainTimes(grace, lag)
		if time.Since(start) > cutoff {
			g.cutOff()
		}
		if time.Since(start) > end {
			return errors.Newf("%d requests were still running, %d connections of callers open", g.RunningRequests(), d.Callers.Connections())
		}
		left := d.Callers.Drain() + d.PeerPort.Unread() + g.RunningRequests()
		if left == 0 {
			left = d.Directory.Drain()
		}
		if idlePolls++; left > 0 {
			idlePolls = 0
		}
	}
	return nil
}
