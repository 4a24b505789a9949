package routing

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/wigeonhill/wigeonhill/internal/config"
)

var testPolicy = config.Policy{CostWeight: 1, RemoteWeight: 1, LatencyWeight: 1, WorstTeamWeight: 1, MaxQueueWait: 10 * time.Second, HopSlots: 8}

func testEngine(name, region string, capacity int) *config.Target {
	return &config.Target{Name: name, Kind: config.Engine, Region: region, Models: map[string]bool{"m": true}, Capacity: capacity}
}

// randomView derives a view of n targets and three remote regions from bits.
func randomView(n int, bits uint64) View {
	intn := func(k uint64) int {
		bits = splitmix64(bits)
		return int(bits % k)
	}
	v := View{Region: "home", TieSeed: bits, LocalWait: time.Duration(intn(4)) * 3 * time.Second}
	for i := range n {
		v.Targets = append(v.Targets, TargetView{
			Target: testEngine("t"+string(rune('a'+i)), []string{"home", "home", "home", "r0"}[intn(4)], 4),
			Live:   intn(4) > 0, Running: intn(6), Queued: intn(3), CachedTokens: intn(900), FreeSlots: intn(3) - 1,
		})
	}
	for _, name := range []string{"r0", "r1", "r2"} {
		v.Regions = append(v.Regions, RegionView{
			Region: name, Reachable: intn(4) > 0, Link: &config.Link{Bandwidth: 140e6, Delay: 55 * time.Millisecond, Cost: 1},
			FreeSlots: intn(6) - 1, Capacity: intn(3) * 8, InFlight: intn(10), Spilling: intn(2) == 0, LinkLoad: float64(intn(12)) / 10,
		})
	}
	return v
}

// Guards invariants I1 and I2 on random views: no choice outside the allowed
// regions, of an excluded or unreachable target or region, or of a second hop, and
// none that the final check has to drop.
func TestChooseKeepsInvariants(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(11)
	params.MinSuccessfulTests = 20000
	p := gopter.NewProperties(params)
	p.Property("allowed, live, not excluded", prop.ForAll(func(n int, bits uint64, mask uint8, localOnly bool) bool {
		q := Query{Model: "m", PromptTokens: 1000, LocalOnly: localOnly, AllowedRegions: map[string]bool{}, Exclude: map[string]bool{}}
		for i, name := range []string{"home", "r0", "r1", "r2"} {
			q.AllowedRegions[name] = mask>>i&1 == 1
		}
		q.Exclude["ta"], q.Exclude["r1"] = mask>>4&1 == 1, mask>>5&1 == 1
		v := randomView(n, bits)
		c := Choose(q, v, testPolicy)
		if c.Breach || c.Region != "" && (localOnly || !q.AllowedRegions[c.Region] || q.Exclude[c.Region] || len(c.Targets) > 0) {
			return false
		}
		for _, r := range v.Regions {
			if r.Region == c.Region && (!r.Reachable || r.InFlight >= testPolicy.HopSlots) {
				return false
			}
		}
		for _, name := range c.Targets {
			i := slices.IndexFunc(v.Targets, func(x TargetView) bool { return x.Target.Name == name })
			if !q.AllowedRegions["home"] || q.Exclude[name] || !v.Targets[i].Live || v.Targets[i].Target.Region != "home" {
				return false
			}
		}
		return true
	}, gen.IntRange(0, 12), gen.UInt64(), gen.UInt8(), gen.Bool()))
	p.TestingRun(t)
}

// Guards against a final check that lets through a choice outside the allowed
// regions or a second hop.
func TestCheckDropsBreach(t *testing.T) {
	v := View{Region: "home", Targets: []TargetView{{Target: testEngine("x", "r0", 1)}}}
	for _, c := range []Choice{{Region: "r0"}, {Targets: []string{"x"}}, {Targets: []string{"unknown"}}} {
		c.check(Query{AllowedRegions: map[string]bool{"home": true}}, &v)
		if !c.Breach || c.Region != "" || c.Targets != nil {
			t.Errorf("check accepted %+v", c)
		}
	}
	c := Choice{Region: "r0"}
	if c.check(Query{AllowedRegions: map[string]bool{"r0": true}, LocalOnly: true}, &v); !c.Breach {
		t.Error("check accepted a second hop")
	}
}

// Guards against prefix hashes that differ from those of the engines, which would
// make every cache lookup miss.
func TestPrefixHashes(t *testing.T) {
	text := strings.Repeat("abcdefgh", 100) // 3 full blocks and a partial one
	got := PrefixHashes(text)
	if len(got) != 3 {
		t.Fatalf("%d hashes", len(got))
	}
	for i, h := range got {
		if want := xxhash.Sum64String(text[:(i+1)*256]); h != want {
			t.Errorf("block %d: %x, want %x", i, h, want)
		}
	}
	if CountTokens(9) != 3 || PrefixHashes("short") != nil {
		t.Error("wrong token count or hash of a short prompt")
	}
}

// Guards against forwarding while the local region has room, against not
// forwarding when its queue is long, and against a threshold without hysteresis.
func TestSpill(t *testing.T) {
	q := Query{Model: "m", PromptTokens: 800, AllowedRegions: map[string]bool{"home": true, "r0": true}}
	view := func(running int, wait time.Duration, spilling bool) View {
		return View{
			Region: "home", LocalWait: wait,
			Targets: []TargetView{{Target: testEngine("x", "home", 4), Live: true, Running: running}},
			Regions: []RegionView{{Region: "r0", Reachable: true, Capacity: 8, FreeSlots: 4, Spilling: spilling,
				Link: &config.Link{Bandwidth: 140e6, Delay: 55 * time.Millisecond}}},
		}
	}
	for _, c := range []struct {
		running  int
		wait     time.Duration
		spilling bool
		forward  bool
	}{
		{2, 0, false, false}, {4, 0, false, false}, {4, 200 * time.Millisecond, false, false},
		{4, 5 * time.Second, false, true}, {4, 280 * time.Millisecond, false, false}, {4, 280 * time.Millisecond, true, true},
	} {
		got := Choose(q, view(c.running, c.wait, c.spilling), testPolicy)
		if (got.Region != "") != c.forward {
			t.Errorf("%+v: %+v", c, got)
		}
	}
}
