package node

import (
	"context"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/result"
	routing1 "github.com/wigeonhill/wigeonhill/internal/routing"
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

// Guards against a request that is bound to its region and refused at once while
// the region's grantor is missing, and against waiting for targets that leave,
// have failed or are excluded.
func TestBoundRequestWaitsForTheGrantor(t *testing.T) {
	e := &config.Config{Targets: map[string]*config.Target{}}
	for _, name := range []string{"a", "b", "excluded", "leaving"} {
		e.Targets[name] = &config.Target{Name: name, Kind: config.Engine, Region: "north", Models: map[string]bool{"m": true}}
	}
	e.Targets["south"] = &config.Target{Name: "south", Kind: config.Engine, Region: "south", Models: map[string]bool{"m": true}}
	q := routing1.Query{Model: "m", AllowedRegions: map[string]bool{"north": true}, Exclude: map[string]bool{"excluded": true}}
	usable := func(name string) bool { return name != "leaving" }
	if got := waitingTargets(e, "north", q, usable); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("waits for %v", got)
	}
	q.AllowedRegions = map[string]bool{"south": true}
	if got := waitingTargets(e, "north", q, usable); got != nil {
		t.Errorf("waits for %v outside its allowed regions", got)
	}
}
