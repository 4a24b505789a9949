package catalog

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
)

const (
	// watchTimeout bounds one long poll for changes. It is also the time after
	// which an unresponsive connection is detected, well within the 3 s in which a
	// new configuration must be in force.
	watchTimeout = 1500 * time.Millisecond
	// listInterval is the interval between reads of the list of targets. A target
	// that leaves must get no request after 3 s. The list is polled because a watch
	// would return on every heartbeat of every target.
	listInterval = 1000 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff after a failed call, before
	// jitter.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// staleAfter is the age of the last response of the store after which other
	// instances are asked for a snapshot. It is longer than watchTimeout.
	staleAfter = 2500 * time.Millisecond
	// peerPollInterval is the interval between checks for newer state at other
	// instances. A check without an update sends no message.
	peerPollInterval = 100 * time.Millisecond
	// maxSupplyGap is the longest time without any contact to the store that is no
	// outage. Entries of targets lapse only after several seconds.
	maxSupplyGap = time.Second
	// readerCheckInterval is the interval between checks whether this instance has
	// to read the store itself.
	readerCheckInterval = 200 * time.Millisecond
	peerTimeout         = time.Second
)

// sourceStore is the source of a list of targets that this instance has read from
// the store; otherwise the source is the name of another instance.
const sourceStore = "store"

// Store reads the platform's store. The faults returned are those of single
// items that could not be decoded.
type Store interface {
	ReadPublished(ctx context.Context) (p deployment.PublishedState, revision deployment.Revision, faults, err error)
	WatchPublished(ctx context.Context, p deployment.PublishedState, after deployment.Revision, wait time.Duration) (_ deployment.PublishedState, revision deployment.Revision, faults, err error)
	ReadTargets(ctx context.Context) (targets map[string]*deployment.Target, revision deployment.Revision, faults, err error)
}

// Peers gives access to the catalogs of the other instances.
type Peers interface {
	// EnoughReaders reports whether enough other instances of the failure domain
	// read the store, so that this one can take the catalog from them. Those whose
	// catalog is of an era before the given one do not count.
	EnoughReaders(era int64) bool
	// StoreAnswers reports whether the store answers any other instance that is
	// reachable from this one.
	StoreAnswers() bool
	// FetchSnapshot returns the JSON of a Snapshot from an instance that has seen
	// anything later than have, and the name of that instance; nil if there is none.
	// Only one call is made at a time.
	// With localOnly, only instances of the failure domain are asked.
	FetchSnapshot(ctx context.Context, have Known, localOnly bool) (snapshot []byte, from string, err error)
	// AnnounceChange makes other instances learn of a change without delay.
	AnnounceChange()
}

// Manager keeps the catalog up to date. Lock order: Manager.mu is a leaf lock;
// readers use Current, which takes no lock.
type Manager struct {
	store Store
	peers Peers
	log   *event.Logger
	now   func() time.Time
	view  atomic.Pointer[View]
	// refresh receives a value if the list of targets is to be read at once.
	refresh chan struct{}
	newer   newerState
	// ignoredStates counts the states of the store that were older than the known one.
	ignoredStates atomic.Int64
	mu            struct {
		sync.Mutex
		published, targets storeHealth
		// lastSupplied is when the store last answered this instance or another that
		// it can reach, and outageEnded when it did so after more than maxSupplyGap or
		// came back from an older copy.
		lastSupplied, outageEnded time.Time
		// olderConfig is the last version of a configuration of the store that was older
		// than the one in force.
		olderConfig int64
		// restoredAt is when a list of targets of a new era was first read here.
		restoredAt time.Time
		// departed holds the last entries of targets that are no longer listed.
		departed departures
	}
}

// New returns a Manager with an empty catalog; Run fills it.
func New(store Store, peers Peers, log *event.Logger, now func() time.Time) *Manager {
	m := &Manager{store: store, peers: peers, log: log, now: now, refresh: make(chan struct{}, 1)}
	m.mu.departed = departures{}
	m.view.Store(&View{Targets: map[string]*Entry{}})
	return m
}

// Current returns the latest view, which is never nil.
func (m *Manager) Current() *View { return m.view.Load() }

// Refresh makes this instance read the list of targets at once, also if it takes the
// list from others.
func (m *Manager) Refresh() {
	select {
	case m.refresh <- struct{}{}:
	default:
	}
}

// Revision returns the latest revision of the store that this instance has seen.
func (m *Manager) Revision() deployment.Revision {
	v := m.Current()
	return v.PublishedRevision.Later(v.TargetsRevision)
}

// IgnoredStates returns how many states of the store were older than the known one.
func (m *Manager) IgnoredStates() int64 { return m.ignoredStates.Load() }

// Ages returns the time since the store last confirmed the published state and
// the list of targets to this instance.
func (m *Manager) Ages() (published, targets time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	return now.Sub(m.mu.published.lastSuccess), now.Sub(m.mu.targets.lastSuccess)
}

