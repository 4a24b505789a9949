package catalog

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
)

const (
	// watchWait bounds one wait for changes: a connection that fell silent is
	// noticed after it, well within the time in which a configuration must be in
	// force (3 s).
	watchWait = 1500 * time.Millisecond
	// listInterval is the pause between two readings of the targets. A target
	// that leaves must get no request after 3 s; a watch would return with every
	// heartbeat of every target.
	listInterval = 1000 * time.Millisecond
	// retryPause and retryPauseMax bound the pause after a failed call.
	retryPause    = 100 * time.Millisecond
	retryPauseMax = 800 * time.Millisecond
	// staleAfter is the age of the last answer of the store after which other
	// instances are asked; longer than one wait.
	staleAfter = 2500 * time.Millisecond
	// peerInterval is the pause between two looks for news that other instances
	// have; without news it costs no message.
	peerInterval = 100 * time.Millisecond
	// coveredPause is the pause between two looks whether this instance must read
	// the store itself.
	coveredPause = 200 * time.Millisecond
	peerTimeout  = time.Second
)

// Store is the platform's store.
type Store interface {
	ReadPublished(ctx context.Context) (p deployment.PublishedState, revision int64, faults, err error)
	WatchPublished(ctx context.Context, p deployment.PublishedState, after int64, wait time.Duration) (_ deployment.PublishedState, revision int64, faults, err error)
	ReadTargets(ctx context.Context) (targets map[string]*deployment.Target, revision int64, faults, err error)
}

// ChangeRevisions are the revisions at which the parts of a catalog last changed.
type ChangeRevisions struct{ Published, Targets int64 }

// Peers are the other instances.
type Peers interface {
	// EnoughReaders reports whether enough other instances of the failure domain read
	// the store, so that this one can take the catalog from them.
	EnoughReaders() bool
	// FetchSnapshot returns the snapshot of an instance that has seen a later change
	// than have; nil if there is none.
	FetchSnapshot(ctx context.Context, have ChangeRevisions) ([]byte, error)
	// AnnounceChange is called after a change, of which others should know soon.
	AnnounceChange()
}

// Manager keeps the catalog. Lock order: Manager.mu is a leaf lock; readers
// use Current, which takes no lock.
type Manager struct {
	source Store
	peers  Peers
	log    *event.Logger
	now    func() time.Time
	view   atomic.Pointer[View]
	mu     struct {
		sync.Mutex
		published, targets health
	}
}

// health is the state of the calls for one part of the catalog.
type health struct {
	// answered is the last answer; lost is set since a call failed.
	answered  time.Time
	lost      bool
	recovered time.Time
}

// New returns a Manager.
func New(source Store, peers Peers, log *event.Logger, now func() time.Time) *Manager {
	m := &Manager{source: source, peers: peers, log: log, now: now}
	m.view.Store(&View{Targets: map[string]*Entry{}})
	return m
}

// Current returns the newest state.
func (m *Manager) Current() *View { return m.view.Load() }

// Revision is the revision of the store that the instance has seen.
func (m *Manager) Revision() int64 {
	v := m.Current()
	return max(v.PublishedRevision, v.TargetsRevision)
}

// Ages returns the time since the store, or an instance that it answers, last
// confirmed what operators publish and the list of targets.
func (m *Manager) Ages() (published, targets time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	return now.Sub(m.mu.published.answered), now.Sub(m.mu.targets.answered)
}

// Run keeps the catalog until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { m.loop(ctx, m.followPublished) })
	wg.Go(func() { m.loop(ctx, m.followTargets) })
	wg.Go(func() { m.askPeers(ctx) })
	wg.Wait()
	return nil
}

