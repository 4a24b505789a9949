package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/result"
)

// ConfigConfirmer confirms the configuration with a peer or the configuration
// service.
type ConfigConfirmer interface {
	// Confirm blocks until the configuration in force is confirmed or ctx ends.
	Confirm(ctx context.Context) error
	// CheckAge returns ConfigTooOld if the configuration has not been
	// confirmed for too long.
	CheckAge() error
}

// confirmRetryDelay is the delay after a failed confirmation.
const confirmRetryDelay = 200 * time.Millisecond

// Gate decides whether the instance serves requests: not before the configuration
// is confirmed, not after a process pause until it is confirmed again, and no new
// requests while draining.
type Gate struct {
	confirmer ConfigConfirmer
	wake      chan struct{}
	mu        struct {
		sync.Mutex
		confirmed bool
		pauses    uint64
		draining  bool
		running   int
		idle      chan struct{} // closed when draining and running is 0
		opened    chan struct{} // closed when confirmed
	}
}

// NewGate returns a closed gate; Run opens it.
func NewGate(c ConfigConfirmer) *Gate {
	g := &Gate{confirmer: c, wake: make(chan struct{}, 1)}
	g.mu.idle, g.mu.opened = make(chan struct{}), make(chan struct{})
	return g
}

// OnProcessPause closes the gate until the configuration is confirmed again. The
// watchdog calls it after the process was suspended.
func (g *Gate) OnProcessPause() {
	g.mu.Lock()
	if g.mu.confirmed {
		g.mu.confirmed, g.mu.opened = false, make(chan struct{})
	}
	g.mu.pauses++
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run confirms the configuration at startup and after each process pause until
// ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !g.confirm(ctx) {
			sleep(ctx, confirmRetryDelay)
			continue
		}
		select {
		case <-ctx.Done():
		case <-g.wake:
		}
	}
	return nil
}

// confirm reports whether the gate is open. A confirmation during which the
// process paused does not count.
func (g *Gate) confirm(ctx context.Context) bool {
	g.mu.Lock()
	pausesBefore, open := g.mu.pauses, g.mu.confirmed
	g.mu.Unlock()
	if open {
		return true
	}
	if g.confirmer.Confirm(ctx) != nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.mu.pauses == pausesBefore {
		g.mu.confirmed = true
		close(g.mu.opened)
	}
	return g.mu.confirmed
}

// open reports whether the configuration is confirmed.
func (g *Gate) open() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mu.confirmed
}

// wait blocks until the configuration is confirmed or ctx ends.
func (g *Gate) wait(ctx context.Context) error {
	g.mu.Lock()
	opened := g.mu.opened
	g.mu.Unlock()
	select {
	case <-opened:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Check returns nil if requests may be served now.
func (g *Gate) Check() error {
	if !g.open() {
		return result.New(result.NotReady, result.NotRun, "the instance has not confirmed its edition").WithRetryAfter(time.Second)
	}
	return g.confirmer.CheckAge()
}

// Enter counts a new request; leave must be called when the request has ended.
func (g *Gate) Enter() (leave func(), err error) {
	if err := g.Check(); err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.mu.draining {
		return nil, result.New(result.ShuttingDown, result.NotRun, "the instance is shutting down")
	}
	g.mu.running++
	return g.leave, nil
}

func (g *Gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mu.running--
	g.closeIfIdle()
}

func (g *Gate) closeIfIdle() {
	if !g.mu.draining || g.mu.running > 0 {
		return
	}
	select {
	case <-g.mu.idle:
	default:
		close(g.mu.idle)
	}
}

// Drain refuses new requests and waits until the running ones have ended.
func (g *Gate) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.mu.draining = true
	g.closeIfIdle()
	idle := g.mu.idle
	g.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Draining reports whether new requests are refused because the instance stops.
func (g *Gate) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mu.draining
}

// Running returns the number of requests in progress.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mu.running
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
