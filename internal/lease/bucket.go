package lease

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// tolerance absorbs rounding of sums of tokens, in tokens.
	tolerance = 1e-6
	// relativeTolerance covers the rounding of a cumulative count of tokens.
	relativeTolerance = 1e-12
	// slowRefill lowers the refill because the grantor's clock may run 1% fast.
	slowRefill = 0.99
	// demandWindow is the time constant of the moving average of demand.
	demandWindow = 2 * time.Second
	// keepBack is how much of its own region's recent demand a grantor keeps
	// when it lends, as a time.
	keepBack = time.Second
	// scarceFor is how long after a request waited in vain balances that are
	// not needed at once are recalled. Without this, with a burst of one or two
	// seconds of the rate, idle balances take up the half that may be
	// outstanding while requests wait at other holders.
	scarceFor = time.Second
	// maxLows bounds the history of headroom of one bucket. Older entries are
	// merged to the smaller headroom, which only shortens refunds.
	maxLows = 16
)

// low is the least headroom from the entry before it up to at.
type low struct {
	at       time.Duration
	headroom float64
}

// bucket is a region's part of one team's rate and burst.
type bucket struct {
	rate, burst float64 // the region's part
	level, out  float64
	at          time.Duration // lower reading of the last refill
	since       time.Duration // start of the history of headroom
	lows        []low         // ascending in time and headroom

	demand  average // tokens per second spent by the own region's holders
	unmet   float64 // tokens that holders of the own region last lacked
	unmetAt time.Duration
	// scarceAt is when a waiting request of the own region last found too
	// little; 0 for never. Then nobody is given tokens in advance.
	scarceAt time.Duration
}

// newBucket returns a bucket that was empty at start and of which nothing is
// known before now: it may have been forgotten while it was full.
func newBucket(start, now time.Duration, rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, at: start, since: now}
}

// advance refills the bucket up to now and applies a changed rate and burst.
// The level plus outstanding grants stay within ceiling.
func (b *bucket) advance(now time.Duration, rate, burst, ceiling float64) {
	if dt := now - b.at; dt > 0 {
		// The edit happened at some point in the interval.
		b.level += min(b.rate, rate) * slowRefill * dt.Seconds()
		b.at = now
	}
	b.rate, b.burst = rate, burst
	b.level = max(0, min(b.level, ceiling-b.out))
	b.note(now, ceiling)
}

// note records the headroom at now.
func (b *bucket) note(now time.Duration, ceiling float64) {
	h := max(0, ceiling-b.level-b.out)
	for len(b.lows) > 0 && b.lows[len(b.lows)-1].headroom >= h {
		b.lows = b.lows[:len(b.lows)-1]
	}
	b.lows = append(b.lows, low{now, h})
	if len(b.lows) > maxLows {
		b.lows[1].headroom = b.lows[0].headroom
		b.lows = append(b.lows[:0], b.lows[1:]...)
	}
}

// leastHeadroom returns the least headroom since t.
func (b *bucket) leastHeadroom(t time.Duration) float64 {
	if t < b.since {
		return 0
	}
	for _, l := range b.lows {
		if l.at >= t {
			return l.headroom
		}
	}
	return 0
}

// refund credits tokens that an admission at or after t did not use.
func (b *bucket) refund(now, t time.Duration, tokens, ceiling float64) {
	credit := min(tokens, b.leastHeadroom(t))
	if credit > 0 {
		b.level += credit
		b.note(now, ceiling)
	}
}

// settle takes a holder's report into account: of the outstanding tokens out
// it declares balance unspent; spent tokens were spent; the rest returns.
func (b *bucket) settle(out, balance, spent float64) {
	b.out = max(0, b.out-out+balance)
	b.level += max(0, out-balance-spent)
}

// keep is what the bucket does not lend to other regions.
func (b *bucket) keep(now time.Duration) float64 {
	k := b.demand.rate(now) * keepBack.Seconds()
	if now-b.unmetAt < keepBack {
		k += b.unmet
	}
	return min(k, b.burst/2)
}

// scarce reports whether requests waited for tokens recently.
func (b *bucket) scarce(now time.Duration) bool {
	return b.scarceAt != 0 && now-b.scarceAt < scarceFor
}

// spare is what a holder can be given.
func (b *bucket) spare(now time.Duration, foreign bool) float64 {
	s := min(b.level, b.burst/2-b.out)
	if foreign {
		s = min(s, b.level-b.keep(now))
	}
	return max(0, s)
}

// give moves tokens from the level to the outstanding grants.
func (b *bucket) give(n float64) {
	b.level = max(0, b.level-n)
	b.out += n
}

// check reports a violated invariant. before is the sum of level and
// outstanding tokens at the start of the step: an edit that lowers the burst
// leaves outstanding tokens above the ceiling until they are reported.
func (b *bucket) check(team string, before, ceiling float64) error {
	sum, bound := b.level+b.out, max(ceiling, before)
	if b.level < 0 || b.out < 0 || sum > bound+tolerance || math.IsNaN(sum) {
		return errors.AssertionFailedf("team %s: level %g plus outstanding %g exceeds %g", team, b.level, b.out, bound)
	}
	return nil
}

// average is an exponentially weighted rate of amounts.
type average struct {
	value float64 // per second
	at    time.Duration
}

func (a *average) add(now time.Duration, x float64) {
	a.value = a.rate(now) + x/demandWindow.Seconds()
	a.at = now
}

func (a *average) rate(now time.Duration) float64 {
	dt := now - a.at
	if dt <= 0 || a.value == 0 {
		return a.value
	}
	return a.value * math.Exp(-dt.Seconds()/demandWindow.Seconds())
}
