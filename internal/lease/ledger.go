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
	// rememberHolder is how long the sequence of a silent holder is kept, so
	// that a delayed request is recognised as old.
	rememberHolder = time.Minute
	// expireEvery spaces passes over all holders; dropping one late is safe.
	expireEvery = 50 * time.Millisecond
	// maxHolders bounds the holders of one ledger.
	maxHolders = 4096
	// maxEntries bounds the teams and targets in one report.
	maxEntries = 8192
	// maxSlots bounds the counts in a report about one target.
	maxSlots = 1 << 20
	// maxReclaims bounds the reclaims that wait to be logged.
	maxReclaims = 1024
)

// ErrInvalidRequest marks a renewal that cannot be judged.
var ErrInvalidRequest = errors.New("invalid renewal")

// Ledger is the state of a grantor during one term. It is not safe for
// concurrent use.
type Ledger struct {
	shard   leadership.Shard
	ballot  uint64
	start   time.Duration // lower reading
	buckets map[string]*bucket
	slots   map[string]*slots
	holders map[holderKey]*record
	events  []UnconfirmedSlots
	scarce  map[string]struct{} // teams whose bucket is scarce
	expired time.Duration       // lower reading of the last pass over all holders
}

// holderKey names a holder from one loss of its ballot to the next.
type holderKey struct {
	leadership.Process
	epoch uint64
}

// record is what the grantor knows of one holder.
type record struct {
	live      bool // grants may be outstanding
	foreign   bool // of another region
	sequence  uint64
	handledAt time.Duration
	expires   time.Duration
	answer    *peerv1.RenewResponse
	// The last answer that the holder surely took, and when it was given.
	applied   uint64
	appliedAt time.Duration
	teams     map[string]*outstanding
	slots     map[string]int
	// claims were accepted in the last answer, which the holder may not have
	// taken.
	claims  map[string]int
	loads   map[string]uint64 // version of the load last told
	loadsAt time.Duration
	// reset is set while the last answer voided what the holder had.
	reset bool
}

// outstanding is what a holder has of a team's tokens.
type outstanding struct {
	out   float64
	spent float64 // cumulative, as last reported
	need  float64 // as last reported
}

// NewLedger returns the ledger of a term that was confirmed at or before now.
func NewLedger(now clock.Reading, shard leadership.Shard, ballot uint64) *Ledger {
	return &Ledger{
		shard: shard, ballot: ballot, start: now.Lower,
		buckets: make(map[string]*bucket),
		slots:   make(map[string]*slots),
		holders: make(map[holderKey]*record),
		scarce:  make(map[string]struct{}),
	}
}

// Ballot returns the ballot of the term.
func (l *Ledger) Ballot() uint64 { return l.ballot }

// Renew answers a holder. now must be a reading at which the term was valid,
// and ed the edition in force. An assertion failure comes with an answer that
// voids what the holder has.
func (l *Ledger) Renew(now clock.Reading, ed *config.Config, req *peerv1.RenewRequest) (*peerv1.RenewResponse, error) {
	if err := valid(req); err != nil {
		return nil, err
	}
	region := ed.Regions[l.shard.Region]
	if region == nil || req.GetBallot() > l.ballot {
		return &peerv1.RenewResponse{Sequence: req.GetSequence(), Ballot: l.ballot}, nil
	}
	if now.Lower-l.expired >= expireEvery {
		l.ExpireHolders(now)
	}
	key := holderKey{leadership.ProcessFromProto(req.GetHolder()), req.GetEpoch()}
	r := l.holders[key]
	if r == nil {
		if len(l.holders) >= maxHolders {
			return nil, errors.Wrap(ErrInvalidRequest, "too many holders")
		}
		r = &record{loads: make(map[string]uint64)}
		l.holders[key] = r
	}
	resp := &peerv1.RenewResponse{
		Grantor: true, Ballot: l.ballot, Sequence: req.GetSequence(),
		ValidityMs: uint32(Validity / time.Millisecond),
	}
	switch {
	case req.GetSequence() < r.sequence:
		return resp, nil
	case req.GetSequence() == r.sequence && r.answer != nil:
		return r.answer, nil
	case req.GetSequence() == r.sequence:
		resp.Reset_ = true
		return resp, nil
	}
	if r.live && now.Lower >= r.expires {
		l.drop(r, key)
	}
	r.foreign = req.GetHolder().GetRegion() != l.shard.Region
	l.open(r, key, req, resp)
	err := l.judge(now, ed, region, r, req, resp)
	if err != nil {
		l.drop(r, key)
		r.teams, r.slots = make(map[string]*outstanding), make(map[string]int)
		resp.Teams, resp.Targets, resp.Reset_ = nil, nil, true
	}
	r.sequence, r.handledAt, r.answer = req.GetSequence(), now.Lower, resp
	r.expires = now.Lower + clock.ForGrantor(Validity)
	r.live, r.reset = true, resp.Reset_
	return resp, err
}

