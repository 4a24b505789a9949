package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// acceptWhileDraining is how long new requests are served after the stop was
	// announced: longer than directory answers live.
	acceptWhileDraining = 2800 * time.Millisecond
	// drainReserve is the time left before the process is killed in which it must
	// have ended.
	drainReserve = 300 * time.Millisecond
	// drainPoll is the pause between two looks at the requests in progress, and
	// drainQuiet the looks in a row that must find none: a request that was just
	// read is not counted yet.
	drainPoll  = 20 * time.Millisecond
	drainQuiet = 5
)

// Ready reports whether callers should be sent here.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.Catalog.Current().Config != nil }

// Draining reports whether the instance is being stopped.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// RunningRequests is the number of requests in progress, those of other instances
// included.
func (g *Gateway) RunningRequests() int { return int(g.running.Load()) }

// BeginDrain makes the instance not ready; answers then close their connections.
func (g *Gateway) BeginDrain() { g.draining.Store(true) }

// Drain serves requests that still arrive, then closes the servers once no
// request is in progress, or at the end of grace. It returns an error if some
// had to be cut. Connections without a request are not waited for.
func (g *Gateway) Drain(grace time.Duration, servers ...*http.Server) error {
	start := time.Now()
	time.Sleep(min(acceptWhileDraining, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(grace-drainReserve))
	defer cancel()
	for _, s := range servers {
		go func() { _ = s.Shutdown(ctx) }() // stops listening and closes idle connections
	}
	for quiet := 0; quiet < drainQuiet; {
		if ctx.Err() != nil {
			return errors.Newf("%d requests were still running", g.RunningRequests())
		}
		time.Sleep(drainPoll)
		if quiet++; g.RunningRequests() > 0 {
			quiet = 0
		}
	}
	return nil
}
