package leadership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/audit"
	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

const (
	// tickInterval is the interval at which Run calls Step.
	tickInterval = 100 * time.Millisecond
	// voteTimeout bounds one round. A later response is of little use, because
	// the lease counts from the start of the round.
	voteTimeout = 400 * time.Millisecond
	// campaignInterval is the minimum delay between a failed campaign and the
	// next one of the same instance.
	campaignInterval = 200 * time.Millisecond
	// refusedInterval is the same delay after a voter refused and named the
	// holder of the lease.
	refusedInterval = 500 * time.Millisecond
	// rankDelay is how long an instance waits for each one that ranks before it.
	rankDelay = 300 * time.Millisecond
	// failuresBeforeBackoff is the number of failed campaigns after which an
	// instance waits until the promises that it holds have expired. Otherwise
	// two candidates that each renew a minority would block each other forever.
	failuresBeforeBackoff = 8
)

// ConfigSource returns the configuration in force; nil before the first one.
type ConfigSource interface {
	Current() *config.Config
}

// PeerClient sends vote requests to peer addresses.
type PeerClient interface {
	Vote(ctx context.Context, address string, req *peerv1.VoteRequest) (*peerv1.VoteResponse, error)
}

// Config holds the settings and dependencies of a Manager.
type Config struct {
	Self         *peerv1.Identity
	Clock        clock.Clock
	ConfigSource ConfigSource
	PeerClient   PeerClient
	// Rank returns the position of this instance in the order in which the live
	// members should lead the shard, 0 for the first. An instance with a
	// negative rank never campaigns.
	Rank func(Shard) int
	// HighestFencingToken returns the highest fencing token seen at the shard's
	// targets. The function may be nil.
	HighestFencingToken func(Shard) uint64
	Log                 *event.Logger
	Trail               audit.Trail
}

// Manager votes, campaigns and renews leases. It is safe for concurrent use.
type Manager struct {
	cfg Config
	mu  struct {
		sync.Mutex
		voter  *Voter
		shards map[Shard]*shardState
	}
	rounds sync.WaitGroup
}

// shardState is what this instance keeps about its leadership of one shard.
type shardState struct {
	candidate       *Candidate
	roundInFlight   bool
	lastRound       time.Duration // lower reading of the last round
	noLeaderSince   time.Duration // lower reading since when no leader is known
	notBefore       time.Duration // lower reading before which no campaign starts
	failedCampaigns int
	recordedLeading bool // as last written to the log and the audit trail
	recordedBallot  uint64
}

// NewManager returns a Manager whose voter abstains for a full lease.
func NewManager(cfg Config) *Manager {
	m := &Manager{cfg: cfg}
	m.mu.voter = NewVoter(cfg.Clock.Now())
	m.mu.shards = make(map[Shard]*shardState)
	return m
}

// HandleVote decides on a candidate's vote request.
func (m *Manager) HandleVote(_ context.Context, req *peerv1.VoteRequest) (*peerv1.VoteResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mu.voter.Vote(m.cfg.Clock.Now(), req)
}

// OnProcessPause makes the voter abstain for a full lease. It is called after
// the process was suspended.
func (m *Manager) OnProcessPause() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mu.voter.Abstain(m.cfg.Clock.Now())
	m.cfg.Log.Emit(event.VoterAbstaining, zap.Duration("for", clock.ForGrantor(LeaseDuration)))
}

// LeaseFor returns the lease if this instance is leader of the shard at now.
func (m *Manager) LeaseFor(now clock.Reading, shard Shard) (Lease, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if st := m.mu.shards[shard]; st != nil {
		return st.candidate.Lease(now)
	}
	return Lease{}, false
}

// LeaderHint returns the probable leader of the shard, or nil: this instance or
// the one that holds its voter's promise.
func (m *Manager) LeaderHint(now clock.Reading, shard Shard) *peerv1.Identity {
	m.mu.Lock()
	defer m.mu.Unlock()
	if st := m.mu.shards[shard]; st != nil && st.candidate.Active(now) {
		return m.cfg.Self
	}
	return m.mu.voter.Holder(now, shard)
}

// HeldLeases returns the confirmed leases that this instance holds at now.
func (m *Manager) HeldLeases(now clock.Reading) []Lease {
	m.mu.Lock()
	defer m.mu.Unlock()
	var held []Lease
	for _, st := range m.mu.shards {
		if lease, ok := st.candidate.Lease(now); ok {
			held = append(held, lease)
		}
	}
	return held
}

// Run campaigns and renews leases until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer m.rounds.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			m.Step(ctx)
		}
	}
}

// Step starts the campaigns and renewals that are due in all shards of the
// region. Run calls it; tests with a virtual clock call it themselves.
func (m *Manager) Step(ctx context.Context) {
	current := m.cfg.ConfigSource.Current()
	if current == nil {
		return
	}
	region := current.Regions[m.cfg.Self.GetRegion()]
	if region == nil {
		return
	}
	for i := range max(1, region.Shards) {
		m.stepShard(ctx, current, Shard{Region: region.Name, Index: uint32(i)}, VoterSetOf(region))
	}
}

