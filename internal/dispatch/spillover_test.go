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

type stubForwarder struct{}

func (stubForwarder) forward(context.Context, *Call, string, map[string]bool, int, int) (*attemptResponse, error) {
	return nil, nil
}

type stubRequests struct{}

func (stubRequests) AddStep(string, string, string)         {}
func (stubRequests) End(string, string, int, time.Duration) {}

// Guards against a request that waits longer in total than queue_wait, one that
// leaves its local region although no other is allowed, and one that is sent back
// and forth between regions.
func TestWaitIsSplitBetweenRegions(t *testing.T) {
	const maxWait = 4 * time.Second
	targets := []string{"a"}
	both := auth.Permit{AllowedRegions: map[string]bool{"north": true, "south": true}}
	localOnly := auth.Permit{AllowedRegions: map[string]bool{"north": true}}
	newRun := func() *run {
		l := &LocalDispatcher{LocalConfig: LocalConfig{Instance: settings.Instance{Region: "north"}, Requests: stubRequests{}}}
		return &run{local: l, call: &Call{}, forwarder: stubForwarder{}, exclude: map[string]bool{}}
	}
	noSlot := result.New(result.NoSlot, result.NotRun, "none")
	choice := routing.Choice{Targets: targets}

	r := newRun()
	if got := r.admissionWait(maxWait, localOnly, targets); got != maxWait {
		t.Errorf("a request bound to its region waits %v", got)
	}
	if r.tryRemote(noSlot, localOnly, choice) {
		t.Error("a request bound to its region was placed again")
	}
	r = newRun()
	localWait := r.admissionWait(maxWait, both, targets)
	if !r.tryRemote(noSlot, both, choice) {
		t.Fatal("the request was not placed again")
	}
	if remoteWait := r.admissionWait(maxWait, both, targets); localWait <= 0 || remoteWait <= 0 || localWait+remoteWait > maxWait {
		t.Errorf("waits %v and then %v of %v", localWait, remoteWait, maxWait)
	}
	if r.tryRemote(noSlot, both, choice) {
		t.Error("placed again twice")
	}
	if newRun().tryRemote(result.New(result.OverRate, result.NotRun, "x"), both, choice) {
		t.Error("a request without tokens was placed again")
	}
}
