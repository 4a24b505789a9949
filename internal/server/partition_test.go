package server

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/leadership"
	"github.com/wigeonhill/wigeonhill/internal/lease"
	"github.com/wigeonhill/wigeonhill/internal/standin"
)

func hashAPIKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// settleTime is longer than a leadership lease and the leases granted during it:
// all leases from before a partition have expired by then.
const settleTime = leadership.LeaseDuration + lease.Validity + time.Second

// Guards against a region that stops serving its own callers when it is
// partitioned from all others and from the configuration service (I3), and
// against other regions that stop serving because of it.
func TestIsolatedRegionServes(t *testing.T) {
	c := newCluster(t, 2000, map[string]int{"north": 1, "south": 1, "west": 1})
	c.waitReady()
	c.net.isolate("north", "north-1")
	time.Sleep(settleTime)
	for range 10 {
		for _, name := range c.names {
			if status, body := c.sendChat(name, "one question"); status != http.StatusOK {
				t.Errorf("%s while north is partitioned: %d %s", name, status, body)
			}
		}
	}
	c.net.heal()
	c.eventually("north sees the others again", func() bool { return len(c.instances["north-1"].members.Live("")) == 3 })
	for _, name := range c.names {
		if status, body := c.sendChat(name, "one question"); status != http.StatusOK {
			t.Errorf("%s after the partition: %d %s", name, status, body)
		}
	}
}

// Guards against two leaders in a partitioned region and against a majority that
// stops serving: the instance without a majority holds no leases, and requests
// that it refuses have not run.
func TestInstancePartitionedWithinItsRegion(t *testing.T) {
	c := newCluster(t, 2000, map[string]int{"north": 3, "south": 1})
	c.waitReady()
	shard := leadership.Shard{Region: "north"}
	var oldLeader string
	c.eventually("north has a leader", func() bool {
		oldLeader = ""
		for _, name := range c.names {
			if _, ok := c.instances[name].leadership.LeaseFor(c.instances[name].clock.Now(), shard); ok {
				oldLeader = name
			}
		}
		return oldLeader != ""
	})
	c.net.isolate("alone", oldLeader)
	c.eventually("the majority elects another leader", func() bool {
		for _, name := range c.names {
			if _, ok := c.instances[name].leadership.LeaseFor(c.instances[name].clock.Now(), shard); ok && name != oldLeader {
				return true
			}
		}
		return false
	})
	if _, ok := c.instances[oldLeader].leadership.LeaseFor(c.instances[oldLeader].clock.Now(), shard); ok {
		t.Error("two leaders of one region")
	}
	ranBefore := c.runCount()
	status, body := c.sendChat(oldLeader, "a question to the instance that is cut off")
	if status == http.StatusOK || !strings.Contains(body, `"not_run"`) {
		t.Errorf("the partitioned instance responded %d %s", status, body)
	}
	if got := c.runCount(); got != ranBefore {
		t.Errorf("%d runs after a refusal with not_run, %d before", got, ranBefore)
	}
	for _, name := range c.names {
		if name == oldLeader {
			continue
		}
		c.eventually(name+" serves", func() bool { status, _ := c.sendChat(name, "one question"); return status == http.StatusOK })
	}
}

// Guards against a team that gets more than rate x t + burst when the regions are
// partitioned from each other and each receives more requests than the whole
// rate allows (I7).
func TestLimitHoldsWhilePartitioned(t *testing.T) {
	const rate = 400
	c := newCluster(t, rate, map[string]int{"north": 1, "south": 1, "west": 1})
	c.waitReady()
	c.net.isolate("north", "north-1")
	c.net.isolate("south", "south-1")
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for _, name := range c.names {
		for range 4 {
			callers.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
						c.sendChat(name, strings.Repeat("a longer question ", 10))
					}
				}
			})
		}
	}
	time.Sleep(2 * settleTime)
	c.net.heal()
	time.Sleep(settleTime)
	close(stop)
	callers.Wait()
	used, span := c.tokensRun(), time.Since(c.started).Seconds()
	limit := rate*span + testBurst
	t.Logf("%.0f tokens ran in %.1f s; the limit is %.0f", used, span, limit)
	if used > limit {
		t.Errorf("%.0f tokens ran, the limit is %.0f", used, limit)
	}
	if used == 0 {
		t.Error("nothing ran")
	}
}

// engineRecord returns an engine's record of what it ran.
func (c *cluster) engineRecord(e *standin.Engine) standin.Record {
	rec := httptest.NewRecorder()
	e.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/record", nil))
	var r standin.Record
	if err := json.Unmarshal(rec.Body.Bytes(), &r); err != nil {
		c.t.Fatal(err)
	}
	return r
}

func (c *cluster) runCount() int {
	n := 0
	for _, e := range c.engines {
		n += len(c.engineRecord(e).Runs)
	}
	return n
}

func (c *cluster) tokensRun() float64 {
	n := 0
	for _, e := range c.engines {
		for _, run := range c.engineRecord(e).Runs {
			n += run.PromptTokens + run.OutputTokens
		}
	}
	return float64(n)
}

// Guards against callers of a region without a majority of its voters waiting for
// slots that no leader can lease, although other regions have free slots.
func TestRegionWithoutLeaderUsesOthers(t *testing.T) {
	c := newCluster(t, 2000, map[string]int{"north": 3, "south": 1})
	c.waitReady()
	c.net.isolate("lost", "north-1", "north-2")
	time.Sleep(settleTime)
	for i := range 10 {
		if status, body := c.sendChat("north-3", "one question"); status != http.StatusOK {
			t.Errorf("request %d: %d %s", i, status, body)
		}
	}
}
