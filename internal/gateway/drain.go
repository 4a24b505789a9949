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
	// drainAcceptTime is how long new requests are served after BeginDrain: longer
	// than directory responses may be cached.
	drainAcceptTime = 2800 * time.Millisecond
	// drainMargin is the part of the grace period that is left for the process to
	// exit before it is killed.
	drainMargin = 300 * time.Millisecond
	// cutoffMargin is the time before the end of Drain at which requests that still
	// run are ended, so that their callers get an answer.
	cutoffMargin = 200 * time.Millisecond
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

// Drain keeps serving requests that still arrive for drainAcceptTime, at most half
// of grace. Then it refuses requests, stops accepting connections and waits until every
// request that has arrived is answered. Those that still run cutoffMargin before the end
// of Drain end with an error. Drain returns an error if some are left drainMargin before
// the end of grace. It does not wait for connections without a request. callers is the
// port of the callers' server, which is not shut down; peers is the server of forwarded
// requests, and peerPort its port.
func (g *Gateway) Drain(grace time.Duration, callers *intake.Port, peers *http.Server, peerPort *intake.Port) error {
	start := time.Now()
	time.Sleep(min(drainAcceptTime, grace/2))
	g.refusing.Store(true)
	cutoff := time.AfterFunc(time.Until(start.Add(grace-drainMargin-cutoffMargin)), g.cutOff)
	defer cutoff.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(grace-drainMargin))
	defer cancel()
	go func() { _ = peers.Shutdown(ctx) }() // stops listening and closes idle connections
	if intake.AwaitNone(ctx, func() int { return callers.Drain() + peerPort.Unread() + g.RunningRequests() }) != nil {
		return errors.Newf("%d requests were still running, %d connections of callers open", g.RunningRequests(), callers.Connections())
	}
	return nil
}