// valid checks the form of a request.
func valid(req *peerv1.RenewRequest) error {
	if req.GetHolder().GetInstance() == "" || req.GetSequence() == 0 ||
		len(req.GetTeams()) > maxEntries || len(req.GetTargets()) > maxEntries {
		return errors.Wrap(ErrInvalidRequest, "holder and sequence must be set and the report be bounded")
	}
	amount := func(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }
	for _, t := range req.GetTeams() {
		if !amount(t.GetBalance()) || !amount(float64(t.GetWant())) || !amount(t.GetSpent()) || !amount(float64(t.GetNeed())) || len(t.GetRefunds()) > maxRefunds {
			return errors.Wrapf(ErrInvalidRequest, "team %q", t.GetTeam())
		}
		for _, f := range t.GetRefunds() {
			if !amount(f.GetTokens()) {
				return errors.Wrapf(ErrInvalidRequest, "refund of team %q", t.GetTeam())
			}
		}
	}
	for _, t := range req.GetTargets() {
		if max(t.GetIdle(), t.GetBusy(), t.GetWant(), t.GetClaimed()) > maxSlots {
			return errors.Wrapf(ErrInvalidRequest, "target %q", t.GetTarget())
		}
	}
	return nil
}

// open brings the record to the state that the request assumes.
func (l *Ledger) open(r *record, key holderKey, req *peerv1.RenewRequest, resp *peerv1.RenewResponse) {
	if req.GetApplied() != r.sequence {
		l.revertClaims(r)
	}
	r.claims = nil
	took := r.reset && req.GetApplied() == r.sequence || !r.reset
	switch {
	case r.live && !took:
		// The holder did not take the answer that opened the record, and
		// ignores it from now on.
		l.giveBack(r)
	case r.live && req.GetBallot() != l.ballot:
		// Ballots do not fall within an epoch; nothing is known of the rest.
		l.drop(r, key)
	}
	if !r.live || req.GetBallot() != l.ballot {
		resp.Reset_ = true
		r.teams, r.slots = make(map[string]*outstanding), make(map[string]int)
		r.applied, r.appliedAt = 0, 0
	}
	if req.GetBallot() == l.ballot && r.sequence != 0 && req.GetApplied() == r.sequence {
		r.applied, r.appliedAt = r.sequence, r.handledAt
	}
}

func (l *Ledger) judge(now clock.Reading, ed *config.Config, region *config.Region, r *record, req *peerv1.RenewRequest, resp *peerv1.RenewResponse) error {
	for _, t := range req.GetTeams() {
		team := ed.Teams[t.GetTeam()]
		if team == nil || leadership.ShardFor(region, team.Name) != l.shard {
			resp.Teams = append(resp.Teams, l.void(r, t))
			continue
		}
		g, err := l.team(now, region, team, r, req, resp, t)
		if err != nil {
			return err
		}
		if g != nil {
			resp.Teams = append(resp.Teams, g)
		}
	}
	l.recallTokens(now, r, req, resp)
	if r.foreign {
		return nil
	}
	for _, t := range req.GetTargets() {
		g, err := l.target(now, ed, r, req, resp, t)
		if err != nil {
			return err
		}
		if g != nil {
			resp.Targets = append(resp.Targets, g)
		}
	}
	l.recallOthers(now, r, req, resp)
	l.tellLoads(now, r, resp)
	return nil
}

// void answers a report about a team that the shard does not have.
func (l *Ledger) void(r *record, t *peerv1.TeamReport) *peerv1.TeamGrant {
	if o := r.teams[t.GetTeam()]; o != nil {
		if b := l.buckets[t.GetTeam()]; b != nil {
			b.settle(o.out, 0, o.out)
		}
		delete(r.teams, t.GetTeam())
	}
	return &peerv1.TeamGrant{Team: t.GetTeam(), Limit: tolerance}
}