// Run keeps the catalog up to date until ctx is done.
func (m *Manager) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { m.runWithBackoff(ctx, m.followPublished) })
	wg.Go(func() { m.runWithBackoff(ctx, m.pollTargets) })
	wg.Go(func() { m.pollPeers(ctx) })
	wg.Go(func() { m.watchSupply(ctx) })
	wg.Wait()
	return nil
}

// runWithBackoff calls step until ctx is done, with exponential backoff after
// failures.
func (m *Manager) runWithBackoff(ctx context.Context, step func(context.Context) error) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if step(ctx) == nil {
			backoff = minBackoff
			continue
		}
		// The jitter spreads the retries of instances whose calls failed at the same
		// time.
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
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

// followPublished reads the published state, then watches it until a call fails
// or enough other instances read the store.
func (m *Manager) followPublished(ctx context.Context) error {
	if m.enoughReaders() {
		sleep(ctx, readerCheckInterval)
		return nil
	}
	p, revision, faults, err := m.store.ReadPublished(ctx)
	for {
		if m.recordResult(&m.mu.published, "configuration", err); err != nil {
			return err
		}
		m.logFaults(event.ConfigRejected, faults)
		m.recordRevision(&m.mu.published, "configuration", revision, m.Current().PublishedRevision)
		m.recordOlderConfig(p.Config)
		m.applyPublished(p, revision, m.changeOf(&p, revision))
		if m.enoughReaders() {
			return nil
		}
		p, revision, faults, err = m.store.WatchPublished(ctx, p, revision, watchTimeout)
	}
}

// pollTargets reads the targets, unless enough other instances read the store, and
// waits for the next read. After a call of Refresh it reads them at once.
func (m *Manager) pollTargets(ctx context.Context) error {
	if m.enoughReaders() && !m.waitRefresh(ctx, readerCheckInterval) {
		return nil
	}
	for {
		if err := m.readTargets(ctx); err != nil {
			return err
		}
		if !m.waitRefresh(ctx, listInterval) {
			return nil
		}
	}
}

func (m *Manager) readTargets(ctx context.Context) error {
	begun := m.now()
	listed, revision, faults, err := m.store.ReadTargets(ctx)
	if m.recordResult(&m.mu.targets, "targets", err); err != nil {
		return err
	}
	m.logFaults(event.TargetEntryInvalid, faults)
	m.recordRevision(&m.mu.targets, "targets", revision, m.Current().TargetsRevision)
	m.applyTargetsReadAt(begun, listed, revision, revision, sourceStore)
	return nil
}

func (m *Manager) enoughReaders() bool { return m.peers.EnoughReaders(m.Revision().Era) }

// announceChange lets other instances fetch a change, if this one reads the store; the
// others get it from the readers.
func (m *Manager) announceChange() {
	if !m.enoughReaders() {
		m.peers.AnnounceChange()
	}
}

// waitRefresh waits for a call of Refresh or until d has passed, and reports whether
// there was one.
func (m *Manager) waitRefresh(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return false
	case <-m.refresh:
		return true
	}
}

func (m *Manager) logFaults(e event.Event, faults error) {
	if faults != nil {
		m.log.Emit(e, zap.Error(faults))
	}
}

// update applies change to a copy of the view and makes the copy current. change is
// called with m.mu held.
func (m *Manager) update(change func(v *View)) (before, after *View) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before = m.view.Load()
	v := *before
	change(&v)
	m.view.Store(&v)
	return before, &v
}

// applyPublished makes p current unless it is older than the current view, except
// for a missing or older configuration. p is the published state at revision;
// change becomes the PublishedChange of the view if p differs from what is known.
//
// The evacuations are those of the latest revision. The configuration is the one with
// the highest version, whatever its revision is: the store may come back from an older
// copy, its operators never publish an older version.
func (m *Manager) applyPublished(p deployment.PublishedState, revision, change deployment.Revision) {
	now := m.now()
	before, after := m.update(func(v *View) {
		if isOlder(p.Config, v.Config) {
			p.Config = v.Config
		}
		if revision.Before(v.PublishedRevision) {
			v.Config = p.Config
			return
		}
		restored := restored(v.PublishedRevision, revision)
		if restored || v.publishedDiffers(&p) {
			v.PublishedChange = change
		}
		v.Config, v.ChangedAt, v.PublishedRevision = p.Config, p.ChangedAt, revision
		v.setEvacuated(p.Evacuated, restored, now)
	})
	m.logPublished(before, after)
	if before.PublishedRevision != after.PublishedRevision || before.Config != after.Config {
		m.notifyPublished()
	}
	if before.PublishedChange != after.PublishedChange || before.configVersion() != after.configVersion() {
		m.announceChange()
	}
}

// changeOf returns the revision of the last change that led to p, which was read at
// revision. Instances that read the same state at different revisions agree on it, so
// that none fetches from another what it knows already. If the items of p do not tell,
// as they do not of a key that was removed before, it is the revision of the reading.
func (m *Manager) changeOf(p *deployment.PublishedState, revision deployment.Revision) deployment.Revision {
	v := m.Current()
	change := deployment.Revision{Era: revision.Era, Number: p.ChangedAt}
	if p.ChangedAt <= 0 || revision.Before(change) || !v.PublishedChange.Before(change) && v.publishedDiffers(p) {
		return revision
	}
	return change
}

