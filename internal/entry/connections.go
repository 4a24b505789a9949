package entry

import (
	"io"
	"log"
	"net"
	"net/http"
	"sync"
)

// connLimiter limits the number of open caller connections. A new connection
// over the limit closes the one that has been idle longest, or is itself closed
// if none is idle.
type connLimiter struct {
	limit int
	mu    struct {
		sync.Mutex
		open    map[net.Conn]uint64 // value of idleSeq when it became idle; 0 if not idle
		idleSeq uint64
	}
}

func newConnLimiter(limit int) *connLimiter {
	c := &connLimiter{limit: limit}
	c.mu.open = map[net.Conn]uint64{}
	return c
}

// onStateChange is the ConnState hook of http.Server.
func (c *connLimiter) onStateChange(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.mu.open[conn] = 0
		if c.limit > 0 && len(c.mu.open) > c.limit {
			victim := c.longestIdle(conn)
			delete(c.mu.open, victim)
			_ = victim.Close()
		}
	case http.StateIdle:
		c.mu.idleSeq++
		c.setIdleSeq(conn, c.mu.idleSeq)
	case http.StateActive:
		c.setIdleSeq(conn, 0)
	case http.StateClosed, http.StateHijacked:
		delete(c.mu.open, conn)
	}
}

func (c *connLimiter) setIdleSeq(conn net.Conn, idleSeq uint64) {
	if _, ok := c.mu.open[conn]; ok {
		c.mu.open[conn] = idleSeq
	}
}

func (c *connLimiter) longestIdle(fallback net.Conn) net.Conn {
	victim, lowest := fallback, uint64(0)
	for conn, since := range c.mu.open {
		if since > 0 && (lowest == 0 || since < lowest) {
			victim, lowest = conn, since
		}
	}
	return victim
}

func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }
