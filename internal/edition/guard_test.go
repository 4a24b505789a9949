package edition_test

import (
	"testing"
	"time"
)

// startWorld starts instances that all serve with revision 1.
func startWorld(n, regions, domains int) *world {
	w := newWorld(n, regions, domains, 11)
	w.publish("instances", 1, w.listText())
	w.publish("table", 1, tableText(1))
	w.startAll()
	w.waitServing(1, time.Minute)
	time.Sleep(20 * time.Second)
	return w
}

// Guards against a pause of the whole fleet, while the service is down, after
// which no instance ever serves again because none may confirm another.
func TestPauseOfAll(t *testing.T) {
	for _, down := range []bool{false, true} {
		inTime(t, func(t *testing.T) {
			w := startWorld(9, 3, 2)
			w.setService(down, false)
			for _, n := range w.nodes {
				n.freeze()
			}
			time.Sleep(10 * time.Second)
			for _, n := range w.nodes {
				n.wake()
			}
			if w.serving(1) != 0 {
				t.Error("an instance serves right after a pause")
			}
			if took := w.waitServing(1, time.Minute); took >= time.Minute {
				t.Errorf("service down %v: %d of 9 instances serve a minute after the pause", down, w.serving(1))
			}
			w.stopAll()
		})
	}
}

// Guards against an instance without peers that serves with an unconfirmed
// edition, or never serves although the service confirms it.
func TestAlone(t *testing.T) {
	inTime(t, func(t *testing.T) {
		w := startWorld(1, 1, 1)
		if w.serving(1) != 1 {
			t.Fatal("it does not serve")
		}
		w.setService(true, false)
		w.nodes[0].freeze()
		time.Sleep(time.Second)
		w.nodes[0].wake()
		time.Sleep(30 * time.Second)
		if w.serving(1) != 0 {
			t.Error("it serves although nobody confirmed its edition")
		}
		w.setService(false, false)
		if took := w.waitServing(1, time.Minute); took > 15*time.Second {
			t.Errorf("it serves %v after the service came back", took)
		}
		em, _ := w.nodes[0].managers()
		w.setService(true, false)
		time.Sleep(2 * time.Hour)
		if !em.TooOld() {
			t.Errorf("cut off for 2 h, the edition is %v old and not too old", em.Age())
		}
		w.stopAll()
	})
}

// Guards against a failure domain that nobody watches after its watchers were
// frozen or killed.
func TestWatchersAreReplaced(t *testing.T) {
	inTime(t, func(t *testing.T) {
		w := startWorld(12, 2, 1)
		watching := func(region string) (out []*node) {
			for _, n := range w.nodes {
				if em, _ := n.managers(); em != nil && n.self.Region == region && n.running() && em.Status().Watching {
					out = append(out, n)
				}
			}
			return out
		}
		before := watching("r0")
		if len(before) != 2 {
			t.Fatalf("%d watchers of 6 instances", len(before))
		}
		before[0].freeze()
		before[1].stop()
		took := w.until(time.Minute, func() bool { return len(watching("r0")) == 2 })
		t.Logf("both watchers of a failure domain replaced after %v", took)
		if took > 10*time.Second {
			t.Errorf("watchers were replaced after %v", took)
		}
		// An instance that joins the service again must not leave three.
		before[0].wake()
		if took := w.until(time.Minute, func() bool { return len(watching("r0")) == 2 && before[0].revision() == 1 }); took > 10*time.Second {
			t.Errorf("%d watchers after one woke up", len(watching("r0")))
		}
		w.stopAll()
	})
}