// loop calls step until ctx ends, with a growing pause after failures.
func (m *Manager) loop(ctx context.Context, step func(context.Context) error) {
	pause := retryPause
	for ctx.Err() == nil {
		if step(ctx) == nil {
			pause = retryPause
			continue
		}
		// Instances that lost the store together should not come back together.
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, retryPauseMax)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// followPublished reads what operators publish, then waits for changes until a
// call fails.
func (m *Manager) followPublished(ctx context.Context) error {
	if m.peers.EnoughReaders() {
		sleep(ctx, coveredPause)
		return nil
	}
	p, revision, faults, err := m.source.ReadPublished(ctx)
	for {
		if m.note(&m.mu.published, "configuration", err); err != nil {
			return err
		}
		m.logFaults(event.ConfigRejected, faults)
		m.setPublished(p, revision, revision)
		if m.peers.EnoughReaders() {
			return nil
		}
		p, revision, faults, err = m.source.WatchPublished(ctx, p, revision, watchWait)
	}
}

// followTargets reads the targets once.
func (m *Manager) followTargets(ctx context.Context) error {
	if m.peers.EnoughReaders() {
		sleep(ctx, coveredPause)
		m.sweep()
		return nil
	}
	listed, revision, faults, err := m.source.ReadTargets(ctx)
	if m.note(&m.mu.targets, "targets", err); err != nil {
		return err
	}
	m.logFaults(event.TargetEntryBad, faults)
	m.setTargets(listed, revision, revision)
	sleep(ctx, listInterval)
	m.sweep()
	return nil
}

// note keeps the state of the calls and logs when it changes.
func (m *Manager) note(h *health, part string, err error) {
	m.mu.Lock()
	now := m.now()
	changed := h.lost != (err != nil)
	switch {
	case err == nil && h.lost:
		h.recovered = now
		fallthrough
	case err == nil:
		h.answered = now
	}
	h.lost = err != nil
	m.mu.Unlock()
	switch {
	case !changed:
	case err != nil:
		m.log.Emit(event.StoreLost, zap.String("part", part), zap.Error(err))
	default:
		m.log.Emit(event.StoreRegained, zap.String("part", part))
	}
}

func (m *Manager) logFaults(e event.Event, faults error) {
	if faults != nil {
		m.log.Emit(e, zap.Error(faults))
	}
}

// update replaces the view by what change makes of a copy of it.
func (m *Manager) update(change func(v *View)) (before, after *View) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before = m.view.Load()
	v := *before
	change(&v)
	m.view.Store(&v)
	return before, &v
}

// setPublished takes what operators publish as it was at revision; change is the
// revision that counts for it if it differs from what is known.
func (m *Manager) setPublished(p deployment.PublishedState, revision, change int64) {
	now := m.now()
	before, after := m.update(func(v *View) {
		if revision < v.PublishedRevision || older(p.Config, v.Config) {
			return
		}
		if publishedDiffer(&v.PublishedState, &p) {
			v.PublishedChange = change
		}
		v.EvacuationEnded = restored(v.EvacuationEnded, v.Evacuated, p.Evacuated, now)
		v.PublishedState, v.PublishedRevision = p, revision
	})
	m.logPublished(before, after)
	if before.PublishedChange != after.PublishedChange {
		m.peers.AnnounceChange()
	}
}

// older keeps a configuration from going back, whoever sends it.
func older(c, have *deployment.Config) bool {
	return have != nil && (c == nil || c.Version < have.Version)
}

func (m *Manager) logPublished(before, after *View) {
	if after.Config != nil && (before.Config == nil || before.Config.Version != after.Config.Version) {
		m.log.Emit(event.ConfigApplied, zap.Int64("version", after.Config.Version), zap.Int64("revision", after.PublishedRevision),
			zap.Int("routes", len(after.Config.Routes)), zap.Int("teams", len(after.Config.Teams)))
	}
	for d := range after.Evacuated {
		if !before.Evacuated[d] {
			m.log.Emit(event.DomainEvacuated, zap.String("domain", d), zap.Bool("evacuated", true))
		}
	}
	for d := range before.Evacuated {
		if !after.Evacuated[d] {
			m.log.Emit(event.DomainEvacuated, zap.String("domain", d), zap.Bool("evacuated", false))
		}
	}
}

// setTargets takes the list of targets as it was at revision; see setPublished.
func (m *Manager) setTargets(listed map[string]*deployment.Target, revision, change int64) {
	now := m.now()
	m.mu.Lock()
	keep := !m.mu.targets.recovered.IsZero() && now.Before(m.mu.targets.recovered.Add(graceAfterOutage))
	m.mu.Unlock()
	before, after := m.update(func(v *View) {
		if revision < v.TargetsRevision {
			return
		}
		merged := merge(v.Targets, listed, now, keep)
		if v.TargetsRevision == 0 || differ(v.Targets, merged) {
			v.TargetsChange = change
		}
		v.Targets, v.TargetsRevision = merged, revision
	})
	m.logTargets(before, after)
	if before.TargetsChange != after.TargetsChange {
		m.peers.AnnounceChange()
	}
}

