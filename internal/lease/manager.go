package lease

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/audit"
	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

const (
	// renewCheckInterval is the interval at which the manager checks which
	// renewals are due. A waiting request triggers the check earlier. A check
	// passes over all active teams.
	renewCheckInterval = 100 * time.Millisecond
	// localTimeout and remoteTimeout bound one renewal.
	localTimeout  = 400 * time.Millisecond
	remoteTimeout = responseTimeout
	// housekeepingInterval is the interval at which a leader expires
	// unreachable holders and prunes full buckets.
	housekeepingInterval = 500 * time.Millisecond
	// verifyInterval is the interval at which a leader recomputes the sums of a
	// ledger.
	verifyInterval = 10 * time.Second
	// maxConcurrentRenewals bounds the renewals in flight.
	maxConcurrentRenewals = 64
)

// ConfigSource gives the configuration in force; nil before the first one.
type ConfigSource interface {
	Current() *config.Config
}

// Leadership tells which shards this instance leads. It is implemented by
// leadership.Manager.
type Leadership interface {
	LeaseFor(now clock.Reading, shard leadership.Shard) (leadership.Lease, bool)
	LeaderHint(now clock.Reading, shard leadership.Shard) *peerv1.Identity
	HeldLeases(now clock.Reading) []leadership.Lease
}

// PeerClient sends renewals to the instance at a peer address.
type PeerClient interface {
	Renew(ctx context.Context, address string, req *peerv1.RenewRequest) (*peerv1.RenewResponse, error)
}

// Config is what a Manager needs.
type Config struct {
	Self         *peerv1.Identity
	Clock        clock.Clock
	ConfigSource ConfigSource
	Leadership   Leadership
	PeerClient   PeerClient
	// LoadClient fetches the load of targets; NewLoadClient returns the usual
	// one.
	LoadClient LoadClient
	Log        *event.Logger
	AuditTrail audit.Trail
}

// Manager grants leases for the shards that this instance leads, and runs the
// instance's holder. It implements TokenHolder, SlotHolder and TargetLoads, and
// is safe for concurrent use.
//
// Lock order: mu, then the lock of leadership.Manager, then fencingTokens. The
// holder's locks are never held together with mu.
type Manager struct {
	c            Config
	holder       *Holder
	extrapolated *extrapolatedClock
	mu           struct {
		sync.Mutex
		ledgers map[leadership.Shard]*Ledger
		polls   map[string]*poll
		// verifiedAt is the lower clock reading when the sums were last
		// recomputed.
		verifiedAt time.Duration
	}
	// fencingTokens has a lock of its own because leadership.Manager reads it
	// while it holds its lock.
	fencingTokens struct {
		sync.Mutex
		highest map[leadership.Shard]uint64
	}
	addresses struct {
		sync.Mutex
		leader       map[leadership.Shard]string
		nextVoter    map[leadership.Shard]int
		missingSince map[leadership.Shard]time.Duration // lower clock reading; -1 once logged; absent while a leader responds
	}
	tasks      sync.WaitGroup
	renewalSem chan struct{}
}

var (
	_ TokenHolder = (*Manager)(nil)
	_ SlotHolder  = (*Manager)(nil)
	_ TargetLoads = (*Manager)(nil)
)

// NewManager returns a Manager without leases.
func NewManager(c Config) *Manager {
	m := &Manager{c: c, holder: NewHolder(c.Self), extrapolated: newExtrapolatedClock(c.Clock), renewalSem: make(chan struct{}, maxConcurrentRenewals)}
	m.mu.ledgers = make(map[leadership.Shard]*Ledger)
	m.mu.polls = make(map[string]*poll)
	m.fencingTokens.highest = make(map[leadership.Shard]uint64)
	m.addresses.leader = make(map[leadership.Shard]string)
	m.addresses.nextVoter = make(map[leadership.Shard]int)
	m.addresses.missingSince = make(map[leadership.Shard]time.Duration)
	return m
}

// TryDebit implements TokenHolder.
func (m *Manager) TryDebit(team string, n float64) (Debit, bool) {
	return m.holder.TryDebit(m.extrapolated.Now(), team, n)
}

// WantTokens implements TokenHolder.
func (m *Manager) WantTokens(team string, n float64) {
	m.holder.WantTokens(m.extrapolated.Now(), team, n)
}

// Refund implements TokenHolder.
func (m *Manager) Refund(d Debit, unused float64) { m.holder.Refund(d, unused) }

// DebitValid implements TokenHolder.
func (m *Manager) DebitValid(d Debit) bool { return m.holder.DebitValid(m.c.Clock.Now(), d) }

// Changed implements TokenHolder.
func (m *Manager) Changed() <-chan struct{} { return m.holder.Changed() }

// TryTake implements SlotHolder.
func (m *Manager) TryTake(target string) (Slot, bool) {
	return m.holder.TryTake(m.extrapolated.Now(), target)
}

// WantSlots implements SlotHolder.
func (m *Manager) WantSlots(target string, n int) {
	m.holder.WantSlots(m.extrapolated.Now(), target, n)
}

// Usable implements SlotHolder.
func (m *Manager) Usable(s Slot) bool { return m.holder.Usable(m.c.Clock.Now(), s) }

