package instance

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// probedTargets are targets that are down. Those with an even number hang; the
// others answer soon, that they are still down.
type probedTargets struct {
	ids []string
	mu  sync.Mutex
	// running counts the checks in flight, maxRunning the most at once.
	running, maxRunning int
	// lastStart and maxGap are, by target, the start of the last check and the
	// longest time between two of them.
	lastStart map[string]time.Time
	maxGap    map[string]time.Duration
}

func (p *probedTargets) check(ctx context.Context, id string) {
	p.mu.Lock()
	p.running++
	p.maxRunning = max(p.maxRunning, p.running)
	now := time.Now()
	if last, ok := p.lastStart[id]; ok {
		p.maxGap[id] = max(p.maxGap[id], now.Sub(last))
	}
	p.lastStart[id] = now
	p.mu.Unlock()
	duration := 2 * time.Millisecond
	if p.hangs(id) {
		duration = probeTimeout
	}
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

func (p *probedTargets) hangs(id string) bool { return (id[len(id)-1]-'0')%2 == 0 }

// The number of checks in flight is bounded however many targets are down, and those
// that hang do not delay the checks of the others.
func TestProbesAreBoundedAndSlowTargetsDelayNoOthers(t *testing.T) {
	for _, n := range []int{1, 2, 80, 1600} {
		t.Run(fmt.Sprint(n, " targets"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &probedTargets{lastStart: map[string]time.Time{}, maxGap: map[string]time.Duration{}}
				for i := range n {
					p.ids = append(p.ids, fmt.Sprint("t-", i))
				}
				const duration = 40 * time.Second
				ctx, cancel := context.WithTimeout(t.Context(), duration)
				defer cancel()
				start := time.Now()
				runProbes(ctx, func(time.Time) []string { return p.ids }, make(chan struct{}), p.check)
				if p.maxRunning > maxConcurrentProbes {
					t.Errorf("%d checks in flight", p.maxRunning)
				}
				longest := map[bool]time.Duration{}
				for _, id := range p.ids {
					if _, ok := p.lastStart[id]; !ok {
						t.Fatalf("%s was not checked", id)
					}
					p.maxGap[id] = max(p.maxGap[id], start.Add(duration).Sub(p.lastStart[id]))
					longest[p.hangs(id)] = max(longest[p.hangs(id)], p.maxGap[id])
				}
				if longest[false] > probeInterval {
					t.Errorf("a target that answers was not checked for %s", longest[false])
				}
				// Those that hang take turns, in all slots for them.
				turns := time.Duration((n+1)/2/maxSlowProbes + 1)
				if bound := probeTimeout*turns + probeInterval; longest[true] > bound {
					t.Errorf("a target that hangs was not checked for %s, bound %s", longest[true], bound)
				}
			})
		})
	}
}

// A target that is found down is checked at once, and one that has just been checked
// is not checked again because of it.
func TestWakingChecksOnlyTargetsThatAreDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &probedTargets{lastStart: map[string]time.Time{}, maxGap: map[string]time.Duration{}}
		var mu sync.Mutex
		down, wakeup := []string{"t-1"}, make(chan struct{}, 1)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		start := time.Now()
		go func() {
			defer close(done)
			runProbes(ctx, func(time.Time) []string { mu.Lock(); defer mu.Unlock(); return down }, wakeup, p.check)
		}()
		time.Sleep(probeInterval / 4)
		mu.Lock()
		down = []string{"t-1", "t-3"}
		mu.Unlock()
		wakeup <- struct{}{}
		synctest.Wait()
		p.mu.Lock()
		first, second := p.lastStart["t-1"].Sub(start), p.lastStart["t-3"].Sub(start)
		p.mu.Unlock()
		if first != 0 || second != probeInterval/4 {
			t.Errorf("checked after %s and %s", first, second)
		}
		cancel()
		<-done
	})
}
