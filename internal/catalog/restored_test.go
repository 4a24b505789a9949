package catalog

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
)

// restoreCase is a way in which a store comes back from an older copy.
type restoreCase struct {
	// written is the number of changes after the copy, rewritten that of the changes
	// before the store answers again, and returns that of the returns.
	written, rewritten, returns int
}

// allRestoreCases returns returns with revisions that are far back, a little back,
// equal and overtaken when they are first read.
func allRestoreCases() map[string]restoreCase {
	out := map[string]restoreCase{}
	for name, c := range map[string]restoreCase{"far back": {written: 200}, "a little back": {written: 4}, "equal": {written: 4, rewritten: 4}, "overtaken": {written: 4, rewritten: 30}} {
		for c.returns = 1; c.returns <= 2; c.returns++ {
			out[fmt.Sprintf("%s, %d returns", name, c.returns)] = c
		}
	}
	return out
}

// play lets the store fail for a second and come back from a copy without what f and
// the case write meanwhile.
func (c restoreCase) play(fleet *testFleet, f func()) {
	noChange := func(map[string]*deployment.Target) {}
	older := fleet.store.content()
	f()
	for range c.returns {
		for range c.written {
			fleet.store.change(noChange)
		}
		time.Sleep(testContactPeriod)
		fleet.setRefused(true)
		fleet.store.restore(older)
		time.Sleep(time.Second)
		for range c.rewritten {
			fleet.store.change(noChange)
		}
		fleet.setRefused(false)
	}
}

// Guards against changes that are not in force in time after the store has come back
// from an older copy, at readers, at instances that take snapshots, at one that is cut
// off from the store and at one that has just started.
func TestChangesAfterRestoreAreInForceInTime(t *testing.T) {
	for name, c := range allRestoreCases() {
		for phase := range 10 {
			inBubble(t, 5, func(t *testing.T, fleet *testFleet) {
				cutOff, restarted := fleet.instances[2], fleet.instances[3]
				c.play(fleet, func() { fleet.store.publish(published(5)) })
				cutOff.setRefused(true)
				restarted.stop()
				restarted.start()
				time.Sleep(time.Duration(phase) * 200 * time.Millisecond)
				fleet.store.publish(published(7, "d"))
				fleet.store.remove("b")
				time.Sleep(testConfigDelay)
				for _, i := range fleet.instances {
					if v := i.currentManager().Current(); v.configVersion() != 7 || !v.Evacuated["d"] {
						t.Errorf("%s, phase %d: instance %d has version %d, evacuated %v", name, phase, i.index, v.configVersion(), v.Evacuated)
					}
				}
				time.Sleep(testContactPeriod)
				fleet.store.remove("a")
				time.Sleep(testDropDelay)
				for _, i := range fleet.instances {
					if i != cutOff && (i.lists("a") || i.lists("b")) {
						t.Errorf("%s, phase %d: instance %d lists a removed target", name, phase, i.index)
					}
				}
			})
		}
	}
}

// Guards against an instance that starts while the store holds the older copy and takes
// its configuration for the newest one.
func TestInstanceThatStartsOnCopyTakesLaterConfiguration(t *testing.T) {
	for index := range 4 {
		inBubble(t, 4, func(t *testing.T, fleet *testFleet) {
			older := fleet.store.content()
			fleet.store.publish(published(5))
			time.Sleep(testConfigDelay)
			fleet.store.restore(older)
			time.Sleep(testConfigDelay)
			fleet.instances[index].stop()
			fleet.instances[index].start()
			time.Sleep(time.Second)
			for _, i := range fleet.instances {
				if got := i.currentManager().Current().configVersion(); got != 5 {
					t.Errorf("instance %d restarted: instance %d has version %d", index, i.index, got)
				}
			}
		})
	}
}

// Guards against targets that are dropped because the older copy lacks them.
func TestTargetsThatCopyLacksAreRetained(t *testing.T) {
	inBubble(t, 4, func(t *testing.T, fleet *testFleet) {
		older := fleet.store.content()
		fleet.store.list("c")
		time.Sleep(testContactPeriod)
		fleet.setRefused(true)
		fleet.store.restore(older)
		time.Sleep(maxSupplyGap / 4)
		fleet.setRefused(false)
		check := func(when string) {
			for _, i := range fleet.instances {
				if !i.lists("c") {
					t.Fatalf("instance %d dropped a target %s", i.index, when)
				}
			}
		}
		for range 20 {
			time.Sleep(testLapsePeriod / 20)
			check("that the copy lacks")
		}
		fleet.store.list("c")
		time.Sleep(testContactPeriod)
		check("that was written again")
	})
}

