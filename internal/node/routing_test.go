package node

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/result"
)

// Guards against a caller who disconnects, or a withdrawn key, making a healthy
// target unused; and against a failed target that stays in use.
func TestTargetFault(t *testing.T) {
	for _, c := range []struct {
		err  error
		want bool
	}{
		{nil, false},
		{result.New(result.TargetFailed, result.MayHaveRun, "x"), true},
		{errors.Wrap(result.New(result.TargetTimeout, result.MayHaveRun, "x"), "attempt"), true},
		{result.New(result.CallerTooSlow, result.MayHaveRun, "x"), false},
		{result.New(result.KeyWithdrawn, result.MayHaveRun, "x"), false},
		{context.Canceled, false},
	} {
		if got := targetFault(c.err); got != c.want {
			t.Errorf("%v: %v, want %v", c.err, got, c.want)
		}
	}
}
