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
	// step is the interval at which terms are looked after.
	step = 100 * time.Millisecond
	// voteTimeout bounds one round; a later answer is of little use, because
	// the term counts from the start of the round.
	voteTimeout = 400 * time.Millisecond
	// campaignEvery is the least interval of the preferred instance's campaigns.
	campaignEvery = 200 * time.Millisecond
	// refusedFor is the same after a seat named another holder of the term.
	refusedFor = 500 * time.Millisecond
	// rankDelay is how long an instance waits for each one preferred to it.
	rankDelay = 300 * time.Millisecond
	// patience is the number of failed campaigns after which an instance lets
	// its own promises run out: two candidates that renew a minority each would
	// block each other for ever.
	patience = 8
)

// ConfigSource gives the edition in force; nil before the first one.
type ConfigSource interface {
	Current() *config.Config
}

// Peers sends votes by peer address.
type Peers interface {
	Vote(ctx context.Context, address string, req *peerv1.VoteRequest) (*peerv1.VoteResponse, error)
}

// Config is what a Manager needs.
type Config struct {
	Self         *peerv1.Identity
	Clock        clock.Clock
	ConfigSource ConfigSource
	Peers        Peers
	// Rank is the position of this instance in the order of live members that
	// should hold the shard, 0 for the first; negative for never.
	Rank func(Shard) int
	// HighestFencingToken is the highest fencing number seen at the shard's targets; nil for
	// none.
	HighestFencingToken func(Shard) uint64
	Log                 *event.Logger
	Trail               audit.Trail
}

// Manager votes, campaigns and renews terms. It is safe for concurrent use.
type Manager struct {
	c  Config
	mu struct {
		sync.Mutex
		voter *Voter
		runs  map[Shard]*run
	}
	rounds sync.WaitGroup
}

// run is the campaign of this instance for one shard.
type run struct {
	candidate *Candidate
	busy      bool          // a round is on its way
	last      time.Duration // lower reading of the last round
	lonely    time.Duration // lower reading since when no grantor is known
	notBefore time.Duration // lower reading of the next campaign
	failures  int
	granting  bool // as last announced
	ballot    uint64
}

// NewManager returns a Manager whose voter abstains for a full term.
func NewManager(c Config) *Manager {
	m := &Manager{c: c}
	m.mu.voter = NewVoter(c.Clock.Now())
	m.mu.runs = make(map[Shard]*run)
	return m
}

// HandleVote answers a candidate.
func (m *Manager) HandleVote(_ context.Context, req *peerv1.VoteRequest) (*peerv1.VoteResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mu.voter.Vote(m.c.Clock.Now(), req)
}

// OnProcessPause is called after the process did not run for a while.
func (m *Manager) OnProcessPause() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mu.voter.Abstain(m.c.Clock.Now())
	m.c.Log.Emit(event.VotesWithheld, zap.Duration("for", clock.ForGrantor(LeaseDuration)))
}

// Grantor returns the term if this instance is grantor of the shard at now.
func (m *Manager) LeaseFor(now clock.Reading, shard Shard) (Lease, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.mu.runs[shard]; r != nil {
		return r.candidate.Lease(now)
	}
	return Lease{}, false
}

// Hint returns the instance that this one believes to be grantor, or nil.
func (m *Manager) LeaderHint(now clock.Reading, shard Shard) *peerv1.Identity {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.mu.runs[shard]; r != nil && r.candidate.Active(now) {
		return m.c.Self
	}
	return m.mu.voter.Holder(now, shard)
}

// Terms returns the terms this instance holds at now.
func (m *Manager) HeldLeases(now clock.Reading) []Lease {
	m.mu.Lock()
	defer m.mu.Unlock()
	var held []Lease
	for _, r := range m.mu.runs {
		if t, ok := r.candidate.Lease(now); ok {
			held = append(held, t)
		}
	}
	return held
}

// Run campaigns and renews until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	tick := time.NewTicker(step)
	defer tick.Stop()
	defer m.rounds.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			m.Step(ctx)
		}
	}
}

// Step looks after the terms once. Run calls it; tests with a virtual clock
// call it themselves.
func (m *Manager) Step(ctx context.Context) {
	ed := m.c.ConfigSource.Current()
	if ed == nil {
		return
	}
	region := ed.Regions[m.c.Self.GetRegion()]
	if region == nil {
		return
	}
	for i := range max(1, region.Shards) {
		m.stepShard(ctx, ed, Shard{Region: region.Name, Index: uint32(i)}, VoterSetOf(region))
	}
}

