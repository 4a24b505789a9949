package catalog

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
)

const (
	// testDropDelay is how long after its removal a target may be listed: the least
	// drain_ms of the deployments (3 s) less the time that a request may take to
	// connect (500 ms).
	testDropDelay = 2500 * time.Millisecond
	// testContactPeriod is the least contact_ms of the deployments: the drop delay
	// holds for instances without trouble for that long.
	testContactPeriod = 5 * time.Second
	// testLapsePeriod is how long the entries of live targets may be missing after
	// an outage of the store.
	testLapsePeriod = 2 * time.Second
	// testStoreLatency is the response time of the store.
	testStoreLatency = 20 * time.Millisecond
	// testConfigDelay is the least config_apply_ms of the deployments.
	testConfigDelay = 3 * time.Second
	// testWatchTick is how often a watch looks for changes.
	testWatchTick = 50 * time.Millisecond
)

var errRestored = errors.New("the store was restored")

// testStore is a store whose content changes while instances read it. Its methods
// are called within a synctest bubble.
type testStore struct {
	mu sync.Mutex
	storeContent
	era int64
}

// storeContent is what a testStore holds. The maps are not changed in place.
type storeContent struct {
	revision  int64
	targets   map[string]*deployment.Target
	published deployment.PublishedState
}

func (s *testStore) change(f func(targets map[string]*deployment.Target)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	targets := maps.Clone(s.targets)
	f(targets)
	s.targets = targets
}

// publish makes the store return p from now on.
func (s *testStore) publish(p deployment.PublishedState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	p.ChangedAt = s.revision
	s.published = p
}

// content returns a copy of what the store holds.
func (s *testStore) content() storeContent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeContent
}

// restore replaces what the store holds by an older copy of it.
func (s *testStore) restore(older storeContent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeContent = older
	s.era++
}

func (s *testStore) list(id string) {
	s.change(func(targets map[string]*deployment.Target) {
		targets[id] = &deployment.Target{ID: id, Service: "s", Address: "192.0.2.1:80", Domain: "d", Slots: 1, StartedMS: 1, Sequence: testSequence()}
	})
}

// testSequence returns the sequence of the next entry of a target, which does not go
// back with the store.
func testSequence() int64 { return time.Now().UnixNano() }

func (s *testStore) remove(id string) {
	s.change(func(targets map[string]*deployment.Target) { delete(targets, id) })
}

func (s *testStore) read() (storeContent, deployment.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeContent, deployment.Revision{Era: s.era, Number: s.revision}
}

// testInstance is one instance of a testFleet. It implements Store and Peers for
// its Manager.
type testInstance struct {
	fleet   *testFleet
	index   int
	manager *Manager
	stop    context.CancelFunc

	mu sync.Mutex
	// refused makes the calls of this instance to the store fail. isolated cuts it
	// off from the other instances.
	refused, isolated, stopped bool
	// reads counts the successful reads of the targets.
	reads int
	// clockOffset is the difference of the instance's time of day from that of others.
	clockOffset time.Duration
}

// testFleet is a failure domain of instances that share a store.
type testFleet struct {
	store     *testStore
	instances []*testInstance
	running   sync.WaitGroup
}

func newTestFleet(n int, targets ...string) *testFleet {
	f := &testFleet{store: &testStore{era: 1, storeContent: storeContent{targets: map[string]*deployment.Target{}, published: published(1)}}}
	for _, id := range targets {
		f.store.list(id)
	}
	for i := range n {
		f.instances = append(f.instances, &testInstance{fleet: f, index: i, clockOffset: time.Duration(i-n/2) * time.Hour})
	}
	for _, i := range f.instances {
		i.start()
	}
	return f
}

func (f *testFleet) stop() {
	for _, i := range f.instances {
		i.stop()
	}
	f.running.Wait()
}

// setRefused makes the store fail the calls of all instances.
func (f *testFleet) setRefused(refused bool) {
	for _, i := range f.instances {
		i.setRefused(refused)
	}
}

// checkDropped checks that no instance but except lists the removed target b.
func (f *testFleet) checkDropped(t *testing.T, phase int, except *testInstance) {
	t.Helper()
	for _, i := range f.instances {
		if i != except && i.lists("b") {
			t.Errorf("phase %d: instance %d lists a removed target", phase, i.index)
		}
	}
}

