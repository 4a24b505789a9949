package lease

import (
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

const (
	// holderRetention is how long the sequence number of an expired holder is
	// kept, so that a delayed request is recognised as old.
	holderRetention = time.Minute
	// expiryInterval is the least interval between passes over all holders.
	// Expiring a holder late is safe.
	expiryInterval = 50 * time.Millisecond
	// maxHolders bounds the holders of one ledger.
	maxHolders = 4096
	// maxReportEntries bounds the teams and the targets in one report.
	maxReportEntries = 8192
	// maxReportedSlots bounds the slot counts that a report states for one
	// target.
	maxReportedSlots = 1 << 20
	// maxPendingEvents bounds the UnconfirmedSlots that wait to be logged.
	maxPendingEvents = 1024
)

// ErrInvalidRequest marks a malformed renewal, or one from a holder beyond the
// limit of the ledger.
var ErrInvalidRequest = errors.New("invalid renewal request")

// Ledger is the state of a leader during one leadership lease: what it can
// grant and what each holder has. It is not safe for concurrent use.
type Ledger struct {
	shard       leadership.Shard
	ballot      uint64
	startedAt   time.Duration // lower clock reading
	buckets     map[string]*bucket
	slots       map[string]*slotAccount
	holders     map[holderKey]*holderRecord
	unconfirmed []UnconfirmedSlots
	contended   map[string]struct{} // teams that may be contended
	lastExpiry  time.Duration       // lower clock reading of the last pass over all holders
}

// holderKey identifies a holder within one of its epochs. A holder starts a new
// epoch when it discards the ballot it knew.
type holderKey struct {
	leadership.Process
	epoch uint64
}

// holderRecord is what the leader knows of one holder.
type holderRecord struct {
	active    bool // leases may be outstanding
	remote    bool // of another region
	sequence  uint64
	handledAt time.Duration
	expiresAt time.Duration
	response  *peerv1.RenewResponse
	// Sequence number of the last response that the holder is known to have
	// applied, and when that response was given.
	applied   uint64
	appliedAt time.Duration
	teams     map[string]*holderTokens
	slots     map[string]int
	// claims holds the slots claimed in the last request and accepted in its
	// response, which the holder may not have applied.
	claims       map[string]int
	loadVersions map[string]uint64 // load version last sent, per target
	loadsSentAt  time.Duration
	// reset is set while the last response revoked everything the holder had.
	reset bool
}

// holderTokens is what a holder has of a team's tokens.
type holderTokens struct {
	outstanding float64
	spent       float64 // cumulative, as last reported
	need        float64 // as last reported
}

// NewLedger returns the ledger of a leadership lease that was confirmed at or
// before now.
func NewLedger(now clock.Reading, shard leadership.Shard, ballot uint64) *Ledger {
	return &Ledger{
		shard: shard, ballot: ballot, startedAt: now.Lower,
		buckets:   make(map[string]*bucket),
		slots:     make(map[string]*slotAccount),
		holders:   make(map[holderKey]*holderRecord),
		contended: make(map[string]struct{}),
	}
}

// Ballot returns the ballot of the leadership lease.
func (l *Ledger) Ballot() uint64 { return l.ballot }

// Renew processes a holder's renewal. now must be a reading at which the
// leadership lease was valid, and cfg the configuration in force. An assertion
// failure comes with a response that revokes what the holder has.
func (l *Ledger) Renew(now clock.Reading, cfg *config.Config, req *peerv1.RenewRequest) (*peerv1.RenewResponse, error) {
	if err := validateRequest(req); err != nil {
		return nil, err
	}
	region := cfg.Regions[l.shard.Region]
	if region == nil || req.GetBallot() > l.ballot {
		return &peerv1.RenewResponse{Sequence: req.GetSequence(), Ballot: l.ballot}, nil
	}
	if now.Lower-l.lastExpiry >= expiryInterval {
		l.ExpireHolders(now)
	}
	key := holderKey{leadership.ProcessFromProto(req.GetHolder()), req.GetEpoch()}
	r := l.holders[key]
	if r == nil {
		if len(l.holders) >= maxHolders {
			return nil, errors.Wrap(ErrInvalidRequest, "too many holders")
		}
		r = &holderRecord{loadVersions: make(map[string]uint64)}
		l.holders[key] = r
	}
	resp := &peerv1.RenewResponse{
		Grantor: true, Ballot: l.ballot, Sequence: req.GetSequence(),
		ValidityMs: uint32(Validity / time.Millisecond),
	}
	switch {
	case req.GetSequence() < r.sequence:
		return resp, nil
	case req.GetSequence() == r.sequence && r.response != nil:
		return r.response, nil
	case req.GetSequence() == r.sequence:
		resp.Reset_ = true
		return resp, nil
	}
	if r.active && now.Lower >= r.expiresAt {
		l.dropLeases(r, key)
	}
	r.remote = req.GetHolder().GetRegion() != l.shard.Region
	l.syncRecord(r, key, req, resp)
	err := l.processReports(now, cfg, region, r, req, resp)
	if err != nil {
		l.dropLeases(r, key)
		r.teams, r.slots = make(map[string]*holderTokens), make(map[string]int)
		resp.Teams, resp.Targets, resp.Reset_ = nil, nil, true
	}
	r.sequence, r.handledAt, r.response = req.GetSequence(), now.Lower, resp
	r.expiresAt = now.Lower + clock.ForGrantor(Validity)
	r.active, r.reset = true, resp.Reset_
	return resp, err
}

// validateRequest checks that the request is well formed and its amounts are in
// range.
func validateRequest(req *peerv1.RenewRequest) error {
	if req.GetHolder().GetInstance() == "" || req.GetSequence() == 0 ||
		len(req.GetTeams()) > maxReportEntries || len(req.GetTargets()) > maxReportEntries {
		return errors.Wrap(ErrInvalidRequest, "holder and sequence must be set and the report must not exceed its size limit")
	}
	amount := func(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }
	for _, t := range req.GetTeams() {
		if !amount(t.GetBalance()) || !amount(float64(t.GetWant())) || !amount(t.GetSpent()) || !amount(float64(t.GetNeed())) || len(t.GetRefunds()) > maxRefunds {
			return errors.Wrapf(ErrInvalidRequest, "report of team %q is out of range", t.GetTeam())
		}
		for _, f := range t.GetRefunds() {
			if !amount(f.GetTokens()) {
				return errors.Wrapf(ErrInvalidRequest, "refund of team %q is out of range", t.GetTeam())
			}
		}
	}
	for _, t := range req.GetTargets() {
		if max(t.GetIdle(), t.GetBusy(), t.GetWant(), t.GetClaimed()) > maxReportedSlots {
			return errors.Wrapf(ErrInvalidRequest, "slot counts of target %q are out of range", t.GetTarget())
		}
	}
	return nil
}

// syncRecord brings the record to the state that the request assumes. It
// depends on which response the holder last applied.
func (l *Ledger) syncRecord(r *holderRecord, key holderKey, req *peerv1.RenewRequest, resp *peerv1.RenewResponse) {
	if req.GetApplied() != r.sequence {
		l.revertClaims(r)
	}
	r.claims = nil
	responseApplied := r.reset && req.GetApplied() == r.sequence || !r.reset
	switch {
	case r.active && !responseApplied:
		// The holder did not apply the response that started the record, and
		// ignores it from now on.
		l.returnUnreceived(r)
	case r.active && req.GetBallot() != l.ballot:
		// Unexpected, because ballots do not decrease within an epoch. What the
		// holder did with its leases is unknown.
		l.dropLeases(r, key)
	}
	if !r.active || req.GetBallot() != l.ballot {
		resp.Reset_ = true
		r.teams, r.slots = make(map[string]*holderTokens), make(map[string]int)
		r.applied, r.appliedAt = 0, 0
	}
	if req.GetBallot() == l.ballot && r.sequence != 0 && req.GetApplied() == r.sequence {
		r.applied, r.appliedAt = r.sequence, r.handledAt
	}
}

func (l *Ledger) processReports(now clock.Reading, cfg *config.Config, region *config.Region, r *holderRecord, req *peerv1.RenewRequest, resp *peerv1.RenewResponse) error {
	for _, t := range req.GetTeams() {
		team := cfg.Teams[t.GetTeam()]
		if team == nil || leadership.ShardFor(region, team.Name) != l.shard {
			resp.Teams = append(resp.Teams, l.revokeTeam(r, t))
			continue
		}
		g, err := l.renewTeam(now, region, team, r, req, resp, t)
		if err != nil {
			return err
		}
		if g != nil {
			resp.Teams = append(resp.Teams, g)
		}
	}
	l.recallUnreportedTokens(now, r, req, resp)
	if r.remote {
		return nil
	}
	for _, t := range req.GetTargets() {
		g, err := l.renewTarget(now, cfg, r, req, resp, t)
		if err != nil {
			return err
		}
		if g != nil {
			resp.Targets = append(resp.Targets, g)
		}
	}
	l.recallUnreportedSlots(now, r, req, resp)
	l.addChangedLoads(now, r, resp)
	return nil
}

// revokeTeam handles a report about a team that does not belong to the shard.
// The limit in the response makes the holder return its balance.
func (l *Ledger) revokeTeam(r *holderRecord, t *peerv1.TeamReport) *peerv1.TeamGrant {
	if o := r.teams[t.GetTeam()]; o != nil {
		if b := l.buckets[t.GetTeam()]; b != nil {
			b.applyReport(o.outstanding, 0, o.outstanding)
		}
		delete(r.teams, t.GetTeam())
	}
	return &peerv1.TeamGrant{Team: t.GetTeam(), Limit: tolerance}
}

func (l *Ledger) renewTeam(now clock.Reading, region *config.Region, team *config.Team, r *holderRecord, req *peerv1.RenewRequest, resp *peerv1.RenewResponse, t *peerv1.TeamReport) (*peerv1.TeamGrant, error) {
	b, ceiling := l.refilledBucket(now, region, team)
	before := b.level + b.outstanding
	held := r.teams[team.Name]
	if held == nil {
		held = &holderTokens{}
		if !resp.GetReset_() {
			held.spent = t.GetSpent()
		}
		r.teams[team.Name] = held
	}
	balance := t.GetBalance()
	if !resp.GetReset_() {
		spent := t.GetSpent() - held.spent
		slack := tolerance + t.GetSpent()*relativeTolerance
		if balance < 0 || spent < -slack || balance+spent > held.outstanding+slack {
			return nil, errors.AssertionFailedf("team %s: holder %s reports a balance of %g and %g spent of %g outstanding",
				team.Name, req.GetHolder().GetInstance(), balance, spent, held.outstanding)
		}
		spent = max(0, spent)
		b.applyReport(held.outstanding, balance, spent)
		held.outstanding, held.spent = balance, t.GetSpent()
		if !r.remote {
			b.demand.add(now.Lower, spent)
		}
		b.recordHeadroom(now.Lower, ceiling)
		l.creditRefunds(now, b, r, t, ceiling)
	} else {
		balance = 0
	}
	g := l.grantTokens(now, b, r, held, t)
	b.recordHeadroom(now.Lower, ceiling)
	if excess := b.outstanding - b.burst/2; excess > tolerance && balance > 0 {
		g.Limit = balance * (b.burst / 2) / b.outstanding
	}
	if err := b.checkInvariant(team.Name, before, ceiling); err != nil {
		return nil, err
	}
	if t.GetWant() <= 0 && held.outstanding == 0 {
		delete(r.teams, team.Name)
	}
	if t.GetWant() <= 0 && g.Limit == 0 && !g.Recall {
		return nil, nil
	}
	return g, nil
}

func (l *Ledger) grantTokens(now clock.Reading, b *bucket, r *holderRecord, o *holderTokens, t *peerv1.TeamReport) *peerv1.TeamGrant {
	g := &peerv1.TeamGrant{Team: t.GetTeam()}
	want := float64(t.GetWant())
	spare := b.spare(now.Lower, r.remote)
	o.need = float64(t.GetNeed())
	requested := want
	if b.isContended(now.Lower) {
		requested = min(want, o.need)
		g.Recall = o.need == 0 && o.outstanding > tolerance
	}
	if requested > 0 {
		g.Granted = min(requested, spare)
		b.grant(g.Granted)
		o.outstanding += g.Granted
	}
	if !r.remote && o.need > g.Granted+tolerance {
		b.contendedAt = now.Lower
		l.contended[t.GetTeam()] = struct{}{}
	}
	g.Spare = float32(max(0, spare-g.Granted))
	if !r.remote && want > 0 {
		b.unmetWant, b.unmetAt = want-g.Granted, now.Lower
	}
	return g
}

// recallUnreportedTokens recalls balances of contended teams that the holder
// did not report and therefore does not need.
func (l *Ledger) recallUnreportedTokens(now clock.Reading, r *holderRecord, req *peerv1.RenewRequest, resp *peerv1.RenewResponse) {
	for name := range l.contended {
		if b := l.buckets[name]; b == nil || !b.isContended(now.Lower) {
			delete(l.contended, name)
			continue
		}
		o := r.teams[name]
		if o == nil || o.outstanding <= tolerance || o.need > 0 ||
			slices.ContainsFunc(req.GetTeams(), func(t *peerv1.TeamReport) bool { return t.GetTeam() == name }) {
			continue
		}
		resp.Teams = append(resp.Teams, &peerv1.TeamGrant{Team: name, Recall: true})
	}
}

// creditRefunds credits what requests did not use of their debits. The report was
// sent after the holder had applied the response r.applied. A debit whose age in
// the report is a was therefore made at the earliest a before that response was
// given.
func (l *Ledger) creditRefunds(now clock.Reading, b *bucket, r *holderRecord, t *peerv1.TeamReport, ceiling float64) {
	if r.applied == 0 {
		return
	}
	for _, f := range t.GetRefunds() {
		age := clock.ForGrantor(time.Duration(f.GetAgeMs()) * time.Millisecond)
		b.refund(now.Lower, r.appliedAt-age, f.GetTokens(), ceiling)
	}
}

// refilledBucket returns the team's bucket, refilled, and the upper bound of
// its level plus outstanding leases: half of the burst while leases of a
// predecessor may be outstanding.
func (l *Ledger) refilledBucket(now clock.Reading, region *config.Region, team *config.Team) (*bucket, float64) {
	rate, burst := RegionLimits(region, team)
	b := l.buckets[team.Name]
	if b == nil {
		b = newBucket(l.startedAt, now.Lower, rate, burst)
		l.buckets[team.Name] = b
	}
	ceiling := burst
	if l.inStartupPeriod(now) {
		ceiling = burst / 2
	}
	b.advance(now.Lower, rate, burst, ceiling)
	return b, ceiling
}

// inStartupPeriod reports whether leases of the previous leader may be
// outstanding.
func (l *Ledger) inStartupPeriod(now clock.Reading) bool {
	return now.Lower < l.startedAt+clock.ForGrantor(Validity)
}

// RegionLimits returns the region's share of the team's rate and burst. While
// the share is being changed, the smaller of the two values applies.
func RegionLimits(region *config.Region, team *config.Team) (rate, burst float64) {
	share := region.EffectiveShare()
	return team.Rate * share, team.Burst * share
}
