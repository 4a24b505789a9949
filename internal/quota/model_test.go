package quota

import (
	"fmt"
	"testing"
	"time"
)

// modelSteps is the number of steps in a history.
const modelSteps = 3

// Choices of a step: how the network is partitioned and which instances restart.
var (
	modelPartitions = []func(i int) int{
		func(int) int { return 0 },
		func(i int) int { return i },
		func(i int) int { return min(i, 1) }, // the first is partitioned
		func(i int) int { return i / 2 },     // the last is partitioned
	}
	modelRestarts = [][]int{nil, {0}, {0, 1, 2}}
)

// TestBoundHoldsInEveryShortHistory guards against a sequence of partitions and
// restarts that lets a team exceed its bound. It runs every history of three steps
// with three instances in three regions. In each step the network is whole, one
// instance is partitioned or all are, and one, all or no instance restarts. Demand
// is five times the rate, most of it at one instance that changes with each step.
func TestBoundHoldsInEveryShortHistory(t *testing.T) {
	choices := len(modelPartitions) * len(modelRestarts)
	for first := range choices {
		t.Run(fmt.Sprint("first=", first), func(t *testing.T) {
			t.Parallel()
			most := 0.0
			for rest := range choices * choices {
				history := []int{first, rest / choices, rest % choices}
				f := runHistory(history)
				f.checkBound(t, fmt.Sprint("history ", history))
				most = max(most, f.maxAdmitted(8*time.Second))
			}
			t.Logf("%d histories of %d; most in 8 s %.0f of %.0f", choices*choices, modelSteps, most, newFleet(1, 3, 1).bound())
		})
	}
}

func runHistory(history []int) *fleet {
	f := newFleet(1, 3, 1)
	f.run(2*time.Second, func(int) float64 { return f.team.Rate / 6 })
	for s, choice := range history {
		f.partition(modelPartitions[choice%len(modelPartitions)])
		for _, i := range modelRestarts[choice/len(modelPartitions)] {
			f.restart(i)
		}
		f.run(2500*time.Millisecond, func(i int) float64 {
			if i == s%len(history) {
				return 3 * f.team.Rate
			}
			return f.team.Rate
		})
	}
	return f
}
