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
	// step is the interval at which the manager looks for renewals to send; a
	// waiting request wakes it earlier. A look passes over all active teams.
	step = 100 * time.Millisecond
	// ownTimeout and lentTimeout bound one renewal.
	ownTimeout  = 400 * time.Millisecond
	lentTimeout = answerWithin
	// housekeeping is the interval at which a grantor expires silent holders
	// and drops full buckets.
	housekeeping = 500 * time.Millisecond
	// verifyEvery is the interval at which a grantor recomputes the sums of a
	// ledger.
	verifyEvery = 10 * time.Second
	// maxRenewals bounds the renewals on their way at one time.
	maxRenewals = 64
)

// ConfigSource gives the edition in force; nil before the first one.
type ConfigSource interface {
	Current() *config.Config
}

// Leadership tells which shards this instance is grantor of. term.Manager is one.
type Leadership interface {
	LeaseFor(now clock.Reading, shard leadership.Shard) (leadership.Lease, bool)
	LeaderHint(now clock.Reading, shard leadership.Shard) *peerv1.Identity
	HeldLeases(now clock.Reading) []leadership.Lease
}

// PeerClient sends renewals by peer address.
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
	// LoadClient reads the load of targets; NewLoadClient returns the usual one.
	LoadClient LoadClient
	Log        *event.Logger
	AuditTrail audit.Trail
}

// Manager is the grantor of the shards whose terms this instance holds, and
// the instance's holder. It implements Tokens, Slots and Loads, and is safe
// for concurrent use.
//
// Lock order: mu, then term.Manager, then fences; the holder's locks are never
// held together with mu.
type Manager struct {
	c      Config
	holder *Holder
	fast   *fastClock
	mu     struct {
		sync.Mutex
		ledgers map[leadership.Shard]*Ledger
		polls   map[string]*poll
		// verified is the lower reading when the sums were last recomputed.
		verified time.Duration
	}
	// fences has a lock of its own because term.Manager reads it while it
	// holds its lock.
	fences struct {
		sync.Mutex
		highest map[leadership.Shard]uint64
	}
	addresses struct {
		sync.Mutex
		grantor map[leadership.Shard]string
		next    map[leadership.Shard]int
		missing map[leadership.Shard]time.Duration // lower reading; 0 when found
	}
	tasks sync.WaitGroup
	slots chan struct{}
}

var (
	_ TokenHolder = (*Manager)(nil)
	_ SlotHolder  = (*Manager)(nil)
	_ TargetLoads = (*Manager)(nil)
)

// NewManager returns a Manager without grants.
func NewManager(c Config) *Manager {
	m := &Manager{c: c, holder: NewHolder(c.Self), fast: newFastClock(c.Clock), slots: make(chan struct{}, maxRenewals)}
	m.mu.ledgers = make(map[leadership.Shard]*Ledger)
	m.mu.polls = make(map[string]*poll)
	m.fences.highest = make(map[leadership.Shard]uint64)
	m.addresses.grantor = make(map[leadership.Shard]string)
	m.addresses.next = make(map[leadership.Shard]int)
	m.addresses.missing = make(map[leadership.Shard]time.Duration)
	return m
}

// TryDebit implements Tokens.
func (m *Manager) TryDebit(team string, n float64) (Debit, bool) {
	return m.holder.TryDebit(m.fast.Now(), team, n)
}

// WantTokens implements Tokens.
func (m *Manager) WantTokens(team string, n float64) {
	m.holder.WantTokens(m.fast.Now(), team, n)
}

// Refund implements Tokens.
func (m *Manager) Refund(a Debit, unused float64) { m.holder.Refund(a, unused) }

// DebitValid implements Tokens.
func (m *Manager) DebitValid(a Debit) bool { return m.holder.DebitValid(m.c.Clock.Now(), a) }

// Changed implements Tokens.
func (m *Manager) Changed() <-chan struct{} { return m.holder.Changed() }

// TryTake implements Slots.
func (m *Manager) TryTake(target string) (Slot, bool) {
	return m.holder.TryTake(m.fast.Now(), target)
}

// WantSlots implements Slots.
func (m *Manager) WantSlots(target string, n int) { m.holder.WantSlots(m.fast.Now(), target, n) }

// Usable implements Slots.
func (m *Manager) Usable(s Slot) bool { return m.holder.Usable(m.c.Clock.Now(), s) }

// Release implements Slots.
func (m *Manager) Release(s Slot) { m.holder.Release(m.c.Clock.Now(), s) }

// Load implements Loads.
func (m *Manager) Load(target string) (Load, bool) { return m.holder.Load(target) }

