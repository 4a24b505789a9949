package lease

import (
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
)

const (
	// localHorizon and remoteHorizon are the time for which a holder keeps
	// recent demand as balance: a few renewal intervals, and with remote
	// leaders a wide-area round trip more.
	localHorizon  = 600 * time.Millisecond
	remoteHorizon = 1200 * time.Millisecond
	// keepHorizon is the time of recent demand above which a balance is
	// returned.
	keepHorizon = 1800 * time.Millisecond
	// largestRequestRetention is how long after a request tokens are kept for
	// the next one. After that, the whole balance is returned in one report.
	largestRequestRetention = 2 * time.Second
	// idleRetention is how long the state of an unused team or target is kept.
	idleRetention = 30 * time.Second
	// maxRefunds bounds the refunds of one balance that wait for a report.
	maxRefunds = 32
)

// leasedTokens is an amount of tokens that expire together.
type leasedTokens struct {
	amount     float64
	validUntil time.Duration // upper clock reading
}

func (p *leasedTokens) expire(now time.Duration) bool {
	if p.amount == 0 || now < p.validUntil {
		return false
	}
	p.amount = 0
	return true
}

// pendingRefund is a refund that waits for a report.
type pendingRefund struct {
	tokens    float64
	debitedAt time.Duration // upper clock reading
}

// balance is what a holder has of a team's tokens from one region.
type balance struct {
	shard leadership.Shard
	// current is leased under the ballot of the leader link, previous under the
	// ballot before.
	current, previous leasedTokens
	spent             float64 // cumulative, under the current ballot
	refunds           []pendingRefund

	changed        bool   // since the last report
	reportSequence uint64 // sequence number of the last report
	wanted         float64
	unmetWant      float64 // tokens the leader last did not grant
	// refusedWaiting is the number of tokens that waiting requests needed when
	// the leader last granted less than wanted. A renewal is urgent only if
	// more are needed than that. reportedWaiting is the number as of the last
	// report.
	refusedWaiting, reportedWaiting float64
	spare                           float64 // what the leader could have granted in addition
	spareAt                         time.Duration
}

func (b *balance) expire(now time.Duration) {
	if b.current.expire(now) {
		b.changed = true
	}
	b.previous.expire(now)
}

func (b *balance) total() float64 { return b.current.amount + b.previous.amount }

// take debits up to n tokens. It returns how many it took and until when they
// are valid.
func (b *balance) take(n float64) (float64, time.Duration) {
	until := time.Duration(1<<63 - 1)
	taken := min(n, b.previous.amount)
	if taken > 0 {
		b.previous.amount -= taken
		until = b.previous.validUntil
	}
	if rest := min(n-taken, b.current.amount); rest > 0 {
		b.current.amount -= rest
		b.spent += rest
		b.changed = true
		until = min(until, b.current.validUntil)
		taken += rest
	}
	return taken, until
}

func (b *balance) refund(r pendingRefund) {
	if len(b.refunds) < maxRefunds {
		b.refunds = append(b.refunds, r)
		return
	}
	last := &b.refunds[maxRefunds-1]
	last.tokens += r.tokens
	last.debitedAt = min(last.debitedAt, r.debitedAt)
}

// teamState is what a holder has of one team.
type teamState struct {
	mu struct {
		sync.Mutex
		balances       []*balance // the local region's first
		demand         movingRate
		waitingTokens  float64 // tokens that queued requests need
		largestRequest float64 // of the recent requests
		lastUsed       time.Duration
		dropped        bool
	}
}

// debit takes n tokens, from a single region if one has enough.
func (t *teamState) debit(now clock.Reading, team string, n float64) (Debit, bool) {
	d := Debit{Team: team, Tokens: n, DebitedAt: now.Upper}
	sum := 0.0
	var single *balance
	for _, b := range t.mu.balances {
		b.expire(now.Upper)
		sum += b.total()
		if single == nil && b.total() >= n {
			single = b
		}
	}
	t.mu.lastUsed = now.Upper
	if n > t.mu.largestRequest {
		t.mu.largestRequest = n
	}
	switch {
	case single != nil:
		d.Region = single.shard.Region
		_, d.ValidUntil = single.take(n)
	case sum >= n:
		t.debitSeveral(&d, n)
	default:
		return Debit{}, false
	}
	t.mu.demand.add(now.Upper, n)
	return d, true
}

// debitSeveral debits n tokens from several regions. The debit is valid until
// the first of their leases ends.
func (t *teamState) debitSeveral(d *Debit, n float64) {
	d.ValidUntil = time.Duration(1<<63 - 1)
	for _, b := range t.mu.balances {
		taken, until := b.take(n)
		if taken == 0 {
			continue
		}
		n -= taken
		d.ValidUntil = min(d.ValidUntil, until)
		if d.Region == "" {
			d.Region = b.shard.Region
			continue
		}
		d.OtherRegions = append(d.OtherRegions, PartialDebit{Region: b.shard.Region, Tokens: taken})
	}
}

// refund queues the unused tokens for the regions they came from, in proportion
// to what each contributed.
func (t *teamState) refund(d Debit, unused float64) {
	unused = min(unused, d.Tokens)
	if unused <= 0 || d.Tokens <= 0 {
		return
	}
	mainTokens := d.Tokens
	for _, p := range d.OtherRegions {
		mainTokens -= p.Tokens
		t.refundTo(p.Region, unused*p.Tokens/d.Tokens, d.DebitedAt)
	}
	t.refundTo(d.Region, unused*mainTokens/d.Tokens, d.DebitedAt)
}

func (t *teamState) refundTo(region string, tokens float64, at time.Duration) {
	for _, b := range t.mu.balances {
		if b.shard.Region == region {
			b.refund(pendingRefund{tokens, at})
			return
		}
	}
}

// requiredBalance is the balance over all regions that the team should have to
// meet demand over the horizon.
func (t *teamState) requiredBalance(now time.Duration, horizon time.Duration) float64 {
	if now-t.mu.lastUsed > largestRequestRetention {
		t.mu.largestRequest = 0
		return t.mu.waitingTokens
	}
	return t.mu.demand.rate(now)*horizon.Seconds() + t.mu.largestRequest + t.mu.waitingTokens
}

func (t *teamState) expire(now time.Duration) (total float64) {
	for _, b := range t.mu.balances {
		b.expire(now)
		total += b.total()
	}
	return total
}

// balanceFrom returns the balance leased by the shard's leader, and creates it
// if there is none.
func (t *teamState) balanceFrom(shard leadership.Shard, local bool) *balance {
	for _, b := range t.mu.balances {
		if b.shard == shard {
			return b
		}
	}
	b := &balance{shard: shard}
	if local {
		t.mu.balances = append([]*balance{b}, t.mu.balances...)
	} else {
		t.mu.balances = append(t.mu.balances, b)
	}
	return b
}

// idle reports whether the state can be dropped: nothing is held, wanted or
// unreported, and the team was not used for a while.
func (t *teamState) idle(now time.Duration, confirmed func(*balance) bool) bool {
	if now-t.mu.lastUsed < idleRetention || t.mu.waitingTokens > 0 {
		return false
	}
	for _, b := range t.mu.balances {
		if b.total() > 0 || b.changed || len(b.refunds) > 0 || !confirmed(b) {
			return false
		}
	}
	return true
}
