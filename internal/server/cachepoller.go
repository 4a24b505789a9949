package server

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/confservice"
	"github.com/wigeonhill/wigeonhill/internal/routing"
)

const (
	// Every cachePollInterval, cachePollBatch engines are polled for cache
	// events. Together they bound the traffic of an instance whatever the number
	// of engines. With more engines each one is polled less often and its cache
	// estimate is corrected later, which costs some prefill.
	cachePollInterval = 250 * time.Millisecond
	cachePollBatch    = 1
	// cachePollWindow is how long after its last attempt an engine is polled.
	cachePollWindow  = 30 * time.Second
	cachePollTimeout = time.Second
)

// cachePoller fetches the cache events of the engines that this instance uses
// and passes them to apply.
type cachePoller struct {
	client  *http.Client
	address func(target string) string // empty if the target is not an engine of the local region
	apply   func(target string, events []routing.CacheEvent)
	now     func() time.Time
	mu      struct {
		sync.Mutex
		lastUsed map[string]time.Time // time of the last attempt, by target
		lastSeq  map[string]uint64    // sequence number of the last event applied, by target
	}
	lastPolled string // target polled last; used by Run only
}

func newCachePoller(address func(string) string, apply func(string, []routing.CacheEvent)) *cachePoller {
	p := &cachePoller{client: newTargetClient(cachePollTimeout), address: address, apply: apply, now: time.Now}
	p.mu.lastUsed = make(map[string]time.Time)
	p.mu.lastSeq = make(map[string]uint64)
	return p
}

// recordUse records an attempt on a target. After a failure its events are
// fetched from the first one again, because a restarted engine numbers its
// events from the start.
func (p *cachePoller) recordUse(target string, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mu.lastUsed[target] = p.now()
	if failed {
		delete(p.mu.lastSeq, target)
	}
}

// Run polls the engines in round-robin order until ctx ends.
func (p *cachePoller) Run(ctx context.Context) error {
	ticker := time.NewTicker(cachePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			for range cachePollBatch {
				p.poll(ctx, p.nextTarget())
			}
		}
	}
}

// nextTarget returns the recently used target that follows lastPolled in the
// order of names, or "" if there is none. It forgets targets that were not used
// within cachePollWindow.
func (p *cachePoller) nextTarget() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var names []string
	for name, usedAt := range p.mu.lastUsed {
		if now.Sub(usedAt) > cachePollWindow {
			delete(p.mu.lastUsed, name)
			delete(p.mu.lastSeq, name)
			continue
		}
		names = append(names, name)
	}
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	i, found := slices.BinarySearch(names, p.lastPolled)
	if found {
		i++
	}
	p.lastPolled = names[i%len(names)]
	return p.lastPolled
}

// poll fetches and applies the events of a target since the last poll.
func (p *cachePoller) poll(ctx context.Context, target string) {
	if target == "" {
		return
	}
	address := p.address(target)
	if address == "" {
		return
	}
	p.mu.Lock()
	after := p.mu.lastSeq[target]
	p.mu.Unlock()
	received, err := confservice.FetchCacheEvents(ctx, p.client, address, after)
	if err != nil {
		p.recordUse(target, true)
		return
	}
	if len(received) == 0 {
		return
	}
	events := make([]routing.CacheEvent, len(received))
	for i, e := range received {
		events[i] = routing.CacheEvent{Seq: e.Seq, Stored: e.Kind == confservice.CacheEventStored, Hash: e.PrefixHash}
	}
	p.apply(target, events)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mu.lastSeq[target] = received[len(received)-1].Seq
}
