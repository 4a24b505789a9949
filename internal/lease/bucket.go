package lease

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// tolerance absorbs rounding in sums of tokens. Unit: tokens.
	tolerance = 1e-6
	// relativeTolerance covers the rounding of a cumulative token count.
	relativeTolerance = 1e-12
	// refillFactor lowers the refill because the leader's clock may run 1%
	// fast.
	refillFactor = 0.99
	// demandWindow is the time constant of the moving average of demand.
	demandWindow = 2 * time.Second
	// reserveHorizon is the time for which a leader reserves its local region's
	// recent demand when it grants tokens to remote regions.
	reserveHorizon = time.Second
	// contentionWindow is how long a team counts as contended after a request
	// waited for tokens that were not available. Balances of a contended team
	// that are not needed at once are recalled. Without this, with a burst of
	// one or two seconds of the rate, idle balances take up the half of the
	// burst that may be outstanding while requests wait at other holders.
	contentionWindow = time.Second
	// maxHeadroomMinima bounds the history of headroom of one bucket. Beyond it
	// the two oldest entries are merged to the smaller headroom, which can only
	// reduce refunds.
	maxHeadroomMinima = 16
)

// headroomMinimum is the least headroom from the previous entry up to at.
type headroomMinimum struct {
	at       time.Duration
	headroom float64
}

// bucket is the token bucket for a region's share of one team's rate and burst.
type bucket struct {
	rate, burst        float64 // the region's share
	level, outstanding float64
	refilledAt         time.Duration     // lower clock reading of the last refill
	historyStart       time.Duration     // start of the history of headroom
	headroomMinima     []headroomMinimum // ascending in time and headroom

	demand    movingRate // tokens per second spent by holders of the local region
	unmetWant float64    // tokens last wanted by a local holder and not granted
	unmetAt   time.Duration
	// contendedAt is when a waiting request of the local region last found too
	// few tokens; 0 if never. While the team is contended, no tokens are
	// granted in advance.
	contendedAt time.Duration
}

// newBucket returns a bucket that was empty at start and whose headroom is
// unknown before now: an earlier bucket of the team may have been pruned while
// it was full.
func newBucket(start, now time.Duration, rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, refilledAt: start, historyStart: now}
}

// advance refills the bucket up to now and applies a changed rate and burst.
// The level plus outstanding leases stays within ceiling.
func (b *bucket) advance(now time.Duration, rate, burst, ceiling float64) {
	if dt := now - b.refilledAt; dt > 0 {
		// The rate changed at an unknown point in the interval, so the smaller
		// one applies to all of it.
		b.level += min(b.rate, rate) * refillFactor * dt.Seconds()
		b.refilledAt = now
	}
	b.rate, b.burst = rate, burst
	b.level = max(0, min(b.level, ceiling-b.outstanding))
	b.recordHeadroom(now, ceiling)
}

// recordHeadroom records the headroom at now.
func (b *bucket) recordHeadroom(now time.Duration, ceiling float64) {
	h := max(0, ceiling-b.level-b.outstanding)
	for len(b.headroomMinima) > 0 && b.headroomMinima[len(b.headroomMinima)-1].headroom >= h {
		b.headroomMinima = b.headroomMinima[:len(b.headroomMinima)-1]
	}
	b.headroomMinima = append(b.headroomMinima, headroomMinimum{now, h})
	if len(b.headroomMinima) > maxHeadroomMinima {
		b.headroomMinima[1].headroom = b.headroomMinima[0].headroom
		b.headroomMinima = append(b.headroomMinima[:0], b.headroomMinima[1:]...)
	}
}

// leastHeadroom returns the least headroom since t; 0 if t is before the
// history.
func (b *bucket) leastHeadroom(t time.Duration) float64 {
	if t < b.historyStart {
		return 0
	}
	for _, l := range b.headroomMinima {
		if l.at >= t {
			return l.headroom
		}
	}
	return 0
}

// refund credits tokens that a debit made at or after t did not use, up to the
// least headroom since t.
func (b *bucket) refund(now, t time.Duration, tokens, ceiling float64) {
	credit := min(tokens, b.leastHeadroom(t))
	if credit > 0 {
		b.level += credit
		b.recordHeadroom(now, ceiling)
	}
}

// applyReport updates the bucket from a holder's report: of the held tokens
// that were outstanding, balance are unspent, spent were spent, and the rest
// returns to the bucket.
func (b *bucket) applyReport(held, balance, spent float64) {
	b.outstanding = max(0, b.outstanding-held+balance)
	b.level += max(0, held-balance-spent)
}

// localReserve is what the bucket does not grant to remote regions.
func (b *bucket) localReserve(now time.Duration) float64 {
	k := b.demand.rate(now) * reserveHorizon.Seconds()
	if now-b.unmetAt < reserveHorizon {
		k += b.unmetWant
	}
	return min(k, b.burst/2)
}

// isContended reports whether requests waited for tokens recently.
func (b *bucket) isContended(now time.Duration) bool {
	return b.contendedAt != 0 && now-b.contendedAt < contentionWindow
}

// spare returns how many tokens a holder can be granted.
func (b *bucket) spare(now time.Duration, remote bool) float64 {
	s := min(b.level, b.burst/2-b.outstanding)
	if remote {
		s = min(s, b.level-b.localReserve(now))
	}
	return max(0, s)
}

// grant moves n tokens from the level to the outstanding leases.
func (b *bucket) grant(n float64) {
	b.level = max(0, b.level-n)
	b.outstanding += n
}

// checkInvariant returns an error if an invariant is violated. before is the
// sum of level and outstanding tokens at the start of the step: a configuration
// change that lowers the burst leaves outstanding tokens above the ceiling
// until they are reported.
func (b *bucket) checkInvariant(team string, before, ceiling float64) error {
	sum, bound := b.level+b.outstanding, max(ceiling, before)
	if b.level < 0 || b.outstanding < 0 || sum > bound+tolerance || math.IsNaN(sum) {
		return errors.AssertionFailedf("team %s: level %g plus %g outstanding tokens exceeds the bound of %g", team, b.level, b.outstanding, bound)
	}
	return nil
}

// movingRate is an exponentially weighted moving average of a rate.
type movingRate struct {
	value float64 // per second
	at    time.Duration
}

func (a *movingRate) add(now time.Duration, x float64) {
	a.value = a.rate(now) + x/demandWindow.Seconds()
	a.at = now
}

func (a *movingRate) rate(now time.Duration) float64 {
	dt := now - a.at
	if dt <= 0 || a.value == 0 {
		return a.value
	}
	return a.value * math.Exp(-dt.Seconds()/demandWindow.Seconds())
}
