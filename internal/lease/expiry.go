package lease

import (
	"math"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
)

// ExpireHolders drops the leases of expired holders, and later their records.
func (l *Ledger) ExpireHolders(now clock.Reading) {
	l.lastExpiry = now.Lower
	for key, r := range l.holders {
		if r.active && now.Lower >= r.expiresAt {
			l.dropLeases(r, key)
		}
		if !r.active && now.Lower >= r.expiresAt+holderRetention {
			delete(l.holders, key)
		}
	}
}

// dropLeases discards what a holder has. Its tokens count as spent, because
// they may have been; its slots stay unaccounted, because they may be in use
// until the longest run time has passed.
func (l *Ledger) dropLeases(r *holderRecord, key holderKey) {
	for name, o := range r.teams {
		if b := l.buckets[name]; b != nil {
			b.applyReport(o.outstanding, 0, o.outstanding)
		}
	}
	for name, n := range r.slots {
		if s := l.slots[name]; s != nil && n > 0 {
			s.markUnaccounted(n, r.expiresAt)
			if len(l.unconfirmed) < maxPendingEvents {
				l.unconfirmed = append(l.unconfirmed, UnconfirmedSlots{Target: name, Holder: key.Process, Slots: n})
			}
		}
	}
	r.active, r.teams, r.slots, r.claims, r.response = false, nil, nil, nil, nil
}

// TakeUnconfirmedSlots returns the slots of holders that expired since the last
// call.
func (l *Ledger) TakeUnconfirmedSlots() []UnconfirmedSlots {
	e := l.unconfirmed
	l.unconfirmed = nil
	return e
}

// returnUnreceived takes back leases that the holder cannot have received.
func (l *Ledger) returnUnreceived(r *holderRecord) {
	for name, o := range r.teams {
		if b := l.buckets[name]; b != nil {
			b.applyReport(o.outstanding, 0, 0)
		}
	}
	for name, n := range r.slots {
		if s := l.slots[name]; s != nil {
			s.held -= n
		}
	}
	r.active = false
}

// PruneBuckets deletes buckets that are full and have nothing outstanding. A
// new bucket is never fuller.
func (l *Ledger) PruneBuckets(now clock.Reading, cfg *config.Config) {
	region := cfg.Regions[l.shard.Region]
	for name, b := range l.buckets {
		team := cfg.Teams[name]
		if region == nil || team == nil {
			if b.outstanding < tolerance {
				delete(l.buckets, name)
			}
			continue
		}
		if _, ceiling := l.refilledBucket(now, region, team); b.outstanding < tolerance && b.level >= ceiling-b.outstanding && !l.inStartupPeriod(now) {
			delete(l.buckets, name)
		}
	}
}

// StateBytes estimates the memory of the ledger from the size of its records.
func (l *Ledger) StateBytes() int {
	const perBucket, perOutstanding, perSlots, perHolder = 640, 96, 160, 512
	n := len(l.buckets)*perBucket + len(l.slots)*perSlots
	for _, r := range l.holders {
		n += perHolder + (len(r.teams)+len(r.slots))*perOutstanding + proto.Size(r.response)
	}
	return n
}

// verify recomputes the sums of the ledger and returns an error if they
// disagree.
func (l *Ledger) verify() error {
	out, held := make(map[string]float64), make(map[string]int)
	for _, r := range l.holders {
		for name, o := range r.teams {
			out[name] += o.outstanding
		}
		for name, n := range r.slots {
			held[name] += n
		}
	}
	for name, b := range l.buckets {
		if math.Abs(b.outstanding-out[name]) > 1e-3 {
			return errors.AssertionFailedf("team %s: the bucket has %g tokens outstanding, the holders have %g", name, b.outstanding, out[name])
		}
	}
	for name, s := range l.slots {
		if s.held != held[name] || s.held < 0 {
			return errors.AssertionFailedf("target %s: the account has %d slots held, the holders have %d", name, s.held, held[name])
		}
	}
	return nil
}
