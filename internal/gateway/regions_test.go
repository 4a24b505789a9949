package gateway

import (
	"context"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/balance"
	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// Guards against a region that is excluded because a caller has gone or a request failed
// at its target, and against one that is used although it refuses requests or its link
// has failed in one direction.
func TestHopOutcome(t *testing.T) {
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	notRun := func(code result.Code) *failure {
		return &failure{err: result.New(code, result.NotRun, "x"), outcome: placement.Inconclusive}
	}
	for _, c := range []struct {
		name string
		ctx  context.Context
		f    *failure
		want balance.Outcome
	}{
		{"no place", context.Background(), notRun(result.NoSlot), balance.Refused},
		{"stopping", context.Background(), notRun(result.ShuttingDown), balance.Refused},
		{"blocked request", context.Background(), notRun(result.RequestBlocked), balance.Ran},
		{"target failed", context.Background(), mayHaveRunFailure(placement.Inconclusive, result.TargetFailed, "x"), balance.Ran},
		{"no connection", context.Background(), notRunFailure(placement.Unreachable, true, "x"), balance.Unreachable},
		{"connection refused", context.Background(), notRunFailure(placement.Refused, true, "x"), balance.Unreachable},
		{"connection broke", context.Background(), mayHaveRunFailure(placement.ConnectionLost, result.TargetFailed, "x"), balance.Unreachable},
		{"caller has gone", gone, notRunFailure(placement.Unreachable, true, "x"), balance.Ran},
	} {
		if got := hopOutcome(c.ctx, c.f); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