// sweep ends the grace of targets that were kept over an outage.
func (m *Manager) sweep() {
	m.mu.Lock()
	over := !m.mu.targets.lost && m.now().After(m.mu.targets.recovered.Add(graceAfterOutage))
	m.mu.Unlock()
	if !over {
		return
	}
	before, after := m.update(func(v *View) {
		if kept, dropped := sweep(v.Targets); dropped > 0 {
			v.Targets = kept
		}
	})
	m.logTargets(before, after)
}

func (m *Manager) logTargets(before, after *View) {
	for id, e := range after.Targets {
		if old := before.Targets[id]; old == nil || !old.SameIncarnation(&e.Target) || old.Leaving != e.Leaving {
			ev := event.TargetListed
			if e.Leaving {
				ev = event.TargetDropped
			}
			m.log.Emit(ev, zap.String("target", id), zap.String("service", e.Service), zap.String("domain", e.Domain),
				zap.Bool("leaving", e.Leaving), zap.Duration("warmup_left", e.WarmupLeft), zap.Int64("revision", after.TargetsRevision))
		}
	}
	for id, old := range before.Targets {
		if after.Targets[id] == nil {
			m.log.Emit(event.TargetDropped, zap.String("target", id), zap.String("service", old.Service), zap.Bool("gone", true),
				zap.Int64("revision", after.TargetsRevision))
		}
	}
}

// Snapshot is the form in which instances pass on their catalog. It holds
// hashes of keys only.
type Snapshot struct {
	Published         deployment.PublishedState
	PublishedRevision int64
	Targets           map[string]*deployment.Target
	TargetsRevision   int64
	Changes           ChangeRevisions
}

// MarshalSnapshot returns the state for another instance.
func (m *Manager) MarshalSnapshot() ([]byte, error) {
	v := m.Current()
	s := Snapshot{Published: v.PublishedState, PublishedRevision: v.PublishedRevision, TargetsRevision: v.TargetsRevision,
		Changes: ChangeRevisions{v.PublishedChange, v.TargetsChange}, Targets: make(map[string]*deployment.Target, len(v.Targets))}
	now := m.now()
	for id, e := range v.Targets {
		t := e.Target
		t.WarmupLeft = max(e.ColdUntil.Sub(now), 0)
		s.Targets[id] = &t
	}
	return json.Marshal(s)
}

// askPeers takes newer states from other instances while the store is silent.
func (m *Manager) askPeers(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, peerInterval)
		if !m.stale() && !m.peers.EnoughReaders() {
			continue
		}
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		v := m.Current()
		text, err := m.peers.FetchSnapshot(call, ChangeRevisions{v.PublishedChange, v.TargetsChange})
		cancel()
		if err != nil || text == nil {
			continue // nobody knows more, or the next round asks another one
		}
		m.adopt(text)
	}
}

func (m *Manager) stale() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	late := func(h *health) bool { return h.lost || now.Sub(h.answered) > staleAfter }
	return late(&m.mu.published) || late(&m.mu.targets)
}

func (m *Manager) adopt(text []byte) {
	var s Snapshot
	if err := json.Unmarshal(text, &s); err != nil {
		m.log.Emit(event.RowFault, zap.String("part", "snapshot"), zap.Error(err))
		return
	}
	v := m.Current()
	newer := s.Published.Config != nil && s.Changes.Published > v.PublishedChange
	if newer || s.Changes.Targets > v.TargetsChange {
		m.log.Emit(event.SnapshotTaken, zap.Int64("published_change", s.Changes.Published), zap.Int64("targets_change", s.Changes.Targets))
	}
	if newer {
		m.setPublished(s.Published, s.PublishedRevision, s.Changes.Published)
		m.update(func(v *View) { v.PublishedChange = max(v.PublishedChange, s.Changes.Published) })
	}
	if s.Changes.Targets > v.TargetsChange {
		m.setTargets(s.Targets, s.TargetsRevision, s.Changes.Targets)
		m.update(func(v *View) { v.TargetsChange = max(v.TargetsChange, s.Changes.Targets) })
	}
}

// StoreAnswers reports whether the store answers this instance, so that others
// may rely on it.
func (m *Manager) StoreAnswers() bool { return !m.stale() }
