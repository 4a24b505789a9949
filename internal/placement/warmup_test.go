package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
)

// sendAll lets every instance send as many requests as it may to target t-0, every
// 5 ms for a duration, and returns when requests were sent. at is called before each
// step; it may be nil.
func (c *cluster) sendAll(duration time.Duration, at func(elapsed time.Duration)) (sent []time.Time) {
	start := c.now
	var running []*Attempt
	for c.now.Sub(start) < duration {
		c.now = c.now.Add(5 * time.Millisecond)
		if at != nil {
			at(c.now.Sub(start))
		}
		for len(running) > 0 && c.now.Sub(running[0].startedAt) > 200*time.Millisecond {
			running[0].End(Success, c.now)
			running = running[1:]
		}
		e := c.view.Targets["t-0"]
		for _, tr := range c.trackers {
			if c.accepts(tr) {
				a := tr.Begin(c.view, e, c.service, &Query{}, Choice{}, c.now)
				a.Sent(c.now)
				running = append(running, a)
				sent = append(sent, c.now)
			}
		}
	}
	for _, a := range running {
		a.End(Success, c.now)
	}
	return sent
}

// accepts reports whether an instance may send a request to target t-0.
func (c *cluster) accepts(tr *Tracker) bool {
	return slices.ContainsFunc(tr.Targets(c.view, "model", "", nil, c.now), func(v TargetView) bool { return v.ID == "t-0" && !v.Full })
}

