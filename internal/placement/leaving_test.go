package placement

import (
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
)

// targetIDs returns the targets that instance 0 may use.
func (c *cluster) targetIDs() (ids []string) {
	for _, v := range c.trackers[0].Targets(c.view, "model", "", nil, c.now) {
		ids = append(ids, v.ID)
	}
	return ids
}

func TestTargetThatSaidItLeavesStaysOutWhateverIsListed(t *testing.T) {
	c := newCluster(1, 2)
	e, tr := c.view.Targets["t-0"], c.trackers[0]
	a := tr.Begin(c.view, e, c.service, &Query{}, Choice{}, c.now)
	if !a.SetLeaving(c.now) || a.SetLeaving(c.now) {
		t.Error("only the first response that says so is news")
	}
	a.End(Success, c.now)
	lapsed := map[string]*catalog.Entry{"t-1": c.view.Targets["t-1"]}
	for range 100 {
		c.now = c.now.Add(time.Second)
		tr.Prune(lapsed, c.now)
	}
	if got := c.targetIDs(); len(got) != 1 || got[0] != "t-1" {
		t.Errorf("targets %v after the entry lapsed and returned", got)
	}
	restarted := *e
	restarted.StartedMS++
	c.view.Targets["t-0"] = &restarted
	if got := c.targetIDs(); len(got) != 2 {
		t.Errorf("targets %v after a restart under the same id", got)
	}
	if a.SetLeaving(c.now); len(c.targetIDs()) != 2 {
		t.Error("a response of the earlier incarnation counts for the next one")
	}
}

func TestOnlyTargetThatLeavesIsUsedUntilHalfOfItsTime(t *testing.T) {
	c := newCluster(1, 1)
	tr := c.trackers[0]
	tr.bounds.DrainDelay = 3 * time.Second
	tr.Begin(c.view, c.view.Targets["t-0"], c.service, &Query{}, Choice{}, c.now)
	tr.SetLeaving("t-0", c.now)
	remote := []RegionView{{Name: "west", FreeSlots: 5, RoundTrip: 110 * time.Millisecond}}
	q := &Query{Objective: time.Second, Remaining: 4 * time.Second, LocalAllowed: true}
	for elapsed := time.Duration(0); elapsed < 5*time.Second; elapsed += 100 * time.Millisecond {
		views := tr.Targets(c.view, "model", "", nil, c.now.Add(elapsed))
		if usable := len(views) == 1; usable != (elapsed < 1500*time.Millisecond) {
			t.Errorf("after %s: usable %v", elapsed, usable)
		}
		if got := Choose(q, views, remote, LatencyModelOf(c.service)); got.Region != "west" {
			t.Errorf("after %s: %+v, although another region can serve", elapsed, got)
		}
	}
}
