package lease

import (
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
)

const (
	// ownHorizon and lentHorizon are how much of the recent demand a holder
	// keeps as balance: a few ticks, and for lenders a wide-area round trip
	// more.
	ownHorizon  = 600 * time.Millisecond
	lentHorizon = 1200 * time.Millisecond
	// keepHorizon is the demand above which a balance is returned.
	keepHorizon = 1800 * time.Millisecond
	// largestFor is how long after a request the next one is provided for. Then
	// the whole balance is returned in one report.
	largestFor = 2 * time.Second
	// dropAfter is how long a team without traffic is remembered.
	dropAfter = 30 * time.Second
	// maxRefunds bounds the refunds of one balance that wait for a report.
	maxRefunds = 32
)

// portion is an amount of tokens with one expiry.
type portion struct {
	amount float64
	until  time.Duration // upper reading
}

func (p *portion) expire(now time.Duration) bool {
	if p.amount == 0 || now < p.until {
		return false
	}
	p.amount = 0
	return true
}

// pendingRefund is a refund that waits for a report.
type pendingRefund struct {
	tokens float64
	at     time.Duration // upper reading of the admission
}

// balance is what a holder has of a team's tokens from one region.
type balance struct {
	shard leadership.Shard
	// current is of the link's ballot, previous of the one before.
	current, previous portion
	spent             float64 // of the current ballot, cumulative
	refunds           []pendingRefund

	changed bool   // since the last report
	sentIn  uint64 // sequence of the last report
	asked   float64
	lacking float64 // what the grantor last could not give
	// refused is what was waiting when the grantor last gave less than asked. A
	// request is urgent only for more than that.
	refused, askedFor float64
	spare             float64 // what it could give in addition
	spareAt           time.Duration
}

func (b *balance) expire(now time.Duration) {
	if b.current.expire(now) {
		b.changed = true
	}
	b.previous.expire(now)
}

func (b *balance) total() float64 { return b.current.amount + b.previous.amount }

// take debits up to n tokens and returns how many, and until when they are valid.
func (b *balance) take(n float64) (float64, time.Duration) {
	until := time.Duration(1<<63 - 1)
	taken := min(n, b.previous.amount)
	if taken > 0 {
		b.previous.amount -= taken
		until = b.previous.until
	}
	if rest := min(n-taken, b.current.amount); rest > 0 {
		b.current.amount -= rest
		b.spent += rest
		b.changed = true
		until = min(until, b.current.until)
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
	last.at = min(last.at, r.at)
}

// teamHold is what a holder has of one team.
type teamHold struct {
	mu struct {
		sync.Mutex
		balances []*balance // the own region's first
		demand   average
		waiting  float64 // tokens that queued requests need
		largest  float64 // recent request
		lastUse  time.Duration
		dropped  bool
	}
}

// debit takes n tokens, from a single region if one has enough.
func (t *teamHold) debit(now clock.Reading, team string, n float64) (Debit, bool) {
	a := Debit{Team: team, Tokens: n, DebitedAt: now.Upper}
	sum := 0.0
	var single *balance
	for _, b := range t.mu.balances {
		b.expire(now.Upper)
		sum += b.total()
		if single == nil && b.total() >= n {
			single = b
		}
	}
	t.mu.lastUse = now.Upper
	if n > t.mu.largest {
		t.mu.largest = n
	}
	switch {
	case single != nil:
		a.Region = single.shard.Region
		_, a.ValidUntil = single.take(n)
	case sum >= n:
		t.gather(&a, n)
	default:
		return Debit{}, false
	}
	t.mu.demand.add(now.Upper, n)
	return a, true
}

// gather debits n tokens from several regions. The admission ends with the
// first of their grants.
func (t *teamHold) gather(a *Debit, n float64) {
	a.ValidUntil = time.Duration(1<<63 - 1)
	for _, b := range t.mu.balances {
		took, until := b.take(n)
		if took == 0 {
			continue
		}
		n -= took
		a.ValidUntil = min(a.ValidUntil, until)
		if a.Region == "" {
			a.Region = b.shard.Region
			continue
		}
		a.OtherRegions = append(a.OtherRegions, PartialDebit{Region: b.shard.Region, Tokens: took})
	}
}

// refund queues the unused tokens for the regions they came from, in the
// proportion of the parts.
func (t *teamHold) refund(a Debit, unused float64) {
	unused = min(unused, a.Tokens)
	if unused <= 0 || a.Tokens <= 0 {
		return
	}
	first := a.Tokens
	for _, p := range a.OtherRegions {
		first -= p.Tokens
		t.refundTo(p.Region, unused*p.Tokens/a.Tokens, a.DebitedAt)
	}
	t.refundTo(a.Region, unused*first/a.Tokens, a.DebitedAt)
}

func (t *teamHold) refundTo(region string, tokens float64, at time.Duration) {
	for _, b := range t.mu.balances {
		if b.shard.Region == region {
			b.refund(pendingRefund{tokens, at})
			return
		}
	}
}

// need is the balance over all regions that the team should have for demand
// over the horizon.
func (t *teamHold) need(now time.Duration, horizon time.Duration) float64 {
	if now-t.mu.lastUse > largestFor {
		t.mu.largest = 0
		return t.mu.waiting
	}
	return t.mu.demand.rate(now)*horizon.Seconds() + t.mu.largest + t.mu.waiting
}

func (t *teamHold) expire(now time.Duration) (total float64) {
	for _, b := range t.mu.balances {
		b.expire(now)
		total += b.total()
	}
	return total
}

// of returns the balance from the shard's grantor; it creates one for the
// regions in play.
func (t *teamHold) of(shard leadership.Shard, own bool) *balance {
	for _, b := range t.mu.balances {
		if b.shard == shard {
			return b
		}
	}
	b := &balance{shard: shard}
	if own {
		t.mu.balances = append([]*balance{b}, t.mu.balances...)
	} else {
		t.mu.balances = append(t.mu.balances, b)
	}
	return b
}

// idle reports whether nothing is held, wanted or unreported.
func (t *teamHold) idle(now time.Duration, confirmed func(*balance) bool) bool {
	if now-t.mu.lastUse < dropAfter || t.mu.waiting > 0 {
		return false
	}
	for _, b := range t.mu.balances {
		if b.total() > 0 || b.changed || len(b.refunds) > 0 || !confirmed(b) {
			return false
		}
	}
	return true
}