// OnProcessPause is called after the process did not run for a while. Grants are
// checked against the clock at each use, so that it only hurries renewals.
func (m *Manager) OnProcessPause() { signal(m.holder.wake) }

// Run renews grants, polls loads and keeps ledgers until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	tick := time.NewTicker(step)
	defer tick.Stop()
	defer m.tasks.Wait()
	var kept, polled time.Duration
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-m.holder.Wake():
		}
		ed := m.c.ConfigSource.Current()
		if ed == nil {
			continue
		}
		now := m.c.Clock.Now()
		if now.Lower-polled >= pollStep {
			polled = now.Lower
			m.pollLoads(ctx, ed)
		}
		if now.Lower-kept >= housekeeping {
			kept = now.Lower
			m.keepLedgers(ed)
		}
		m.renewDue(ctx, ed)
	}
}

// renewDue sends the renewals that are due.
func (m *Manager) renewDue(ctx context.Context, ed *config.Config) {
	for _, shard := range m.holder.DueShards(m.c.Clock.Now(), ed) {
		select {
		case m.slots <- struct{}{}:
		default:
			return
		}
		req := m.holder.BuildRenewal(m.c.Clock.Now(), ed, shard)
		m.tasks.Add(1)
		go func() {
			defer m.tasks.Done()
			defer func() { <-m.slots }()
			m.exchange(ctx, ed, shard, req)
		}()
	}
}

// exchange sends one renewal and takes its answer.
func (m *Manager) exchange(ctx context.Context, ed *config.Config, shard leadership.Shard, req *peerv1.RenewRequest) {
	timeout := ownTimeout
	if shard.Region != m.c.Self.GetRegion() {
		timeout = lentTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := m.ask(ctx, ed, shard, req)
	if err != nil || !resp.GetGrantor() {
		m.holder.RenewalFailed(shard, req.GetSequence())
		m.noteGrantor(shard, false)
		return
	}
	m.noteGrantor(shard, true)
	if err := m.holder.ApplyResponse(m.c.Clock.Now(), shard, resp); err != nil {
		m.c.Log.Emit(event.AnswerRefused, zap.String("region", shard.Region), zap.Error(err))
	}
}

// HandleRenew answers a holder.
func (m *Manager) HandleRenew(_ context.Context, req *peerv1.RenewRequest) (*peerv1.RenewResponse, error) {
	shard := leadership.ShardFromProto(req.GetShard())
	m.mu.Lock()
	defer m.mu.Unlock()
	// The reading at which the term is checked is also the one at which grants
	// are made: a pause between the two lets them expire early, never late.
	now := m.c.Clock.Now()
	ed := m.c.ConfigSource.Current()
	t, ok := m.c.Leadership.LeaseFor(now, shard)
	if !ok || ed == nil {
		return &peerv1.RenewResponse{Sequence: req.GetSequence(), Hint: m.c.Leadership.LeaderHint(now, shard)}, nil
	}
	resp, err := m.ledger(now, t).Renew(now, ed, req)
	if errors.HasAssertionFailure(err) {
		m.c.Log.Emit(event.InvariantBroken, zap.String("holder", req.GetHolder().GetInstance()), zap.Error(err))
		return resp, nil
	}
	return resp, err
}

// ledger returns the ledger of the term. The caller holds m.mu.
func (m *Manager) ledger(now clock.Reading, t leadership.Lease) *Ledger {
	l := m.mu.ledgers[t.Shard]
	if l == nil || l.Ballot() != t.Ballot {
		l = NewLedger(now, t.Shard, t.Ballot)
		m.mu.ledgers[t.Shard] = l
	}
	return l
}

// keepLedgers opens ledgers of new terms, drops those of ended ones and
// expires silent holders.
func (m *Manager) keepLedgers(ed *config.Config) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.c.Clock.Now()
	for shard, l := range m.mu.ledgers {
		if t, ok := m.c.Leadership.LeaseFor(now, shard); !ok || t.Ballot != l.Ballot() {
			delete(m.mu.ledgers, shard)
		}
	}
	verify := now.Lower-m.mu.verified >= verifyEvery
	if verify {
		m.mu.verified = now.Lower
	}
	for _, t := range m.c.Leadership.HeldLeases(now) {
		l := m.ledger(now, t)
		if verify {
			if err := l.verify(); err != nil {
				m.c.Log.Emit(event.InvariantBroken, zap.String("region", t.Shard.Region), zap.Error(err))
			}
		}
		l.ExpireHolders(now)
		l.PruneBuckets(now, ed)
		for _, e := range l.TakeUnconfirmedSlots() {
			m.noteReclaim(ed, t, e)
		}
	}
}