// Guards against an era that only instances which read the store learn of: a target
// that leaves later would be taken for one that the copy lacks.
func TestEraReachesInstancesThatTakeSnapshots(t *testing.T) {
	for phase := range 20 {
		inBubble(t, 4, func(t *testing.T, fleet *testFleet) {
			fleet.store.restore(fleet.store.content())
			time.Sleep(testConfigDelay + time.Duration(phase)*50*time.Millisecond)
			for _, i := range fleet.instances {
				if v := i.currentManager().Current(); v.PublishedRevision.Era != 2 || v.TargetsRevision.Era != 2 {
					t.Errorf("phase %d: instance %d knows %v and %v", phase, i.index, v.PublishedRevision, v.TargetsRevision)
				}
			}
			fleet.store.remove("b")
			time.Sleep(testDropDelay)
			fleet.checkDropped(t, phase, nil)
		})
	}
}

// Guards against readers of an earlier era that keep an instance from reading the store.
func TestReadersOfEarlierErasAreNotAskedFor(t *testing.T) {
	peers := &fakePeers{}
	m := New(&countingStore{}, peers, event.Nop(), time.Now)
	for _, r := range []deployment.Revision{{Number: 9}, {Era: 3, Number: 1}} {
		m.applyTargets(listing(), r, r, sourceStore)
		if _ = m.pollTargets(t.Context()); peers.era != r.Era {
			t.Errorf("readers of era %d are enough for an instance that knows era %d", peers.era, r.Era)
		}
	}
}

// Guards against a rolling update in which instances of the earlier and of the new
// version do not understand each other's snapshots.
func TestSnapshotsOfEarlierVersionsAreCompatible(t *testing.T) {
	type earlierSnapshot struct {
		Published         deployment.PublishedState
		PublishedRevision int64
		Targets           map[string]*deployment.Target
		TargetsRevision   int64
		Changes           struct{ Published, Targets int64 }
	}
	m, _ := newManager()
	at := deployment.Revision{Era: 3, Number: 40}
	m.applyPublished(published(7, "d"), at, at)
	m.applyTargets(listing(deployment.Target{ID: "x", Service: "s"}), at, at, sourceStore)
	text, err := m.MarshalSnapshot()
	var earlier earlierSnapshot
	if err == nil {
		err = json.Unmarshal(text, &earlier)
	}
	if err != nil || earlier.PublishedRevision != 40 || earlier.TargetsRevision != 40 || earlier.Changes.Published != 40 || earlier.Changes.Targets != 40 || earlier.Published.Config.Version != 7 {
		t.Fatalf("decoded %+v, %v", earlier, err)
	}
	if text, err = json.Marshal(earlier); err != nil {
		t.Fatal(err)
	}
	other, _ := newManager()
	other.applySnapshot(text, "earlier")
	if v := other.Current(); v.configVersion() != 7 || !v.Evacuated["d"] || v.Targets["x"] == nil || v.PublishedRevision != rev(40) {
		t.Errorf("after the snapshot of an earlier version: %+v", v)
	}
}

// Guards against an evacuation that ends early because the older copy lacks it, and
// against one that never ends because nobody takes it back again.
func TestEvacuationThatCopyLacksIsRetainedForLimitedTime(t *testing.T) {
	at := func(era, number int64) deployment.Revision { return deployment.Revision{Era: era, Number: number} }
	m, clock := newManager()
	check := func(when string, want bool) {
		t.Helper()
		if got := m.Current().Evacuated["d"]; got != want {
			t.Errorf("%s: evacuated %t, want %t", when, got, want)
		}
	}
	evacuate := func(revision deployment.Revision, domains ...string) {
		m.applyPublished(published(1, domains...), revision, revision)
	}
	evacuate(at(1, 20), "d")
	evacuate(at(2, 10))
	check("after the return", true)
	if snapshot, err := m.MarshalSnapshot(); err != nil {
		t.Error(err)
	} else if other, _ := newManager(); true {
		other.applySnapshot(snapshot, "peer")
		if other.Current().Evacuated["d"] {
			t.Error("what is retained was passed on")
		}
	}
	evacuate(at(2, 11), "e")
	check("after another change", true)
	evacuate(at(2, 12), "d", "e")
	evacuate(at(2, 13), "e")
	check("taken back after it was written again", false)

	evacuate(at(2, 14), "d")
	evacuate(at(3, 10))
	clock.add(rewritePeriod / 2)
	evacuate(at(4, 10))
	clock.add(rewritePeriod * 3 / 4)
	m.expireRetained()
	check("after a second return", true)
	clock.add(rewritePeriod / 4)
	m.expireRetained()
	check("after the period", false)
	if end := m.Current().EvacuationEnded["d"]; !end.Equal(clock.read()) {
		t.Errorf("ended at %s, want %s", end, clock.read())
	}
}
