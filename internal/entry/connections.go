package entry

import (
	"io"
	"log"
	"net"
	"net/http"
	"sync"
)

// connections bounds the connections of callers. Over the bound the one that
// has been idle longest is closed, or the new one if none is idle.
type connections struct {
	limit int
	mu    struct {
		sync.Mutex
		open map[net.Conn]uint64 // idle since this count; 0 if not idle
		tick uint64
	}
}

func newConnections(limit int) *connections {
	c := &connections{limit: limit}
	c.mu.open = map[net.Conn]uint64{}
	return c
}

// changed implements the ConnState hook of http.Server.
func (c *connections) changed(conn net.Conn, state http.ConnState) {
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
		c.mu.tick++
		c.set(conn, c.mu.tick)
	case http.StateActive:
		c.set(conn, 0)
	case http.StateClosed, http.StateHijacked:
		delete(c.mu.open, conn)
	}
}

func (c *connections) set(conn net.Conn, idle uint64) {
	if _, ok := c.mu.open[conn]; ok {
		c.mu.open[conn] = idle
	}
}

func (c *connections) longestIdle(fallback net.Conn) net.Conn {
	victim, least := fallback, uint64(0)
	for conn, since := range c.mu.open {
		if since > 0 && (least == 0 || since < least) {
			victim, least = conn, since
		}
	}
	return victim
}

func nopLog() *log.Logger { return log.New(io.Discard, "", 0) }