// mostInOneSecond returns the largest number of times within one second.
func mostInOneSecond(sent []time.Time) int {
	most, first := 0, 0
	for i, at := range sent {
		for at.Sub(sent[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (c *cluster) checkWarmupBound(t *testing.T, sent []time.Time) {
	t.Helper()
	if most, allowed := mostInOneSecond(sent), c.service.WarmupRate*1.5+3; float64(most) > allowed {
		t.Errorf("%d instances: %d requests in a second reached a target that is warming up, allowed %.1f", len(c.trackers), most, allowed)
	}
}

func (c *cluster) warmUp(target string, d time.Duration) {
	c.view.Targets[target].WarmupUntil = c.now.Add(d)
}

func TestWarmupBoundHoldsIfInstancesLoseEachOther(t *testing.T) {
	c := newCluster(24, 1)
	c.warmUp("t-0", time.Minute)
	sent := c.sendAll(10*time.Second, func(elapsed time.Duration) {
		if elapsed == 2*time.Second {
			c.exchangeHeartbeats(none)
		}
	})
	c.checkWarmupBound(t, sent)
	if len(sent) < 20 {
		t.Errorf("only %d requests in 10 s", len(sent))
	}
}

func TestWarmupBoundHoldsAcrossRestartUnderSameID(t *testing.T) {
	c := newCluster(3, 1)
	c.warmUp("t-0", time.Minute)
	sent := c.sendAll(6*time.Second, func(elapsed time.Duration) {
		if elapsed == 3*time.Second {
			restarted := *c.view.Targets["t-0"]
			restarted.StartedMS++
			c.view.Targets["t-0"] = &restarted
		}
	})
	c.checkWarmupBound(t, sent)
}

func all(int, int) bool  { return true }
func none(int, int) bool { return false }

func TestWarmupBoundHoldsIfInstancesStartWithoutHearingEachOther(t *testing.T) {
	c := newCluster(24, 1)
	c.warmUp("t-0", time.Minute)
	for i := range c.trackers {
		c.restart(i, time.Minute)
	}
	hears := none
	sent := c.sendAll(12*time.Second, func(elapsed time.Duration) {
		if elapsed == 4*time.Second {
			hears = all
		}
		if elapsed%(100*time.Millisecond) == 0 {
			c.exchangeHeartbeats(hears)
		}
	})
	c.checkWarmupBound(t, sent)
	if late := len(sent) - slices.IndexFunc(sent, func(at time.Time) bool { return at.After(c.now.Add(-4 * time.Second)) }); late < 8 {
		t.Errorf("only %d requests in the last 4 s", late)
	}
}

// Instances restart, join, leave and lose each other at random; links may work in one
// direction only.
func TestWarmupBoundHoldsUnderRandomTrouble(t *testing.T) {
	for seed := range uint64(8) {
		random := rand.New(rand.NewPCG(seed, 27))
		c := newCluster(2+random.IntN(23), 1)
		c.warmUp("t-0", time.Hour)
		side := make([]int, len(c.trackers)) // instances hear those of the same side
		oneWay := false
		sent := c.sendAll(20*time.Second, func(elapsed time.Duration) {
			if elapsed%(100*time.Millisecond) == 0 {
				c.exchangeHeartbeats(func(i, j int) bool { return side[i] == side[j] || oneWay && side[i] < side[j] })
			}
			if elapsed%(500*time.Millisecond) != 0 {
				return
			}
			switch i := random.IntN(len(c.trackers)); random.IntN(5) {
			case 0:
				oneWay = random.IntN(2) == 0
				for i := range side {
					side[i] = random.IntN(3)
				}
			case 1:
				clear(side)
			case 2:
				if i > 0 { // see package roster for restarts of the seeds among themselves
					c.restart(i, time.Minute)
				}
			case 3:
				restarted := *c.view.Targets["t-0"]
				restarted.StartedMS++
				c.view.Targets["t-0"] = &restarted
			}
		})
		if c.checkWarmupBound(t, sent); t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// A process that was frozen between the choice of a target and the sending sends
// what it had chosen together with what it chooses next.
func TestWarmupBoundHoldsAfterFreeze(t *testing.T) {
	c := newCluster(3, 1)
	c.warmUp("t-0", time.Minute)
	c.sendAll(2*time.Second, nil)
	c.now = c.now.Add(2 * time.Second)
	e := c.view.Targets["t-0"]
	var chosen []*Attempt
	for _, tr := range c.trackers {
		for c.accepts(tr) {
			chosen = append(chosen, tr.Begin(c.view, e, c.service, &Query{}, Choice{}, c.now))
		}
	}
	c.now = c.now.Add(5 * time.Second)
	var sentLate []time.Time
	sent := c.sendAll(2*time.Second, func(elapsed time.Duration) {
		if elapsed == 500*time.Millisecond {
			for _, a := range chosen {
				a.Sent(c.now)
				sentLate = append(sentLate, c.now)
			}
		}
	})
	c.checkWarmupBound(t, slices.SortedFunc(slices.Values(slices.Concat(sent, sentLate)), time.Time.Compare))
	if len(chosen) == 0 || len(sent) == 0 {
		t.Errorf("%d requests chosen before the freeze, %d after it", len(chosen), len(sent))
	}
}

// A request to an earlier incarnation must not occupy a slot of the next one for
// ever.
func TestRequestsToEarlierIncarnationEnd(t *testing.T) {
	c := newCluster(1, 1)
	a := c.trackers[0].Begin(c.view, c.view.Targets["t-0"], c.service, &Query{PromptTokens: 100}, Choice{}, c.now)
	restarted := *c.view.Targets["t-0"]
	restarted.StartedMS++
	c.view.Targets["t-0"] = &restarted
	c.trackers[0].Targets(c.view, "model", "", nil, c.now)
	a.End(ConnectionLost, c.now)
	if got := c.trackers[0].Targets(c.view, "model", "", nil, c.now); len(got) != 1 || got[0].Running != 0 || got[0].PendingTokens != 0 {
		t.Errorf("view %+v", got)
	}
}

// A target restarts under its id. Most instances send it nothing while it is down, and
// the list shows the restart a second after it.
func TestWarmupBoundHoldsWhileRestartIsNotListed(t *testing.T) {
	for name, outcomes := range map[string][]Outcome{"refuses": {Refused}, "does not answer": {Unreachable, Unreachable, Unreachable}} {
		c := newCluster(24, 4)
		c.sendAll(time.Second, nil)
		for i, o := range outcomes {
			c.trackers[i].Begin(c.view, c.view.Targets["t-0"], c.service, &Query{}, Choice{}, c.now).End(o, c.now)
		}
		c.exchangeHeartbeats(all)
		restarted := *c.view.Targets["t-0"]
		restarted.StartedMS++
		restarted.WarmupUntil = c.now.Add(5 * time.Second)
		for range 3 { // it is back after 1.5 s, in steps that are no freeze
			c.now = c.now.Add(500 * time.Millisecond)
			c.exchangeHeartbeats(all)
		}
		for i := range outcomes {
			c.trackers[i].SetHealthy("t-0", 3*time.Second, c.now)
		}
		c.exchangeHeartbeats(all)
		sent := c.sendAll(3*time.Second, func(elapsed time.Duration) {
			if elapsed == time.Second {
				c.view.Targets["t-0"] = &restarted
			}
		})
		t.Run(name, func(t *testing.T) { c.checkWarmupBound(t, sent) })
	}
}

// A target that was warm when all instances were frozen has restarted when they wake.
func TestWarmupBoundHoldsAfterFreezeWhileListIsOld(t *testing.T) {
	c := newCluster(24, 1)
	c.view.TargetsReadAt = c.now
	if len(c.sendAll(500*time.Millisecond, nil)) < 100 {
		t.Fatal("the target gets few requests while it is warm")
	}
	c.now = c.now.Add(4 * time.Second)
	sent := c.sendAll(1500*time.Millisecond, func(elapsed time.Duration) {
		if elapsed == time.Second {
			current := *c.view
			current.TargetsReadAt = c.now
			current.Targets = map[string]*catalog.Entry{"t-0": {Target: c.view.Targets["t-0"].Target, WarmupUntil: c.now.Add(2 * time.Second)}}
			c.view = &current
		}
	})
	c.checkWarmupBound(t, sent)
	sent = c.sendAll(5*time.Second, nil)
	if mostInOneSecond(sent) < 100 {
		t.Errorf("at most %d requests in a second after the warm-up", mostInOneSecond(sent))
	}
}

// Requests that are placed at the same time all see a target that accepts one more.
func TestWarmupBoundHoldsForRequestsPlacedAtTheSameTime(t *testing.T) {
	c := newCluster(24, 1)
	c.warmUp("t-0", time.Minute)
	e := c.view.Targets["t-0"]
	var sent []time.Time
	for _, tr := range c.trackers {
		if !c.accepts(tr) {
			continue
		}
		for range 50 {
			if a := tr.Begin(c.view, e, c.service, &Query{}, Choice{}, c.now); a != nil {
				sent = append(sent, c.now)
			}
		}
	}
	if c.checkWarmupBound(t, sent); len(sent) == 0 {
		t.Error("no request was sent")
	}
}
