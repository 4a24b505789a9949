package server

import (
	"context"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/routing"
)

// Guards against a healthy target that is put into backoff because a caller
// disconnected or a key was withdrawn, and against a failed target that stays in
// use.
func TestIsTargetError(t *testing.T) {
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
		if got := isTargetError(c.err); got != c.want {
			t.Errorf("%v: %v, want %v", c.err, got, c.want)
		}
	}
}

// Guards against refusing a request at once that may run only in its region while
// the leader of that region is missing, and against waiting for targets that are
// leaving, in backoff or excluded.
func TestRegionBoundRequestWaitsForLeader(t *testing.T) {
	cfg := &config.Config{Targets: map[string]*config.Target{}}
	for _, name := range []string{"a", "b", "excluded", "leaving"} {
		cfg.Targets[name] = &config.Target{Name: name, Kind: config.Engine, Region: "north", Models: map[string]bool{"m": true}}
	}
	cfg.Targets["south"] = &config.Target{Name: "south", Kind: config.Engine, Region: "south", Models: map[string]bool{"m": true}}
	q := routing.Query{Model: "m", AllowedRegions: map[string]bool{"north": true}, Exclude: map[string]bool{"excluded": true}}
	usable := func(name string) bool { return name != "leaving" }
	if got := targetsToWaitFor(cfg, "north", q, usable); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("waits for %v", got)
	}
	q.AllowedRegions = map[string]bool{"south": true}
	if got := targetsToWaitFor(cfg, "north", q, usable); got != nil {
		t.Errorf("waits for %v outside its allowed regions", got)
	}
}
