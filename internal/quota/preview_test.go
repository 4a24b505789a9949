package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
)

// Guards against a preview that says something else than Admit, and against one that
// charges the team or starts the clock of the limiter. Two limiters get the same
// requests and heartbeats; only one is asked for previews.
func TestPreviewEqualsAdmitAndChargesNothing(t *testing.T) {
	refused := 0
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 3))
		now := time.Unix(1000, 0)
		asked, plain := New("a", []string{"a", "b"}), New("a", []string{"a", "b"})
		teams := []*deployment.Team{{Name: "limited", Rate: 100, Burst: 200}, {Name: "tight", Rate: 5, Burst: 5}, {Name: "free"}}
		spent := 0.0
		for range 40 {
			now = now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)
			if rng.IntN(3) == 0 {
				spent += float64(rng.IntN(40))
				peers := []Peer{{Address: "p", Domain: "b", Incarnation: 1, Reachable: rng.IntN(5) > 0, LastSeen: now, Usage: map[string]Usage{"limited": {Spent: spent, Demand: 20}}}}
				asked.Observe(peers, now)
				plain.Observe(peers, now)
			}
			team, units := teams[rng.IntN(len(teams))], float64(1+rng.IntN(60))
			preview := asked.Preview(team, units, now)
			for range rng.IntN(4) {
				asked.Preview(teams[rng.IntN(len(teams))], float64(rng.IntN(1000)), now)
			}
			got, want := asked.Admit(team, units, now), plain.Admit(team, units, now)
			if preview != want || got != want {
				t.Fatalf("seed %d: preview %+v, Admit after it %+v, Admit without a preview %+v", seed, preview, got, want)
			}
			if a, b := fmt.Sprint(asked.LocalUsage(now)), fmt.Sprint(plain.LocalUsage(now)); a != b {
				t.Fatalf("seed %d: usage %s with previews, %s without", seed, a, b)
			}
			if !want.Admitted {
				refused++
			}
		}
	}
	if refused < 50 {
		t.Errorf("only %d requests were refused", refused)
	}
}
