package gateway

import (
	"testing"
	"time"
)

// Guards against running requests that are ended before five sixths of the grace period, and
// against ends that leave too little time for the answers.
func TestDrainLeavesTimeForRequestsAndTheirAnswers(t *testing.T) {
	const grace = 8 * time.Second
	refuse, cutoff, end := drainTimes(grace)
	if refuse > 3*time.Second || cutoff < grace*5/6 || cutoff > end-500*time.Millisecond || end > grace-drainMargin {
		t.Errorf("new requests are refused at %s, running ones ended at %s, the drain at %s", refuse, cutoff, end)
	}
}