// Release implements SlotHolder.
func (m *Manager) Release(s Slot) { m.holder.Release(m.c.Clock.Now(), s) }

// Load implements TargetLoads.
func (m *Manager) Load(target string) (Load, bool) { return m.holder.Load(target) }

// OnProcessPause is called after the process was suspended for a while. Leases
// are checked against the clock at each use, so it only triggers an early
// renewal.
func (m *Manager) OnProcessPause() { signal(m.holder.wake) }

// Run renews leases, polls loads and maintains the ledgers until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	tick := time.NewTicker(renewCheckInterval)
	defer tick.Stop()
	defer m.tasks.Wait()
	var maintained, polled time.Duration
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-m.holder.Wake():
		}
		cfg := m.c.ConfigSource.Current()
		if cfg == nil {
			continue
		}
		now := m.c.Clock.Now()
		if now.Lower-polled >= pollCheckInterval {
			polled = now.Lower
			m.pollLoads(ctx, cfg)
		}
		if now.Lower-maintained >= housekeepingInterval {
			maintained = now.Lower
			m.maintainLedgers(cfg)
		}
		m.renewDue(ctx, cfg)
	}
}

// renewDue sends the renewals that are due.
func (m *Manager) renewDue(ctx context.Context, cfg *config.Config) {
	for _, shard := range m.holder.DueShards(m.c.Clock.Now(), cfg) {
		select {
		case m.renewalSem <- struct{}{}:
		default:
			return
		}
		req := m.holder.BuildRenewal(m.c.Clock.Now(), cfg, shard)
		m.tasks.Add(1)
		go func() {
			defer m.tasks.Done()
			defer func() { <-m.renewalSem }()
			m.renewShard(ctx, cfg, shard, req)
		}()
	}
}

// renewShard sends one renewal and applies its response.
func (m *Manager) renewShard(ctx context.Context, cfg *config.Config, shard leadership.Shard, req *peerv1.RenewRequest) {
	timeout := localTimeout
	if shard.Region != m.c.Self.GetRegion() {
		timeout = remoteTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := m.renewAtLeader(ctx, cfg, shard, req)
	if err != nil || !resp.GetGrantor() {
		m.holder.RenewalFailed(shard, req.GetSequence())
		m.recordLeaderState(shard, false)
		return
	}
	m.recordLeaderState(shard, true)
	if err := m.holder.ApplyResponse(m.c.Clock.Now(), shard, resp); err != nil {
		m.c.Log.Emit(event.RenewalResponseRejected, zap.String("region", shard.Region), zap.Error(err))
	}
}

// HandleRenew processes a renewal from a holder.
func (m *Manager) HandleRenew(_ context.Context, req *peerv1.RenewRequest) (*peerv1.RenewResponse, error) {
	shard := leadership.ShardFromProto(req.GetShard())
	m.mu.Lock()
	defer m.mu.Unlock()
	// The reading at which the leadership lease is checked is also the one at
	// which leases are granted: a pause between the two lets them expire early,
	// never late.
	now := m.c.Clock.Now()
	cfg := m.c.ConfigSource.Current()
	lease, ok := m.c.Leadership.LeaseFor(now, shard)
	if !ok || cfg == nil {
		return &peerv1.RenewResponse{Sequence: req.GetSequence(), Hint: m.c.Leadership.LeaderHint(now, shard)}, nil
	}
	resp, err := m.ledger(now, lease).Renew(now, cfg, req)
	if errors.HasAssertionFailure(err) {
		m.c.Log.Emit(event.InvariantViolated, zap.String("holder", req.GetHolder().GetInstance()), zap.Error(err))
		return resp, nil
	}
	return resp, err
}

// ledger returns the ledger of the leadership lease, and creates it if there is
// none. The caller holds m.mu.
func (m *Manager) ledger(now clock.Reading, lease leadership.Lease) *Ledger {
	l := m.mu.ledgers[lease.Shard]
	if l == nil || l.Ballot() != lease.Ballot {
		l = NewLedger(now, lease.Shard, lease.Ballot)
		m.mu.ledgers[lease.Shard] = l
	}
	return l
}

// maintainLedgers creates ledgers of new leadership leases, drops those of
// ended ones and expires unreachable holders.
func (m *Manager) maintainLedgers(cfg *config.Config) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.c.Clock.Now()
	for shard, l := range m.mu.ledgers {
		if lease, ok := m.c.Leadership.LeaseFor(now, shard); !ok || lease.Ballot != l.Ballot() {
			delete(m.mu.ledgers, shard)
		}
	}
	verify := now.Lower-m.mu.verifiedAt >= verifyInterval
	if verify {
		m.mu.verifiedAt = now.Lower
	}
	for _, lease := range m.c.Leadership.HeldLeases(now) {
		l := m.ledger(now, lease)
		if verify {
			if err := l.verify(); err != nil {
				m.c.Log.Emit(event.InvariantViolated, zap.String("region", lease.Shard.Region), zap.Error(err))
			}
		}
		l.ExpireHolders(now)
		l.PruneBuckets(now, cfg)
		for _, e := range l.TakeUnconfirmedSlots() {
			m.recordUnconfirmedSlots(cfg, lease, e)
		}
	}
}
