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

// fakeClock is a manually advanced clock.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) read() time.Time { c.mu.Lock(); defer c.mu.Unlock(); return c.now }
func (c *fakeClock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// noPeers implements Peers for an instance that knows no other.
type noPeers struct{}

func (noPeers) EnoughReaders(int64) bool { return false }
func (noPeers) StoreAnswers() bool       { return false }
func (noPeers) FetchSnapshot(context.Context, Known, bool) ([]byte, string, error) {
	return nil, "", nil
}
func (noPeers) AnnounceChange() {}

var errDown = errors.New("the store is down")

// rev returns a revision of a store that does not tell its era.
func rev(number int64) deployment.Revision { return deployment.Revision{Number: number} }

// applyTargets applies a list that was read just now.
func (m *Manager) applyTargets(listed map[string]*deployment.Target, revision, change deployment.Revision, source string) {
	m.applyTargetsReadAt(m.now(), listed, revision, change, source)
}

// applySnapshot applies a snapshot that was fetched just now.
func (m *Manager) applySnapshot(snapshot []byte, from string) {
	m.applySnapshotReadAt(m.now(), snapshot, from)
}

func newManager() (*Manager, *fakeClock) {
	c := &fakeClock{now: time.Unix(1000, 0)}
	return New(nil, noPeers{}, event.Nop(), c.read), c
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

// The store may return an older configuration version under a later revision, or
// none at all. Neither may replace a newer configuration in force.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	m, _ := newManager()
	m.applyPublished(published(7), rev(20), rev(20))
	m.applyPublished(published(5), rev(30), rev(30)) // an old version under a later revision
	m.applyPublished(published(6), rev(10), rev(10))
	m.applyPublished(deployment.PublishedState{}, rev(40), rev(40))
	if v := m.Current(); v.Config == nil || v.Config.Version != 7 {
		t.Fatalf("in force: %+v", v.Config)
	}
	m.applyPublished(published(9), rev(50), rev(50))
	if v := m.Current(); v.Config.Version != 9 {
		t.Errorf("in force: version %d", v.Config.Version)
	}
}

// Guards against evacuations that wait for a usable configuration.
func TestEvacuationTakesEffectWithUnusableConfiguration(t *testing.T) {
	for name, unusable := range map[string]deployment.PublishedState{
		"none decoded": {Evacuated: map[string]bool{"d": true}},
		"older":        published(5, "d"),
	} {
		m, _ := newManager()
		m.applyPublished(published(7), rev(20), rev(20))
		m.applyPublished(unusable, rev(30), rev(30))
		v := m.Current()
		if v.Config == nil || v.Config.Version != 7 || !v.Evacuated["d"] {
			t.Errorf("%s: in force: %+v", name, v.PublishedState)
		}
		if v.PublishedChange != rev(30) {
			t.Errorf("%s: the evacuation is a change at revision %v, want 30", name, v.PublishedChange)
		}
		snapshot, err := m.MarshalSnapshot()
		if err != nil {
			t.Fatal(err)
		}
		other, _ := newManager()
		other.applySnapshot(snapshot, "peer")
		if !other.Current().Evacuated["d"] {
			t.Errorf("%s: the evacuation does not reach other instances", name)
		}
	}
}

// Entries of live targets expire during an outage of the store. If the first
// listing after it were used as it is, these targets would be dropped until they
// are listed again. Without an outage an unlisted target is dropped at once.
func TestUnlistedTargetsAreRetainedAfterOutage(t *testing.T) {
	m, c := newManager()
	a, b := deployment.Target{ID: "a", Service: "s", StartedMS: 1}, deployment.Target{ID: "b", Service: "s", StartedMS: 1}
	m.recordResult(&m.mu.targets, "targets", nil)
	m.applyTargets(listing(a, b), rev(10), rev(10), sourceStore)
	m.applyTargets(listing(a), rev(11), rev(11), sourceStore)
	if m.Current().Targets["b"] != nil {
		t.Fatal("an unlisted target is retained without an outage")
	}
	m.applyTargets(listing(a, b), rev(12), rev(12), sourceStore)
	m.recordResult(&m.mu.targets, "targets", errDown)
	c.add(10 * time.Second)
	m.recordResult(&m.mu.targets, "targets", nil)
	m.applyTargets(listing(b), rev(13), rev(13), sourceStore)
	if m.Current().Targets["a"] == nil {
		t.Fatal("a target whose entry expired during the outage was dropped at once")
	}
	c.add(time.Second)
	m.expireRetained()
	if m.Current().Targets["a"] == nil {
		t.Fatal("the target was dropped before it could be listed again")
	}
	c.add(2 * time.Second)
	m.expireRetained()
	if m.Current().Targets["a"] != nil || m.Current().Targets["b"] == nil {
		t.Errorf("after the grace period: %v", m.Current().Targets)
	}
}

// A writer can put an outdated entry back into the store. It must not replace a
// later entry of the same incarnation; an entry of a new incarnation must.
func TestOutdatedEntryOfIncarnationIsIgnored(t *testing.T) {
	m, _ := newManager()
	m.applyTargets(listing(deployment.Target{ID: "a", StartedMS: 5, Sequence: 9, Leaving: true}), rev(10), rev(10), sourceStore)
	m.applyTargets(listing(deployment.Target{ID: "a", StartedMS: 5, Sequence: 8}), rev(11), rev(11), sourceStore)
	if !m.Current().Targets["a"].Leaving {
		t.Error("an outdated entry made a leaving target available again")
	}
	m.applyTargets(listing(deployment.Target{ID: "a", StartedMS: 6, Sequence: 1}), rev(12), rev(12), sourceStore)
	if m.Current().Targets["a"].Leaving {
		t.Error("the entry of a new incarnation was ignored")
	}
}

// A target that is warming up must not get its full load. The warm-up counts from
// the first read of an entry, and starts again when an evacuation of the failure
// domain ends.
func TestWarmup(t *testing.T) {
	m, c := newManager()
	m.applyPublished(published(1, "d"), rev(1), rev(1))
	m.applyTargets(listing(deployment.Target{ID: "a", Service: "s", Domain: "d", WarmupLeft: 2 * time.Second, Sequence: 1}), rev(2), rev(2), sourceStore)
	e := m.Current().Targets["a"]
	if !m.Current().WarmingUp(e, c.read().Add(1900*time.Millisecond)) || m.Current().WarmingUp(e, c.read().Add(2100*time.Millisecond)) {
		t.Error("the warm-up of the listing is ignored")
	}
	c.add(time.Second)
	m.applyTargets(listing(deployment.Target{ID: "a", Service: "s", Domain: "d", WarmupLeft: 2 * time.Second, Sequence: 1}), rev(3), rev(3), sourceStore)
	if e := m.Current().Targets["a"]; m.Current().WarmingUp(e, c.read().Add(1100*time.Millisecond)) {
		t.Error("reading the same entry again extended the warm-up")
	}
	c.add(time.Minute)
	m.applyPublished(published(1), rev(4), rev(4))
	if !m.Current().WarmingUp(m.Current().Targets["a"], c.read().Add(time.Second)) || m.Current().WarmingUp(m.Current().Targets["a"], c.read().Add(4*time.Second)) {
		t.Error("after an evacuation the targets must warm up again, for the warm-up of the service")
	}
}

// An instance that cannot reach the store takes the snapshot of a peer, but no
// state older than its own. A snapshot that cannot be decoded is ignored.
func TestSnapshotOfPeer(t *testing.T) {
	a, _ := newManager()
	b, _ := newManager()
	a.applyPublished(published(4, "d"), rev(40), rev(40))
	a.applyTargets(listing(deployment.Target{ID: "x", Service: "s"}), rev(41), rev(41), sourceStore)
	snapshot, err := a.MarshalSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	b.applySnapshot(snapshot, "peer")
	if v := b.Current(); v.Config == nil || v.Config.Version != 4 || !v.Evacuated["d"] || v.Targets["x"] == nil || b.Revision() != rev(41) {
		t.Fatalf("after the snapshot: %+v", v)
	}
	b.applyPublished(published(6), rev(60), rev(60))
	b.applySnapshot(snapshot, "peer")
	if v := b.Current(); v.Config.Version != 6 || v.Evacuated["d"] {
		t.Errorf("an older snapshot was applied: %+v", v.PublishedState)
	}
	b.applySnapshot([]byte("{"), "peer")
}

// Every change makes other instances fetch a snapshot. The heartbeats of targets,
// which only raise the sequence, must not count as changes; what affects the
// choice of targets or the configuration must.
func TestOnlyRelevantChangesCount(t *testing.T) {
	m, _ := newManager()
	target := deployment.Target{ID: "a", Service: "s", Sequence: 1}
	m.applyTargets(listing(target), rev(10), rev(10), sourceStore)
	target.Sequence = 2
	m.applyTargets(listing(target), rev(11), rev(11), sourceStore)
	if got := m.Current().TargetsChange; got != rev(10) {
		t.Errorf("a heartbeat counts as a change at %v", got)
	}
	target.Sequence, target.Leaving = 3, true
	m.applyTargets(listing(target), rev(12), rev(12), sourceStore)
	if got := m.Current().TargetsChange; got != rev(12) {
		t.Errorf("a leaving target is a change at revision %v, want 12", got)
	}
	m.applyPublished(published(3), rev(20), rev(20))
	m.applyPublished(published(3), rev(21), rev(21))
	m.applyPublished(published(3, "d"), rev(22), rev(22))
	if got := m.Current().PublishedChange; got != rev(22) {
		t.Errorf("an evacuation is a change at revision %v, want 22", got)
	}
}

// If all instances read the store, its load grows with their number. An instance
// must not call it while enough others do, and must read it again once they no
// longer do.
func TestStoreIsNotReadWithEnoughReaders(t *testing.T) {
	store, peers := &countingStore{}, &fakePeers{}
	m := New(store, peers, event.Nop(), time.Now)
	ctx := context.Background()
	peers.enoughReaders = true
	for _, step := range []func(context.Context) error{m.followPublished, m.pollTargets} {
		if err := step(ctx); err != nil || store.calls != 0 {
			t.Fatalf("enough readers: %d calls, %v", store.calls, err)
		}
	}
	peers.enoughReaders = false
	if err := m.pollTargets(ctx); err == nil || store.calls != 1 {
		t.Errorf("not enough readers: %d calls, %v", store.calls, err)
	}
}

type fakePeers struct {
	noPeers
	enoughReaders bool
	era           int64 // of the last call of EnoughReaders
}

func (p *fakePeers) EnoughReaders(era int64) bool { p.era = era; return p.enoughReaders }

type countingStore struct{ calls int }

func (s *countingStore) ReadPublished(context.Context) (deployment.PublishedState, deployment.Revision, error, error) {
	s.calls++
	return deployment.PublishedState{}, deployment.Revision{}, nil, errDown
}

func (s *countingStore) WatchPublished(context.Context, deployment.PublishedState, deployment.Revision, time.Duration) (deployment.PublishedState, deployment.Revision, error, error) {
	s.calls++
	return deployment.PublishedState{}, deployment.Revision{}, nil, errDown
}

func (s *countingStore) ReadTargets(context.Context) (map[string]*deployment.Target, deployment.Revision, error, error) {
	s.calls++
	return nil, deployment.Revision{}, nil, errDown
}

// An entry that the earlier incarnation wrote may arrive after that of a target that
// has restarted under its old id.
func TestLateEntryOfEarlierIncarnationDoesNotEndWarmup(t *testing.T) {
	m, c := newManager()
	m.applyPublished(published(1), rev(1), rev(1))
	m.applyTargets(listing(deployment.Target{ID: "a", Service: "s", Domain: "d", WarmupLeft: 3 * time.Second, Sequence: 1, StartedMS: 2000}), rev(2), rev(2), sourceStore)
	c.add(500 * time.Millisecond)
	m.applyTargets(listing(deployment.Target{ID: "a", Service: "s", Domain: "d", Sequence: 9, StartedMS: 1000}), rev(3), rev(3), sourceStore)
	if e := m.Current().Targets["a"]; !m.Current().WarmingUp(e, c.read().Add(2*time.Second)) {
		t.Error("the target counts as warm 2.5 s after its restart")
	}
	c.add(lateEntryPeriod)
	m.applyTargets(listing(deployment.Target{ID: "a", Service: "s", Domain: "d", Sequence: 1, StartedMS: 1500}), rev(4), rev(4), sourceStore)
	if e := m.Current().Targets["a"]; e.StartedMS != 1500 {
		t.Error("a restart of a target whose clock was set back goes unnoticed")
	}
}