// isOlder reports whether c is older than have. Versions are compared in addition
// to revisions, so that neither the store nor a peer can bring an older
// configuration back.
func isOlder(c, have *deployment.Config) bool {
	return have != nil && (c == nil || c.Version < have.Version)
}

func (m *Manager) logPublished(before, after *View) {
	if after.Config != nil && (before.Config == nil || before.Config.Version != after.Config.Version) {
		m.log.Emit(event.ConfigApplied, zap.Int64("version", after.Config.Version), zap.Int64("revision", after.PublishedRevision.Number),
			zap.Int64("era", after.PublishedRevision.Era), zap.Int("routes", len(after.Config.Routes)), zap.Int("teams", len(after.Config.Teams)))
	}
	for d := range after.Evacuated {
		if !before.Evacuated[d] {
			m.log.Emit(event.DomainEvacuationChanged, zap.String("domain", d), zap.Bool("evacuated", true))
		}
	}
	for d := range before.Evacuated {
		if !after.Evacuated[d] {
			m.log.Emit(event.DomainEvacuationChanged, zap.String("domain", d), zap.Bool("evacuated", false))
		}
	}
	for d, until := range after.EvacuationRetained {
		if before.EvacuationRetained[d].IsZero() {
			m.log.Emit(event.EvacuationRetained, zap.String("domain", d), zap.Duration("at_most", until.Sub(m.now())),
				zap.Int64("era", after.PublishedRevision.Era), zap.Int64("revision", after.PublishedRevision.Number))
		}
	}
}

// applyTargetsReadAt merges the list of targets at revision, whose reading from source
// began at readAt; see applyPublished.
func (m *Manager) applyTargetsReadAt(readAt time.Time, listed map[string]*deployment.Target, revision, change deployment.Revision, source string) {
	now := m.now()
	before, after := m.update(func(v *View) {
		if revision.Before(v.TargetsRevision) {
			return
		}
		restored := restored(v.TargetsRevision, revision)
		if restored {
			m.mu.outageEnded, m.mu.restoredAt = now, now
		}
		rewriting := now.Before(m.mu.restoredAt.Add(rewritePeriod))
		listed := m.mu.departed.withoutOutdated(listed, v.Targets, revision.Era, rewriting)
		merged := mergeListing(v.Targets, listed, now, m.mu.outageEnded.Add(outageGracePeriod), rewriting)
		m.mu.departed.add(v.Targets, merged, revision.Era, now)
		if v.TargetsRevision.IsZero() || restored || targetsDiffer(v.Targets, merged) {
			v.TargetsChange = change
		}
		v.Targets, v.TargetsRevision = merged, revision
		v.TargetsSource, v.TargetsReadAt = source, readAt
	})
	m.logTargets(before, after)
	if before.TargetsChange != after.TargetsChange {
		m.announceChange()
	}
}

// expireRetained drops the targets and evacuations whose grace period after an outage
// or a new era has ended.
func (m *Manager) expireRetained() {
	now := m.now()
	v := m.Current()
	if len(withoutExpired(v.Targets, now)) == len(v.Targets) && !v.hasExpiredEvacuation(now) {
		return
	}
	before, after := m.update(func(v *View) {
		targets := withoutExpired(v.Targets, now)
		m.mu.departed.add(v.Targets, targets, v.TargetsRevision.Era, now)
		v.Targets = targets
		v.setEvacuated(v.listedEvacuations(), false, now)
	})
	m.logTargets(before, after)
	m.logPublished(before, after)
}

func (m *Manager) logTargets(before, after *View) {
	for id, e := range after.Targets {
		old := before.Targets[id]
		if old == nil || !old.SameIncarnation(&e.Target) || old.Leaving != e.Leaving {
			ev := event.TargetListed
			if e.Leaving {
				ev = event.TargetRemoved
			}
			m.log.Emit(ev, zap.String("target", id), zap.String("service", e.Service), zap.String("domain", e.Domain),
				zap.Bool("leaving", e.Leaving), zap.Duration("warmup_left", e.WarmupLeft), zap.Int64("revision", after.TargetsRevision.Number), zap.Int64("era", after.TargetsRevision.Era),
				zap.String("source", after.TargetsSource))
		}
		if e.Retained() && (old == nil || !old.Retained()) {
			m.log.Emit(event.TargetRetained, zap.String("target", id), zap.String("service", e.Service), zap.String("domain", e.Domain),
				zap.Int64("revision", after.TargetsRevision.Number), zap.Int64("era", after.TargetsRevision.Era), zap.String("source", after.TargetsSource))
		}
	}
	for id, old := range before.Targets {
		if after.Targets[id] == nil {
			m.log.Emit(event.TargetRemoved, zap.String("target", id), zap.String("service", old.Service), zap.Bool("gone", true),
				zap.Bool("retained", old.Retained()), zap.Int64("revision", after.TargetsRevision.Number), zap.Int64("era", after.TargetsRevision.Era), zap.String("source", after.TargetsSource))
		}
	}
}
