package placement

import (
	"testing"
	"time"
)

// Guards against another region that is taken for faster than it is because a long
// prompt must be prefilled there, and against an owner of the prefix that is charged for
// a prefix that it has.
func TestPromptIsPartOfTheDelayElsewhere(t *testing.T) {
	m := &LatencyModel{TokensPerMS: 50}
	long, short := longQuery("part-1"), &Query{PromptTokens: 100, Objective: 500 * time.Millisecond}
	r := regionView("west", 20*time.Millisecond)
	r.AddPrompt(long, m)
	if r.Delay != 360*time.Millisecond || r.PrefixTime != 266*time.Millisecond {
		t.Errorf("delay %v, %v of it for the prefix; 17,000 tokens take 340 ms", r.Delay, r.PrefixTime)
	}
	long.PrefixOwnerRegion = "west"
	if owner := prefixOwnerRegion(long, nil, []RegionView{r}); owner == nil || owner.Delay != 94*time.Millisecond {
		t.Errorf("owner %+v, want a delay of 94 ms for the part that it does not have", owner)
	}
	r = regionView("west", 20*time.Millisecond)
	r.AddPrompt(short, m)
	if r.Delay != 22*time.Millisecond {
		t.Errorf("delay %v of a short prompt", r.Delay)
	}
}
