package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/lease"
)

type fakeLoads map[string]lease.Load

func (f fakeLoads) Load(target string) (lease.Load, bool) {
	l, ok := f[target]
	return l, ok
}

func testTracker(targets int) (*Tracker, *clock.Virtual, fakeLoads) {
	clk, loads := &clock.Virtual{}, fakeLoads{}
	t := New(Config{Region: "home", Clock: clk, Loads: loads})
	cfg := &config.Config{Targets: map[string]*config.Target{}, Links: map[config.LinkID]*config.Link{
		config.NewLinkID("home", "r0"): {Bandwidth: 140e6, Delay: 55 * time.Millisecond},
	}}
	for i := range targets {
		name := fmt.Sprintf("t%03d", i)
		cfg.Targets[name] = testEngine(name, "home", 16)
	}
	cfg.Targets["far"] = testEngine("far", "r0", 20)
	t.SetConfig(cfg)
	clk.Advance(time.Second)
	return t, clk, loads
}

func testQuery(id uint64, blocks int) Query {
	return Query{Model: "m", PrefixHashes: appendBlocks(nil, id, blocks), PromptTokens: blocks * blockTokens, OutputTokens: 100,
		AllowedRegions: map[string]bool{"home": true, "r0": true}}
}

// Guards against cache estimates that stay wrong: lost events must lower their
// confidence, an eviction, an engine restart or a smaller reported cache must
// remove entries, and a dispatch must restore them.
func TestCacheEstimateRecovers(t *testing.T) {
	tr, _, loads := testTracker(1)
	q := testQuery(1, 10)
	cached := func() int { return tr.View(q).Targets[0].CachedTokens }
	tr.RecordDispatch(q, "t000")()
	if cached() != 640 {
		t.Fatalf("local dispatch: %d tokens", cached())
	}
	tr.ApplyCacheEvents("t000", []CacheEvent{{Seq: 5, Stored: true, Hash: 1}})
	tr.ApplyCacheEvents("t000", []CacheEvent{{Seq: 9, Stored: true, Hash: 2}}) // 3 lost
	if got := cached(); got >= 640 || got < 320 {
		t.Fatalf("after a small gap: %d tokens", got)
	}
	tr.ApplyCacheEvents("t000", []CacheEvent{{Seq: 100, Stored: true, Hash: 3}})
	if cached() != 0 {
		t.Fatalf("after a large gap: %d tokens", cached())
	}
	tr.RecordDispatch(q, "t000")()
	if cached() != 640 {
		t.Fatalf("after a new dispatch: %d tokens", cached())
	}
	tr.ApplyCacheEvents("t000", []CacheEvent{{Seq: 101, Hash: q.PrefixHashes[4]}, {Seq: 3, Hash: q.PrefixHashes[0]}})
	if cached() != 256 {
		t.Fatalf("after an eviction, and an old event: %d tokens", cached())
	}
	tr.ApplyCacheEvents("t000", []CacheEvent{{Seq: 1, Stored: true, Hash: 7}})
	if cached() != 0 {
		t.Fatalf("after a restart: %d tokens", cached())
	}
	tr.RecordDispatch(q, "t000")()
	loads["t000"] = lease.Load{CachedTokens: 128, SampledAt: time.Second}
	if cached() > 256 {
		t.Fatal("estimate exceeds the cache that the target reports")
	}
}

// Guards against cache estimates whose memory grows without bound.
func TestCacheEstimateBounded(t *testing.T) {
	b := newCacheEstimate(100)
	for i := range uint64(1000) {
		b.recordPrompt(appendBlocks(nil, i, 8))
		b.remove(appendBlocks(nil, i, 1)[0])
	}
	if len(b.index) > 100 || len(b.entries) > 101 {
		t.Fatalf("%d hashes, %d entries", len(b.index), len(b.entries))
	}
}

// Guards against counting this instance's requests twice or not at all between
// load reports.
func TestLoadSinceReport(t *testing.T) {
	tr, clk, loads := testTracker(1)
	view := func() TargetView { return tr.View(testQuery(9, 1)).Targets[0] }
	first := tr.RecordDispatch(testQuery(1, 100), "t000")
	clk.Advance(100 * time.Millisecond)
	loads["t000"] = lease.Load{Running: 5, SampledAt: clk.Now().Lower}
	clk.Advance(100 * time.Millisecond)
	tr.RecordDispatch(testQuery(2, 100), "t000")
	if v := view(); v.Running != 6 || v.PendingTokens < 6400 {
		t.Fatalf("5 reported and 1 since: %+v", v)
	}
	first()
	first() // must have no effect
	if v := view(); v.Running != 5 {
		t.Fatalf("one ended: %+v", v)
	}
	clk.Advance(2 * time.Second)
	if v := view(); v.PendingTokens != 0 {
		t.Fatalf("prompts still pending: %+v", v)
	}
	tr.SetTargetLive("t000", false)
	if c := tr.Decide(testQuery(1, 1), testPolicy); len(c.Targets) != 0 {
		t.Fatalf("a leaving target was chosen: %+v", c)
	}
}

// Guards against all instances using the same free slots of a remote region, and
// against ignoring the load of the link or the age of the status.
func TestRemoteRegion(t *testing.T) {
	tr, clk, _ := testTracker(1)
	tr.SetPeerCount(4)
	region := func() RegionView { return tr.View(testQuery(1, 1)).Regions[0] }
	if v := region(); v.Reachable || v.FreeSlots >= 0 || !v.Stale || v.Capacity != 20 {
		t.Fatalf("unknown region: %+v", v)
	}
	tr.SetRegionStatus(RegionStatus{Model: "m", Region: "r0", Running: 6})
	if v := region(); !v.Reachable || v.FreeSlots != 3 {
		t.Fatalf("12 of 14 free slots for 4 instances: %+v", v)
	}
	end := tr.RecordForward(testQuery(1, 1), "r0", 4_000_000) // 32 of 35 Mbit in a second
	if v := region(); v.FreeSlots != 2 || v.InFlight != 1 || v.LinkLoad < maxLinkLoad {
		t.Fatalf("one request forwarded: %+v", v)
	}
	end()
	end()
	clk.Advance(4 * time.Second)
	if v := region(); v.InFlight != 0 || v.LinkLoad != 0 || v.FreeSlots >= 0 {
		t.Fatalf("4 s later: %+v", v)
	}
}

// BenchmarkChoose measures Choose alone and Decide, which also builds the view,
// for a prompt of 100 blocks.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 107} {
		tr, _, _ := testTracker(n)
		tr.SetRegionStatus(RegionStatus{Model: "m", Region: "r0", Running: 6})
		q := testQuery(1, 100)
		for i := range n {
			tr.RecordDispatch(testQuery(uint64(1+i%3), 50+i), fmt.Sprintf("t%03d", i))()
		}
		v := tr.View(q)
		b.Run(fmt.Sprintf("choose/targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Choose(q, v, testPolicy)
			}
		})
		b.Run(fmt.Sprintf("decide/targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tr.Decide(q, testPolicy)
			}
		})
	}
}
