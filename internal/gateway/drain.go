package gateway

import (
	"context"
	"net/http"
	"time"
)

const (
	// acceptWhileDraining is how long new requests are served after the stop was
	// announced: longer than directory answers live.
	acceptWhileDraining = 2800 * time.Millisecond
	// drainReserve is the time left before the process is killed in which it must
	// have ended.
	drainReserve = 300 * time.Millisecond
)

// Ready reports whether callers should be sent here.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.Catalog.Current().Config != nil }

// Draining reports whether the instance is being stopped.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// Running is the number of callers' requests in progress.
func (g *Gateway) Running() int { return int(g.running.Load()) }

// BeginDrain makes the instance not ready; answers then close their connections.
func (g *Gateway) BeginDrain() { g.draining.Store(true) }

// Drain serves requests that still arrive, then closes the servers and waits
// until the requests in progress have ended, within grace. It returns an error
// if some had to be cut.
func (g *Gateway) Drain(grace time.Duration, servers ...*http.Server) error {
	start := time.Now()
	time.Sleep(min(acceptWhileDraining, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(grace-drainReserve))
	defer cancel()
	var err error
	for _, s := range servers {
		if e := s.Shutdown(ctx); e != nil && err == nil {
			err = e
		}
	}
	return err
}
