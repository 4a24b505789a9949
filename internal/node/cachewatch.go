package node

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/confservice"
	routing1 "github.com/wigeonhill/wigeonhill/internal/routing"
)

const (
	// cacheEvery is the interval of questions for cache events, and cacheBatch
	// how many engines are asked each time. Together they bound the traffic of
	// an instance whatever the number of engines; a belief about an engine that
	// is asked less often is corrected later, which costs some prefill.
	cacheEvery = 250 * time.Millisecond
	cacheBatch = 1
	// cacheRecent is how long after its last attempt an engine is asked.
	cacheRecent  = 30 * time.Second
	cacheTimeout = time.Second
)

// cacheWatch reads cache events of engines that this instance uses.
type cacheWatch struct {
	client  *http.Client
	address func(target string) string // empty if the target is not an engine here
	events  func(target string, events []routing1.CacheEvent)
	now     func() time.Time
	mu      struct {
		sync.Mutex
		used  map[string]time.Time // by target
		after map[string]uint64
	}
	last string // target asked last; only Run uses it
}

func newCacheWatch(address func(string) string, events func(string, []routing1.CacheEvent)) *cacheWatch {
	w := &cacheWatch{client: &http.Client{Timeout: cacheTimeout}, address: address, events: events, now: time.Now}
	w.mu.used = make(map[string]time.Time)
	w.mu.after = make(map[string]uint64)
	return w
}

// note marks a target as used. After a failure its events are read from the
// start, because a restarted engine numbers them anew.
func (w *cacheWatch) note(target string, failed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mu.used[target] = w.now()
	if failed {
		delete(w.mu.after, target)
	}
}

// Run asks engines in turn until ctx ends.
func (w *cacheWatch) Run(ctx context.Context) error {
	ticker := time.NewTicker(cacheEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			for range cacheBatch {
				w.ask(ctx, w.next())
			}
		}
	}
}

// next returns the recently used target after the one asked last, by name.
func (w *cacheWatch) next() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	var names []string
	for name, at := range w.mu.used {
		if now.Sub(at) > cacheRecent {
			delete(w.mu.used, name)
			delete(w.mu.after, name)
			continue
		}
		names = append(names, name)
	}
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	i, found := slices.BinarySearch(names, w.last)
	if found {
		i++
	}
	w.last = names[i%len(names)]
	return w.last
}

func (w *cacheWatch) ask(ctx context.Context, target string) {
	if target == "" {
		return
	}
	address := w.address(target)
	if address == "" {
		return
	}
	w.mu.Lock()
	after := w.mu.after[target]
	w.mu.Unlock()
	read, err := confservice.CacheEvents(ctx, w.client, address, after)
	if err != nil {
		w.note(target, true)
		return
	}
	if len(read) == 0 {
		return
	}
	events := make([]routing1.CacheEvent, len(read))
	for i, e := range read {
		events[i] = routing1.CacheEvent{Seq: e.Seq, Stored: e.Kind == confservice.Stored, Hash: e.PrefixHash}
	}
	w.events(target, events)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mu.after[target] = read[len(read)-1].Seq
}
