package catalog

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
)

// clock is a virtual clock.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) read() time.Time { c.mu.Lock(); defer c.mu.Unlock(); return c.now }
func (c *clock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// nobody has no peers.
type nobody struct{}

func (nobody) EnoughReaders() bool                                            { return false }
func (nobody) FetchSnapshot(context.Context, ChangeRevisions) ([]byte, error) { return nil, nil }
func (nobody) AnnounceChange()                                                {}

var errDown = errors.New("the store is down")

func newManager() (*Manager, *clock) {
	c := &clock{now: time.Unix(1000, 0)}
	return New(nil, nobody{}, event.Nop(), c.read), c
}

func listing(targets ...deployment.Target) map[string]*deployment.Target {
	out := map[string]*deployment.Target{}
	for i := range targets {
		out[targets[i].ID] = &targets[i]
	}
	return out
}

func published(version int64, evacuated ...string) deployment.PublishedState {
	p := deployment.PublishedState{Config: &deployment.Config{Version: version, Services: map[string]*deployment.Service{"s": {Name: "s", Warmup: 3 * time.Second}}}, Evacuated: map[string]bool{}}
	for _, d := range evacuated {
		p.Evacuated[d] = true
	}
	return p
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	m, _ := newManager()
	m.setPublished(published(7), 20, 20)
	m.setPublished(published(5), 30, 30) // an old version under a later revision
	m.setPublished(published(6), 10, 10)
	m.setPublished(deployment.PublishedState{}, 40, 40)
	if v := m.Current(); v.Config == nil || v.Config.Version != 7 {
		t.Fatalf("in force: %+v", v.Config)
	}
	m.setPublished(published(9), 50, 50)
	if v := m.Current(); v.Config.Version != 9 {
		t.Errorf("in force: version %d", v.Config.Version)
	}
}

// Entries that lapse while the store is away are kept for as long as living
// targets need to be back; without an outage a missing target is gone at once.
func TestTargetsOverAnOutage(t *testing.T) {
	m, c := newManager()
	a, b := deployment.Target{ID: "a", Service: "s", StartedMS: 1}, deployment.Target{ID: "b", Service: "s", StartedMS: 1}
	m.note(&m.mu.targets, "targets", nil)
	m.setTargets(listing(a, b), 10, 10)
	m.setTargets(listing(a), 11, 11)
	if m.Current().Targets["b"] != nil {
		t.Fatal("a target that left is kept without an outage")
	}
	m.setTargets(listing(a, b), 12, 12)
	m.note(&m.mu.targets, "targets", errDown)
	c.add(10 * time.Second)
	m.note(&m.mu.targets, "targets", nil)
	m.setTargets(listing(b), 13, 13)
	if m.Current().Targets["a"] == nil {
		t.Fatal("a target whose entry lapsed during the outage was dropped at once")
	}
	c.add(time.Second)
	m.sweep()
	if m.Current().Targets["a"] == nil {
		t.Fatal("dropped before its entry could be back")
	}
	c.add(2 * time.Second)
	m.sweep()
	if m.Current().Targets["a"] != nil || m.Current().Targets["b"] == nil {
		t.Errorf("after the grace: %v", m.Current().Targets)
	}
}

func TestOldListingOfAStartIsIgnored(t *testing.T) {
	m, _ := newManager()
	m.setTargets(listing(deployment.Target{ID: "a", StartedMS: 5, Sequence: 9, Leaving: true}), 10, 10)
	m.setTargets(listing(deployment.Target{ID: "a", StartedMS: 5, Sequence: 8}), 11, 11)
	if !m.Current().Targets["a"].Leaving {
		t.Error("an old entry brought a leaving target back")
	}
	m.setTargets(listing(deployment.Target{ID: "a", StartedMS: 6, Sequence: 1}), 12, 12)
	if m.Current().Targets["a"].Leaving {
		t.Error("a new start of the target was not taken")
	}
}

func TestColdness(t *testing.T) {
	m, c := newManager()
	m.setPublished(published(1, "d"), 1, 1)
	m.setTargets(listing(deployment.Target{ID: "a", Service: "s", Domain: "d", WarmupLeft: 2 * time.Second, Sequence: 1}), 2, 2)
	e := m.Current().Targets["a"]
	if !m.Current().Cold(e, c.read().Add(1900*time.Millisecond)) || m.Current().Cold(e, c.read().Add(2100*time.Millisecond)) {
		t.Error("the warm-up of the listing is not used")
	}
	c.add(time.Second)
	m.setTargets(listing(deployment.Target{ID: "a", Service: "s", Domain: "d", WarmupLeft: 2 * time.Second, Sequence: 1}), 3, 3)
	if e := m.Current().Targets["a"]; m.Current().Cold(e, c.read().Add(1100*time.Millisecond)) {
		t.Error("the same entry, read again, made the target cold for longer")
	}
	c.add(time.Minute)
	m.setPublished(published(1), 4, 4)
	if !m.Current().Cold(m.Current().Targets["a"], c.read().Add(time.Second)) || m.Current().Cold(m.Current().Targets["a"], c.read().Add(4*time.Second)) {
		t.Error("after an evacuation the targets count as cold for their warm-up")
	}
}

// An instance that the store does not answer takes what another one has, but
// nothing older than its own.
func TestSnapshotOfAPeer(t *testing.T) {
	a, _ := newManager()
	b, _ := newManager()
	a.setPublished(published(4, "d"), 40, 40)
	a.setTargets(listing(deployment.Target{ID: "x", Service: "s"}), 41, 41)
	text, err := a.MarshalSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	b.adopt(text)
	if v := b.Current(); v.Config == nil || v.Config.Version != 4 || !v.Evacuated["d"] || v.Targets["x"] == nil || b.Revision() != 41 {
		t.Fatalf("taken over: %+v", v)
	}
	b.setPublished(published(6), 60, 60)
	b.adopt(text)
	if v := b.Current(); v.Config.Version != 6 || v.Evacuated["d"] {
		t.Errorf("an older snapshot was taken: %+v", v.PublishedState)
	}
	b.adopt([]byte("{"))
}

// Heartbeats alone are no change; what decisions use is.
func TestChangesAreWhatMatters(t *testing.T) {
	m, _ := newManager()
	one := deployment.Target{ID: "a", Service: "s", Sequence: 1}
	m.setTargets(listing(one), 10, 10)
	one.Sequence = 2
	m.setTargets(listing(one), 11, 11)
	if got := m.Current().TargetsChange; got != 10 {
		t.Errorf("a heartbeat counts as a change at %d", got)
	}
	one.Sequence, one.Leaving = 3, true
	m.setTargets(listing(one), 12, 12)
	if got := m.Current().TargetsChange; got != 12 {
		t.Errorf("a leaving target is a change of revision %d, want 12", got)
	}
	m.setPublished(published(3), 20, 20)
	m.setPublished(published(3), 21, 21)
	m.setPublished(published(3, "d"), 22, 22)
	if got := m.Current().PublishedChange; got != 22 {
		t.Errorf("an evacuation is a change of revision %d, want 22", got)
	}
}

// An instance that is covered by others reads nothing from the store, and reads
// again as soon as it is not.
func TestCoveredInstanceLeavesTheStoreAlone(t *testing.T) {
	source, peers := &countingSource{}, &switchedPeers{}
	m := New(source, peers, event.Nop(), time.Now)
	ctx := context.Background()
	peers.covered = true
	for _, step := range []func(context.Context) error{m.followPublished, m.followTargets} {
		if err := step(ctx); err != nil || source.calls != 0 {
			t.Fatalf("covered: %d calls, %v", source.calls, err)
		}
	}
	peers.covered = false
	if err := m.followTargets(ctx); err == nil || source.calls != 1 {
		t.Errorf("not covered: %d calls, %v", source.calls, err)
	}
}

type switchedPeers struct {
	nobody
	covered bool
}

func (p *switchedPeers) EnoughReaders() bool { return p.covered }

type countingSource struct{ calls int }

func (s *countingSource) ReadPublished(context.Context) (deployment.PublishedState, int64, error, error) {
	s.calls++
	return deployment.PublishedState{}, 0, nil, errDown
}

func (s *countingSource) WatchPublished(context.Context, deployment.PublishedState, int64, time.Duration) (deployment.PublishedState, int64, error, error) {
	s.calls++
	return deployment.PublishedState{}, 0, nil, errDown
}

func (s *countingSource) ReadTargets(context.Context) (map[string]*deployment.Target, int64, error, error) {
	s.calls++
	return nil, 0, nil, errDown
}
