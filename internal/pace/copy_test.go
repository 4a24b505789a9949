package pace

import (
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// Guards against a copy that shares windows with its original: a question about a
// decision would then end or move the window of a target.
func TestCopyDoesNotChangeTheOriginal(t *testing.T) {
	now := time.Unix(1000, 0)
	w := New()
	w.Recovering("t", 1, 16, Returned, now)
	w.Begin("t")
	c := w.Copy()
	if limit, limited := c.Limit("t", now); limit != 1 || !limited || c.Running("t") != 1 || c.Active() != 1 {
		t.Fatalf("the copy has the limit %d, %t", limit, limited)
	}
	c.Merge("peer", &peerv1.TargetUse{Target: "t", RecoveringMs: 10, Sound: 3}, now)
	c.Limit("t", now.Add(time.Minute)) // ends the window
	c.Recovering("other", 1, 16, Started, now)
	if limit, limited := w.Limit("t", now); limit != 1 || !limited || w.Active() != 1 {
		t.Errorf("the original has the limit %d, %t", limit, limited)
	}
	if n := len(w.targets["t"].peers); n != 0 || w.targets["other"] != nil {
		t.Errorf("the original has %d peers of the copy", n)
	}
	if changes := w.Changes(); len(changes) != 1 {
		t.Errorf("changes of the original: %+v", changes)
	}
}
