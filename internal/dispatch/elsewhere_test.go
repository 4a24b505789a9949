package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/auth"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/routing"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

type noHop struct{}

func (noHop) open(context.Context, *Call, string, map[string]bool, int, int) (*answer, error) {
	return nil, nil
}

type noRecords struct{}

func (noRecords) Note(string, string, string)            {}
func (noRecords) End(string, string, int, time.Duration) {}

// Guards against a request that waits longer in all than queue_wait, one that
// gives up its own region although no other is allowed, and one that is sent
// back and forth.
func TestWaitIsSplitBetweenRegions(t *testing.T) {
	const longest = 4 * time.Second
	targets := []string{"a"}
	both := auth.Permit{Allowed: map[string]bool{"north": true, "south": true}}
	own := auth.Permit{Allowed: map[string]bool{"north": true}}
	newRun := func() *run {
		l := &LocalDispatcher{LocalConfig: LocalConfig{Instance: settings.Instance{Region: "north"}, Requests: noRecords{}}}
		return &run{l: l, c: &Call{}, hop: noHop{}, exclude: map[string]bool{}}
	}
	noSlot := result.New(result.NoSlot, result.NotRun, "none")
	choice := routing.Choice{Targets: targets}

	r := newRun()
	if got := r.wait(longest, own, targets); got != longest {
		t.Errorf("bound request waits %v", got)
	}
	if r.tryElsewhere(noSlot, own, choice) {
		t.Error("a bound request was placed again")
	}
	r = newRun()
	first := r.wait(longest, both, targets)
	if !r.tryElsewhere(noSlot, both, choice) {
		t.Fatal("the request was not placed again")
	}
	if rest := r.wait(longest, both, targets); first <= 0 || rest <= 0 || first+rest > longest {
		t.Errorf("waits %v and then %v of %v", first, rest, longest)
	}
	if r.tryElsewhere(noSlot, both, choice) {
		t.Error("placed again twice")
	}
	if newRun().tryElsewhere(result.New(result.OverRate, result.NotRun, "x"), both, choice) {
		t.Error("a request without tokens was placed again")
	}
}
