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
	// poolFresh is how long an answer about another region is used.
	poolFresh = time.Second
	// poolTimeout ends a question; after it the region counts as unreachable.
	poolTimeout = time.Second
	poolWorkers = 8
	maxPools    = 4096
)

// PoolStatus is what another region said about a model or service.
type PoolStatus struct {
	Capacity, Running, Queued int
	QueueWait                 time.Duration
	// Reachable is false if the last question was not answered.
	Reachable bool
}

type poolKey struct{ region, model, service string }

type poolEntry struct {
	state  PoolStatus
	known  bool
	at     time.Duration
	asking bool
}

// PoolStatusCache asks other regions how busy they are, with PoolStatus.
type PoolStatusCache struct {
	members Members
	peers   PeerClients
	clock   clock.Clock
	asks    chan poolKey
	told    func(region, model, service string, s PoolStatus)
	turn    atomic.Uint32
	mu      struct {
		sync.Mutex
		pools map[poolKey]*poolEntry
	}
}

// NewPoolStatusCache returns a PoolAsker. Run must run beside it. told, if not nil,
// is called with each answer.
func NewPoolStatusCache(m Members, p PeerClients, c clock.Clock, told func(region, model, service string, s PoolStatus)) *PoolStatusCache {
	a := &PoolStatusCache{members: m, peers: p, clock: c, asks: make(chan poolKey, maxPools), told: told}
	a.mu.pools = map[poolKey]*poolEntry{}
	return a
}

// Status returns the last answer of a region and, if it is older than a second,
// has the region asked again. It never blocks; ok is false before the first
// answer. Call it only while the own region is short.
func (a *PoolStatusCache) Status(region, model, service string) (s PoolStatus, ok bool) {
	k := poolKey{region, model, service}
	now := a.clock.Now().Lower
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.mu.pools[k]
	if e == nil {
		if len(a.mu.pools) >= maxPools {
			a.forget(now)
		}
		e = &poolEntry{}
		a.mu.pools[k] = e
	}
	if !e.asking && (!e.known || now-e.at >= poolFresh) {
		select {
		case a.asks <- k:
			e.asking = true
		default:
		}
	}
	return e.state, e.known
}

// forget drops entries that nobody has asked for lately, or all of them.
func (a *PoolStatusCache) forget(now time.Duration) {
	for k, e := range a.mu.pools {
		if !e.asking && now-e.at >= poolFresh {
			delete(a.mu.pools, k)
		}
	}
	if len(a.mu.pools) >= maxPools {
		clear(a.mu.pools)
	}
}

// Run asks until ctx ends.
func (a *PoolStatusCache) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for range poolWorkers {
		wg.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case k := <-a.asks:
					s := a.ask(ctx, k)
					a.put(k, s)
					if a.told != nil {
						a.told(k.region, k.model, k.service, s)
					}
				}
			}
		})
	}
	wg.Wait()
	return nil
}

// ask asks the instances of the region until one answers. It begins with
// another one each time, so that the questions are spread over them.
func (a *PoolStatusCache) ask(ctx context.Context, k poolKey) PoolStatus {
	ctx, cancel := context.WithTimeout(ctx, poolTimeout)
	defer cancel()
	members := a.members.InRegion(k.region)
	first := int(a.turn.Add(1))
	for i := range members {
		m := members[(first+i)%len(members)]
		resp, err := a.peers.Client(m.PeerAddress).PoolStatus(ctx, connect.NewRequest(&peerv1.PoolStatusRequest{Model: k.model, Service: k.service}))
		if err == nil {
			r := resp.Msg
			return PoolStatus{Capacity: int(r.GetCapacity()), Running: int(r.GetRunning()), Queued: int(r.GetQueued()),
				QueueWait: time.Duration(r.GetWaitMs()) * time.Millisecond, Reachable: true}
		}
	}
	return PoolStatus{}
}

func (a *PoolStatusCache) put(k poolKey, s PoolStatus) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := a.mu.pools[k]; e != nil {
		*e = poolEntry{state: s, known: true, at: a.clock.Now().Lower}
	}
}
