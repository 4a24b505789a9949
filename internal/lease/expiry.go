package lease

import (
	"math"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
)

// ExpireHolders drops the grants of silent holders.
func (l *Ledger) ExpireHolders(now clock.Reading) {
	l.expired = now.Lower
	for key, r := range l.holders {
		if r.live && now.Lower >= r.expires {
			l.drop(r, key)
		}
		if !r.live && now.Lower >= r.expires+rememberHolder {
			delete(l.holders, key)
		}
	}
}

// drop forgets what a holder has: its tokens may all have been spent, and its
// slots may be in use until the longest run time has passed.
func (l *Ledger) drop(r *record, key holderKey) {
	for name, o := range r.teams {
		if b := l.buckets[name]; b != nil {
			b.settle(o.out, 0, o.out)
		}
	}
	for name, n := range r.slots {
		if s := l.slots[name]; s != nil && n > 0 {
			s.lose(n, r.expires)
			if len(l.events) < maxReclaims {
				l.events = append(l.events, UnconfirmedSlots{Target: name, Holder: key.Process, Slots: n})
			}
		}
	}
	r.live, r.teams, r.slots, r.claims, r.answer = false, nil, nil, nil, nil
}

// TakeUnconfirmedSlots returns and clears the reclaims since the last call.
func (l *Ledger) TakeUnconfirmedSlots() []UnconfirmedSlots {
	e := l.events
	l.events = nil
	return e
}

// giveBack returns what a holder surely never received.
func (l *Ledger) giveBack(r *record) {
	for name, o := range r.teams {
		if b := l.buckets[name]; b != nil {
			b.settle(o.out, 0, 0)
		}
	}
	for name, n := range r.slots {
		if s := l.slots[name]; s != nil {
			s.held -= n
		}
	}
	r.live = false
}

// PruneBuckets forgets buckets that are full and have nothing outstanding; a new one
// is never fuller.
func (l *Ledger) PruneBuckets(now clock.Reading, ed *config.Config) {
	region := ed.Regions[l.shard.Region]
	for name, b := range l.buckets {
		team := ed.Teams[name]
		if region == nil || team == nil {
			if b.out < tolerance {
				delete(l.buckets, name)
			}
			continue
		}
		if _, ceiling := l.bucket(now, region, team); b.out < tolerance && b.level >= ceiling-b.out && !l.opening(now) {
			delete(l.buckets, name)
		}
	}
}

// StateBytes estimates the memory of the ledger from the size of its records.
func (l *Ledger) StateBytes() int {
	const perBucket, perOutstanding, perSlots, perHolder = 640, 96, 160, 512
	n := len(l.buckets)*perBucket + len(l.slots)*perSlots
	for _, r := range l.holders {
		n += perHolder + (len(r.teams)+len(r.slots))*perOutstanding + proto.Size(r.answer)
	}
	return n
}

// verify recomputes the sums of the ledger and reports a violated invariant.
func (l *Ledger) verify() error {
	out, held := make(map[string]float64), make(map[string]int)
	for _, r := range l.holders {
		for name, o := range r.teams {
			out[name] += o.out
		}
		for name, n := range r.slots {
			held[name] += n
		}
	}
	for name, b := range l.buckets {
		if math.Abs(b.out-out[name]) > 1e-3 {
			return errors.AssertionFailedf("team %s: %g outstanding, holders have %g", name, b.out, out[name])
		}
	}
	for name, s := range l.slots {
		if s.held != held[name] || s.held < 0 {
			return errors.AssertionFailedf("target %s: %d slots held, holders have %d", name, s.held, held[name])
		}
	}
	return nil
}
