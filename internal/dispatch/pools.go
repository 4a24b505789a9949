package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

const (
	// poolStatusTTL is how long the status of a remote region is used.
	poolStatusTTL = time.Second
	// poolQueryTimeout ends a query; after it the region counts as unreachable.
	poolQueryTimeout = time.Second
	poolQueryWorkers = 8
	maxPools         = 4096
)

// PoolStatus is the load that a region reported for a model or service.
type PoolStatus struct {
	Capacity, Running, Queued int
	QueueWait                 time.Duration
	// Reachable is false if the last query got no response.
	Reachable bool
}

type poolKey struct{ region, model, service string }

type poolEntry struct {
	status    PoolStatus
	fetched   bool
	fetchedAt time.Duration
	pending   bool
}

// PoolStatusCache queries remote regions for their load and caches the result.
type PoolStatusCache struct {
	members    Members
	peers      PeerClients
	clock      clock.Clock
	queries    chan poolKey
	onStatus   func(region, model, service string, s PoolStatus)
	nextMember atomic.Uint32
	mu         struct {
		sync.Mutex
		pools map[poolKey]*poolEntry
	}
}

// NewPoolStatusCache returns a PoolStatusCache. Run must run beside it. onStatus,
// if not nil, is called with each result.
func NewPoolStatusCache(m Members, p PeerClients, c clock.Clock, onStatus func(region, model, service string, s PoolStatus)) *PoolStatusCache {
	cache := &PoolStatusCache{members: m, peers: p, clock: c, queries: make(chan poolKey, maxPools), onStatus: onStatus}
	cache.mu.pools = map[poolKey]*poolEntry{}
	return cache
}

// Status returns the last status of a region and starts a query if it is older
// than a second. It never blocks; ok is false before the first query has ended.
// Call it only while the local region is short of capacity.
func (c *PoolStatusCache) Status(region, model, service string) (s PoolStatus, ok bool) {
	k := poolKey{region, model, service}
	now := c.clock.Now().Lower
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.mu.pools[k]
	if e == nil {
		if len(c.mu.pools) >= maxPools {
			c.evict(now)
		}
		e = &poolEntry{}
		c.mu.pools[k] = e
	}
	if !e.pending && (!e.fetched || now-e.fetchedAt >= poolStatusTTL) {
		select {
		case c.queries <- k:
			e.pending = true
		default:
		}
	}
	return e.status, e.fetched
}

// evict removes entries that were not refreshed lately, or all if that is not
// enough.
func (c *PoolStatusCache) evict(now time.Duration) {
	for k, e := range c.mu.pools {
		if !e.pending && now-e.fetchedAt >= poolStatusTTL {
			delete(c.mu.pools, k)
		}
	}
	if len(c.mu.pools) >= maxPools {
		clear(c.mu.pools)
	}
}

// Run executes queries until ctx ends.
func (c *PoolStatusCache) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for range poolQueryWorkers {
		wg.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case k := <-c.queries:
					s := c.fetch(ctx, k)
					c.store(k, s)
					if c.onStatus != nil {
						c.onStatus(k.region, k.model, k.service, s)
					}
				}
			}
		})
	}
	wg.Wait()
	return nil
}

// fetch queries the instances of the region until one responds. It begins with a
// different one each time, to spread the queries over them.
func (c *PoolStatusCache) fetch(ctx context.Context, k poolKey) PoolStatus {
	ctx, cancel := context.WithTimeout(ctx, poolQueryTimeout)
	defer cancel()
	members := c.members.InRegion(k.region)
	first := int(c.nextMember.Add(1))
	for i := range members {
		m := members[(first+i)%len(members)]
		resp, err := c.peers.Client(m.PeerAddress).PoolStatus(ctx, connect.NewRequest(&peerv1.PoolStatusRequest{Model: k.model, Service: k.service}))
		if err == nil {
			r := resp.Msg
			return PoolStatus{Capacity: int(r.GetCapacity()), Running: int(r.GetRunning()), Queued: int(r.GetQueued()),
				QueueWait: time.Duration(r.GetWaitMs()) * time.Millisecond, Reachable: true}
		}
	}
	return PoolStatus{}
}

func (c *PoolStatusCache) store(k poolKey, s PoolStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.mu.pools[k]; e != nil {
		*e = poolEntry{status: s, fetched: true, fetchedAt: c.clock.Now().Lower}
	}
}
