package roster

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/rendezvous"
)

// settlePeriod is the time after which an instance may use more than before, because
// it gets a share or another one gave up its own. Until then, what the other one sent
// last, including requests that it had chosen but not written yet, still counts.
const settlePeriod = 2 * time.Second

// silencePeriod is the time without a heartbeat after which an instance of the same
// failure domain no longer keeps others from getting a share; it goes on counting.
// One that is cut off for longer than that does not know those that started meanwhile.
const silencePeriod = 5 * time.Minute

// Config describes the local instance.
type Config struct {
	Self *peerv1.Identity
	// Seeds are the peer addresses of the seeds; they may include the local one.
	Seeds []string
	// RegionByDomain maps every failure domain to its region.
	RegionByDomain map[string]string
}

// Roster holds the instances of the local failure domain that count. Lock order:
// Roster.mu is a leaf lock.
type Roster struct {
	self    uint64
	address string // peer address
	domain  string
	seeds   []string
	domains []string // of the local region
	mu      struct {
		sync.Mutex
		// heard are the incarnations that sent heartbeats themselves within silencePeriod.
		heard []uint64
		// counted are in addition those that these count, and the local one, with the
		// time when they were last to be counted.
		counted map[uint64]time.Time
		// acknowledgedAt is when all of counted began to count the local one; zero if
		// they do not.
		acknowledgedAt time.Time
		hasShare       bool
		leaving        bool
	}
}

// New returns the Roster of an instance that has not heard any other.
func New(cfg Config) *Roster {
	r := &Roster{self: key(cfg.Self), address: cfg.Self.GetPeerAddress(), domain: cfg.Self.GetDomain(), seeds: cfg.Seeds}
	for d, region := range cfg.RegionByDomain {
		if region == cfg.Self.GetRegion() {
			r.domains = append(r.domains, d)
		}
	}
	r.mu.counted = map[uint64]time.Time{}
	return r
}

// key identifies an incarnation of an instance.
func key(id *peerv1.Identity) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(id.GetPeerAddress()), id.GetIncarnation()))
}

// Update takes the members that have sent heartbeats, also those that are not
// reachable any more.
func (r *Roster) Update(members []heartbeat.Member, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := map[uint64]bool{}
	present := map[uint64]bool{r.self: true}
	var domain []*peerv1.FleetRow
	for _, m := range members {
		switch id := m.Heartbeat.GetInstance(); {
		case id.GetDomain() != r.domain:
		case m.Heartbeat.GetLeaving():
			left[key(id)] = true
		case now.Sub(m.LastSeen) > silencePeriod:
			present[key(id)] = true
		default:
			domain = append(domain, m.Heartbeat)
		}
	}
	silent := len(present) - 1
	r.mu.heard = make([]uint64, 0, len(domain))
	acknowledged, shareHeard := true, false
	for _, hb := range domain {
		k := key(hb.GetInstance())
		r.mu.heard = append(r.mu.heard, k)
		present[k] = true
		for _, other := range hb.GetDomainMembers() {
			present[other] = present[other] || !left[other]
		}
		acknowledged = acknowledged && slices.Contains(hb.GetDomainMembers(), r.self)
		shareHeard = shareHeard || hb.GetHasWarmupShare()
	}
	maps.DeleteFunc(present, func(_ uint64, p bool) bool { return !p })
	for k := range present {
		r.mu.counted[k] = now
	}
	maps.DeleteFunc(r.mu.counted, func(_ uint64, at time.Time) bool { return now.Sub(at) > settlePeriod })
	// Those that are known only from others have not been heard.
	r.grant(acknowledged && len(present) == len(r.mu.heard)+silent+1 && (shareHeard || r.hearsMostSeeds(members)), now)
}

// grant gives this instance a share once the conditions for it have held for
// settlePeriod. The caller holds r.mu.
func (r *Roster) grant(acknowledged bool, now time.Time) {
	switch {
	case !acknowledged:
		r.mu.acknowledgedAt = time.Time{}
	case r.mu.acknowledgedAt.IsZero():
		r.mu.acknowledgedAt = now
	case now.Sub(r.mu.acknowledgedAt) > settlePeriod:
		r.mu.hasShare = true
	}
}

// hearsMostSeeds reports whether more than half of the seeds have sent heartbeats.
// The local instance counts if it is a seed. Without seeds it is alone by its
// settings.
func (r *Roster) hearsMostSeeds(members []heartbeat.Member) bool {
	heard := 0
	for _, seed := range r.seeds {
		if seed == r.address || slices.ContainsFunc(members, func(m heartbeat.Member) bool { return m.Address() == seed }) {
			heard++
		}
	}
	return 2*heard > len(r.seeds) || len(r.seeds) == 0
}

// Leave gives up the share for good. It must be called before the instance
// announces that it leaves, since the others stop counting it then.
func (r *Roster) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mu.leaving = true
}

// State returns what heartbeats say about the roster: the incarnations of the local
// failure domain that have sent heartbeats, and whether this instance has a share.
func (r *Roster) State() (heard []uint64, hasShare bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.mu.heard), r.mu.hasShare && !r.mu.leaving
}

// Share returns how many of limit units this instance may use. For each value of
// name, if the units do not suffice for all, other instances get one.
func (r *Roster) Share(limit int, name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.mu.hasShare || r.mu.leaving {
		return 0
	}
	ahead, own := 0, rendezvous.Score(name, r.domain)
	for _, d := range r.domains {
		if rendezvous.Score(name, d) > own {
			ahead++
		}
	}
	limit = divide(limit, max(len(r.domains), 1), ahead)
	ahead, own = 0, rendezvous.Score(name, keyText(r.self))
	for k := range r.mu.counted {
		if rendezvous.Score(name, keyText(k)) > own {
			ahead++
		}
	}
	return divide(limit, len(r.mu.counted), ahead)
}

func keyText(k uint64) string { return string(binary.LittleEndian.AppendUint64(nil, k)) }

// divide returns the part of limit for one of n, of whom ahead come before it if the
// units do not suffice for all.
func divide(limit, n, ahead int) int {
	if share := limit / n; share > 0 || ahead >= limit {
		return share
	}
	return 1
}