func (l *Ledger) team(now clock.Reading, region *config.Region, team *config.Team, r *record, req *peerv1.RenewRequest, resp *peerv1.RenewResponse, t *peerv1.TeamReport) (*peerv1.TeamGrant, error) {
	b, ceiling := l.bucket(now, region, team)
	before := b.level + b.out
	o := r.teams[team.Name]
	if o == nil {
		o = &outstanding{}
		if !resp.GetReset_() {
			o.spent = t.GetSpent()
		}
		r.teams[team.Name] = o
	}
	balance := t.GetBalance()
	if !resp.GetReset_() {
		spent := t.GetSpent() - o.spent
		slack := tolerance + t.GetSpent()*relativeTolerance
		if balance < 0 || spent < -slack || balance+spent > o.out+slack {
			return nil, errors.AssertionFailedf("team %s: holder %s declares balance %g and %g spent of %g outstanding",
				team.Name, req.GetHolder().GetInstance(), balance, spent, o.out)
		}
		spent = max(0, spent)
		b.settle(o.out, balance, spent)
		o.out, o.spent = balance, t.GetSpent()
		if !r.foreign {
			b.demand.add(now.Lower, spent)
		}
		b.note(now.Lower, ceiling)
		l.refund(now, b, r, t, ceiling)
	} else {
		balance = 0
	}
	g := l.giveTokens(now, b, r, o, t)
	b.note(now.Lower, ceiling)
	if excess := b.out - b.burst/2; excess > tolerance && balance > 0 {
		g.Limit = balance * (b.burst / 2) / b.out
	}
	if err := b.check(team.Name, before, ceiling); err != nil {
		return nil, err
	}
	if t.GetWant() <= 0 && o.out == 0 {
		delete(r.teams, team.Name)
	}
	if t.GetWant() <= 0 && g.Limit == 0 && !g.Recall {
		return nil, nil
	}
	return g, nil
}

func (l *Ledger) giveTokens(now clock.Reading, b *bucket, r *record, o *outstanding, t *peerv1.TeamReport) *peerv1.TeamGrant {
	g := &peerv1.TeamGrant{Team: t.GetTeam()}
	want := float64(t.GetWant())
	spare := b.spare(now.Lower, r.foreign)
	o.need = float64(t.GetNeed())
	ask := want
	if b.scarce(now.Lower) {
		ask = min(want, o.need)
		g.Recall = o.need == 0 && o.out > tolerance
	}
	if ask > 0 {
		g.Granted = min(ask, spare)
		b.give(g.Granted)
		o.out += g.Granted
	}
	if !r.foreign && o.need > g.Granted+tolerance {
		b.scarceAt = now.Lower
		l.scarce[t.GetTeam()] = struct{}{}
	}
	g.Spare = float32(max(0, spare-g.Granted))
	if !r.foreign && want > 0 {
		b.unmet, b.unmetAt = want-g.Granted, now.Lower
	}
	return g
}

// recallTokens asks for balances of scarce teams that the holder did not
// report, thus does not need.
func (l *Ledger) recallTokens(now clock.Reading, r *record, req *peerv1.RenewRequest, resp *peerv1.RenewResponse) {
	for name := range l.scarce {
		if b := l.buckets[name]; b == nil || !b.scarce(now.Lower) {
			delete(l.scarce, name)
			continue
		}
		o := r.teams[name]
		if o == nil || o.out <= tolerance || o.need > 0 ||
			slices.ContainsFunc(req.GetTeams(), func(t *peerv1.TeamReport) bool { return t.GetTeam() == name }) {
			continue
		}
		resp.Teams = append(resp.Teams, &peerv1.TeamGrant{Team: name, Recall: true})
	}
}

// refund credits what admissions did not use. The report was sent after the
// holder took the last applied answer, so an admission of age a before the
// report happened at the earliest a before that answer was given.
func (l *Ledger) refund(now clock.Reading, b *bucket, r *record, t *peerv1.TeamReport, ceiling float64) {
	if r.applied == 0 {
		return
	}
	for _, f := range t.GetRefunds() {
		age := clock.ForGrantor(time.Duration(f.GetAgeMs()) * time.Millisecond)
		b.refund(now.Lower, r.appliedAt-age, f.GetTokens(), ceiling)
	}
}

// bucket returns the team's bucket, refilled, and the bound of its level plus
// outstanding grants: half of the burst while grants of a predecessor may be
// outstanding.
func (l *Ledger) bucket(now clock.Reading, region *config.Region, team *config.Team) (*bucket, float64) {
	rate, burst := RegionLimits(region, team)
	b := l.buckets[team.Name]
	if b == nil {
		b = newBucket(l.start, now.Lower, rate, burst)
		l.buckets[team.Name] = b
	}
	ceiling := burst
	if l.opening(now) {
		ceiling = burst / 2
	}
	b.advance(now.Lower, rate, burst, ceiling)
	return b, ceiling
}

// opening reports whether grants of the predecessor may be outstanding.
func (l *Ledger) opening(now clock.Reading) bool {
	return now.Lower < l.start+clock.ForGrantor(Validity)
}

// RegionLimits returns the region's part of the team's rate and burst. While the share
// is being changed, the smaller one applies.
func RegionLimits(region *config.Region, team *config.Team) (rate, burst float64) {
	share := region.EffectiveShare()
	return team.Rate * share, team.Burst * share
}