func (m *Manager) stepShard(ctx context.Context, current *config.Config, shard Shard, voters VoterSet) {
	rank := m.cfg.Rank(shard)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Clock.Now()
	st := m.mu.shards[shard]
	if st == nil {
		st = &shardState{candidate: NewCandidate(shard, m.cfg.Self), noLeaderSince: now.Lower}
		m.mu.shards[shard] = st
	}
	m.recordTransition(now, current, shard, st)
	if holder := m.mu.voter.Holder(now, shard); holder != nil && !st.candidate.Active(now) && ProcessFromProto(holder) != ProcessFromProto(m.cfg.Self) {
		st.noLeaderSince = now.Lower
		return
	}
	if st.roundInFlight || !m.roundDue(now, st, rank) {
		return
	}
	m.beginRound(ctx, now, shard, st, voters)
}

// roundDue reports whether a renewal or a campaign should start. The caller
// holds m.mu.
func (m *Manager) roundDue(now clock.Reading, st *shardState, rank int) bool {
	if st.candidate.Active(now) {
		return now.Lower-st.lastRound >= RenewInterval
	}
	return rank >= 0 && now.Lower >= st.notBefore &&
		now.Lower-st.noLeaderSince >= time.Duration(rank)*rankDelay
}

// beginRound starts a round. The caller holds m.mu.
func (m *Manager) beginRound(ctx context.Context, now clock.Reading, shard Shard, st *shardState, voters VoterSet) {
	var fencingToken uint64
	if m.cfg.HighestFencingToken != nil {
		fencingToken = m.cfg.HighestFencingToken(shard)
	}
	round := st.candidate.Begin(now, uint64(time.Now().UnixMilli()), fencingToken, voters)
	st.roundInFlight, st.lastRound = true, now.Lower
	m.rounds.Add(1)
	go func() {
		defer m.rounds.Done()
		m.runRound(ctx, shard, st, round)
	}()
}

// runRound asks all voters and starts the confirmation if the round was the
// first of a campaign and won a majority.
func (m *Manager) runRound(ctx context.Context, shard Shard, st *shardState, round *Round) {
	roundCtx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	type response struct {
		voter string
		resp  *peerv1.VoteResponse
	}
	voters := round.Voters.All()
	responses := make(chan response, len(voters))
	for _, voter := range voters {
		go func() {
			resp, err := m.vote(roundCtx, voter, round.Request)
			if err != nil {
				resp = nil
			}
			responses <- response{voter, resp}
		}()
	}
	won, refused := false, false
	for range voters {
		r := <-responses
		if r.resp == nil {
			continue
		}
		m.mu.Lock()
		won = st.candidate.HandleResponse(m.cfg.Clock.Now(), round.Number, r.voter, r.resp) || won
		m.mu.Unlock()
		refused = refused || r.resp.GetHolder() != nil && !r.resp.GetGranted()
		if won {
			break
		}
	}
	m.finishRound(ctx, shard, st, round, won, refused)
}

func (m *Manager) finishRound(ctx context.Context, shard Shard, st *shardState, round *Round, won, refused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Clock.Now()
	st.roundInFlight = false
	switch {
	case won:
		m.beginRound(ctx, now, shard, st, round.Voters)
	case st.candidate.Active(now):
		st.failedCampaigns, st.noLeaderSince = 0, now.Lower
	default:
		st.failedCampaigns++
		wait := campaignInterval
		if refused {
			st.noLeaderSince, wait = now.Lower, refusedInterval
		}
		if st.failedCampaigns%failuresBeforeBackoff == 0 {
			wait = clock.ForGrantor(LeaseDuration) + rand.N(LeaseDuration/2)
		}
		st.notBefore = now.Lower + wait
		m.cfg.Log.Emit(event.CampaignFailed, zap.String("region", shard.Region), zap.Uint32("shard", shard.Index),
			zap.Uint64("ballot", round.Request.GetBallot()), zap.Int("failures", st.failedCampaigns))
	}
}

func (m *Manager) vote(ctx context.Context, voter string, req *peerv1.VoteRequest) (*peerv1.VoteResponse, error) {
	if voter == m.cfg.Self.GetPeerAddress() {
		return m.HandleVote(ctx, req)
	}
	return m.cfg.PeerClient.Vote(ctx, voter, req)
}

// recordTransition records the start and the end of a lease. The caller holds
// m.mu.
func (m *Manager) recordTransition(now clock.Reading, current *config.Config, shard Shard, st *shardState) {
	lease, leading := st.candidate.Lease(now)
	if leading == st.recordedLeading && lease.Ballot == st.recordedBallot {
		return
	}
	if st.recordedLeading {
		m.record(event.LeadershipLost, audit.LeadershipLost, shard, st.recordedBallot, current.Revision, "the term was not renewed in time")
	}
	if leading {
		m.record(event.LeadershipAcquired, audit.LeadershipAcquired, shard, lease.Ballot, current.Revision, "a majority of the seats promised the term")
	}
	st.recordedLeading, st.recordedBallot = leading, lease.Ballot
}