func (m *Manager) stepShard(ctx context.Context, ed *config.Config, shard Shard, seats VoterSet) {
	rank := m.c.Rank(shard)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.c.Clock.Now()
	r := m.mu.runs[shard]
	if r == nil {
		r = &run{candidate: NewCandidate(shard, m.c.Self), lonely: now.Lower}
		m.mu.runs[shard] = r
	}
	m.announce(now, ed, shard, r)
	if h := m.mu.voter.Holder(now, shard); h != nil && !r.candidate.Active(now) && ProcessFromProto(h) != ProcessFromProto(m.c.Self) {
		r.lonely = now.Lower
		return
	}
	if r.busy || !m.dueRound(now, r, rank) {
		return
	}
	m.begin(ctx, now, shard, r, seats)
}

// dueRound reports whether a renewal or a campaign should start. The caller
// holds m.mu.
func (m *Manager) dueRound(now clock.Reading, r *run, rank int) bool {
	if r.candidate.Active(now) {
		return now.Lower-r.last >= RenewInterval
	}
	return rank >= 0 && now.Lower >= r.notBefore &&
		now.Lower-r.lonely >= time.Duration(rank)*rankDelay
}

// begin starts a round. The caller holds m.mu.
func (m *Manager) begin(ctx context.Context, now clock.Reading, shard Shard, r *run, seats VoterSet) {
	var fence uint64
	if m.c.HighestFencingToken != nil {
		fence = m.c.HighestFencingToken(shard)
	}
	round := r.candidate.Begin(now, uint64(time.Now().UnixMilli()), fence, seats)
	r.busy, r.last = true, now.Lower
	m.rounds.Add(1)
	go func() {
		defer m.rounds.Done()
		m.send(ctx, shard, r, round)
	}()
}

// send asks all seats and starts the confirmation if the round was won.
func (m *Manager) send(ctx context.Context, shard Shard, r *run, round *Round) {
	rctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	type answer struct {
		seat string
		resp *peerv1.VoteResponse
	}
	seats := round.Voters.All()
	answers := make(chan answer, len(seats))
	for _, seat := range seats {
		go func() {
			resp, err := m.vote(rctx, seat, round.Request)
			if err != nil {
				resp = nil
			}
			answers <- answer{seat, resp}
		}()
	}
	won, refused := false, false
	for range seats {
		a := <-answers
		if a.resp == nil {
			continue
		}
		m.mu.Lock()
		won = r.candidate.HandleResponse(m.c.Clock.Now(), round.Number, a.seat, a.resp) || won
		m.mu.Unlock()
		refused = refused || a.resp.GetHolder() != nil && !a.resp.GetGranted()
		if won {
			break
		}
	}
	m.finish(ctx, shard, r, round, won, refused)
}

func (m *Manager) finish(ctx context.Context, shard Shard, r *run, round *Round, won, refused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.c.Clock.Now()
	r.busy = false
	switch {
	case won:
		m.begin(ctx, now, shard, r, round.Voters)
	case r.candidate.Active(now):
		r.failures, r.lonely = 0, now.Lower
	default:
		r.failures++
		wait := campaignEvery
		if refused {
			r.lonely, wait = now.Lower, refusedFor
		}
		if r.failures%patience == 0 {
			wait = clock.ForGrantor(LeaseDuration) + rand.N(LeaseDuration/2)
		}
		r.notBefore = now.Lower + wait
		m.c.Log.Emit(event.CampaignFailed, zap.String("region", shard.Region), zap.Uint32("shard", shard.Index),
			zap.Uint64("ballot", round.Request.GetBallot()), zap.Int("failures", r.failures))
	}
}

func (m *Manager) vote(ctx context.Context, seat string, req *peerv1.VoteRequest) (*peerv1.VoteResponse, error) {
	if seat == m.c.Self.GetPeerAddress() {
		return m.HandleVote(ctx, req)
	}
	return m.c.Peers.Vote(ctx, seat, req)
}

// announce records the start and the end of a term. The caller holds m.mu.
func (m *Manager) announce(now clock.Reading, ed *config.Config, shard Shard, r *run) {
	t, granting := r.candidate.Lease(now)
	if granting == r.granting && t.Ballot == r.ballot {
		return
	}
	if r.granting {
		m.record(event.TermLost, audit.TermEnded, shard, r.ballot, ed.Revision, "the term was not renewed in time")
	}
	if granting {
		m.record(event.TermWon, audit.TermStarted, shard, t.Ballot, ed.Revision, "a majority of the seats promised the term")
	}
	r.granting, r.ballot = granting, t.Ballot
}