// start runs a new Manager, as after a restart of the process.
func (i *testInstance) start() {
	ctx, cancel := context.WithCancel(context.Background())
	m := New(i, i, event.Nop(), func() time.Time { return time.Now().Add(i.clockOffset) })
	i.mu.Lock()
	defer i.mu.Unlock()
	i.manager, i.stop, i.stopped = m, func() { cancel(); i.setStopped() }, false
	i.fleet.running.Go(func() { _ = m.Run(ctx) })
}

func (i *testInstance) setStopped() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopped = true
}

func (i *testInstance) setRefused(refused bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.refused = refused
}

func (i *testInstance) setIsolated(isolated bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.isolated = isolated
}

func (i *testInstance) readCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.reads
}

// currentManager returns the manager of the running process; another instance may
// be asking for it while this one starts again.
func (i *testInstance) currentManager() *Manager {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.manager
}

func (i *testInstance) lists(id string) bool { return i.currentManager().Current().Targets[id] != nil }

// reachable reports whether the instance runs and is not isolated.
func (i *testInstance) reachable() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.stopped && !i.isolated
}

func (i *testInstance) call(ctx context.Context) error {
	sleep(ctx, testStoreLatency)
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.refused {
		return errDown
	}
	return ctx.Err()
}

// ReadPublished implements Store.
func (i *testInstance) ReadPublished(ctx context.Context) (deployment.PublishedState, deployment.Revision, error, error) {
	err := i.call(ctx)
	c, revision := i.fleet.store.read()
	return c.published, revision, nil, err
}

// WatchPublished implements Store.
func (i *testInstance) WatchPublished(ctx context.Context, p deployment.PublishedState, after deployment.Revision, wait time.Duration) (deployment.PublishedState, deployment.Revision, error, error) {
	for end := time.Now().Add(wait); ; sleep(ctx, testWatchTick) {
		c, revision := i.fleet.store.read()
		if revision.Era != after.Era || revision.Before(after) {
			return p, after, nil, errRestored
		}
		if changed := c.published.ChangedAt > after.Number; changed || !time.Now().Before(end) || ctx.Err() != nil {
			return c.published, revision, nil, i.call(ctx)
		}
	}
}

// ReadTargets implements Store.
func (i *testInstance) ReadTargets(ctx context.Context) (map[string]*deployment.Target, deployment.Revision, error, error) {
	if err := i.call(ctx); err != nil {
		return nil, deployment.Revision{}, nil, err
	}
	i.mu.Lock()
	i.reads++
	i.mu.Unlock()
	c, revision := i.fleet.store.read()
	return c.targets, revision, nil, nil
}

// reachablePeers returns the other instances that can be reached from this one.
func (i *testInstance) reachablePeers() []*testInstance {
	var out []*testInstance
	for _, p := range i.fleet.instances {
		if p != i && i.reachable() && p.reachable() {
			out = append(out, p)
		}
	}
	return out
}

// EnoughReaders implements Peers: the first two instances read the store.
func (i *testInstance) EnoughReaders(era int64) bool {
	n := 0
	for _, p := range i.reachablePeers() {
		if m := p.currentManager(); p.index < i.index && m.StoreAnswers() && m.Revision().Era >= era {
			n++
		}
	}
	return n >= 2
}

// StoreAnswers implements Peers.
func (i *testInstance) StoreAnswers() bool {
	return slices.ContainsFunc(i.reachablePeers(), func(p *testInstance) bool { return p.currentManager().StoreAnswers() })
}

// FetchSnapshot implements Peers.
func (i *testInstance) FetchSnapshot(_ context.Context, have Known, _ bool) ([]byte, string, error) {
	peers := i.reachablePeers()
	rand.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	for _, p := range peers {
		m := p.currentManager()
		if m.Current().Known().LaterThan(have) {
			snapshot, err := m.MarshalSnapshot()
			return snapshot, fmt.Sprint(p.index), err
		}
	}
	return nil, "", nil
}

// AnnounceChange implements Peers.
func (i *testInstance) AnnounceChange() {}

// inBubble runs f with virtual time on a fleet of n instances that list a and b.
func inBubble(t *testing.T, n int, f func(t *testing.T, fleet *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(n, "a", "b")
		defer fleet.stop()
		time.Sleep(testContactPeriod)
		f(t, fleet)
	})
}

// waitForRead waits until the instance reads the targets once more.
func waitForRead(t *testing.T, i *testInstance) {
	t.Helper()
	deadline := time.Now().Add(testContactPeriod)
	for before := i.readCount(); i.readCount() == before; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("instance %d does not read the store", i.index)
		}
	}
}

// Guards against targets that stay listed behind a reader that has recovered.
func TestTargetRetainedByReaderIsNotPassedOn(t *testing.T) {
	for phase := range 20 {
		inBubble(t, 4, func(t *testing.T, fleet *testFleet) {
			recovering := fleet.instances[phase%2]
			recovering.setRefused(true)
			time.Sleep(testContactPeriod)
			recovering.setRefused(false)
			waitForRead(t, recovering)
			time.Sleep(time.Duration(phase) * 100 * time.Millisecond)
			fleet.store.remove("b")
			time.Sleep(testDropDelay)
			fleet.checkDropped(t, phase, recovering)
			time.Sleep(testContactPeriod)
			if recovering.lists("b") {
				t.Errorf("phase %d: the reader still lists the target", phase)
			}
		})
	}
}

// Guards against targets that come back at instances that had no outage.
func TestTargetRetainedByIsolatedReaderIsNotPassedOn(t *testing.T) {
	for phase := range 400 {
		inBubble(t, 4, func(t *testing.T, fleet *testFleet) {
			removedBefore := time.Duration(phase%20) * 200 * time.Millisecond
			isolated := fleet.instances[phase%2]
			isolated.setRefused(true)
			isolated.setIsolated(true)
			time.Sleep(testContactPeriod - removedBefore)
			fleet.store.remove("b")
			time.Sleep(removedBefore)
			fleet.store.change(func(map[string]*deployment.Target) {}) // the reader's list gets a later revision
			isolated.setRefused(false)
			isolated.setIsolated(false)
			time.Sleep(testDropDelay)
			fleet.checkDropped(t, phase, isolated)
		})
	}
}

// Guards against an old failed call that counts as an outage at the next read.
func TestReaderTakingOverDropsRemovedTargets(t *testing.T) {
	for phase := range 40 {
		inBubble(t, 4, func(t *testing.T, fleet *testFleet) {
			fleet.setRefused(true)
			time.Sleep(testContactPeriod)
			fleet.setRefused(false)
			time.Sleep(2 * testContactPeriod)
			fleet.instances[0].stop()
			waitForRead(t, fleet.instances[2])
			time.Sleep(time.Duration(phase) * 10 * time.Millisecond)
			fleet.store.remove("b")
			time.Sleep(testDropDelay)
			fleet.checkDropped(t, phase, fleet.instances[0])
		})
	}
}

// Guards against a grace period that lasts as long as the next outage.
func TestRetainedTargetExpiresWhileStoreFails(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, fleet *testFleet) {
		fleet.setRefused(true)
		time.Sleep(testContactPeriod)
		fleet.store.remove("b")
		fleet.setRefused(false)
		waitForRead(t, fleet.instances[0])
		time.Sleep(100 * time.Millisecond)
		if !fleet.instances[0].lists("b") {
			t.Fatal("a target that may have lapsed in the outage was dropped at once")
		}
		fleet.setRefused(true)
		time.Sleep(testDropDelay)
		if fleet.instances[0].lists("b") {
			t.Errorf("the target is listed %s after the store was back", testDropDelay)
		}
	})
}

// Guards against live targets that are dropped because their entries lapsed.
func TestLapsedTargetsAreRetainedAtAllInstances(t *testing.T) {
	for phase := range 10 {
		inBubble(t, 4, func(t *testing.T, fleet *testFleet) {
			fleet.setRefused(true)
			time.Sleep(testContactPeriod + time.Duration(phase)*100*time.Millisecond)
			fleet.store.remove("b")
			fleet.setRefused(false)
			for range 20 {
				time.Sleep(testLapsePeriod / 20)
				for _, i := range fleet.instances {
					if !i.lists("b") {
						t.Fatalf("phase %d: instance %d dropped a target whose entry lapsed in the outage", phase, i.index)
					}
				}
			}
			fleet.store.list("b")
			time.Sleep(testContactPeriod)
			for _, i := range fleet.instances {
				if !i.lists("b") {
					t.Errorf("phase %d: instance %d does not list a target that is back", phase, i.index)
				}
			}
		})
	}
}
