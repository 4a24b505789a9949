package placement

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

const (
	// newsTime is how long the news that a target has read a part stands in rows:
	// longer than two rows to the same member, as datagrams are lost.
	newsTime = 1500 * time.Millisecond
	// maxNews bounds the parts in one row, so that it fits into a datagram.
	maxNews = 16
)

// partNews says that a target has read a part.
type partNews struct {
	part   deployment.PromptPart
	target string
	at     time.Time
}

// noteRead keeps news for the next rows. The caller holds t.mu.
func (t *Tracker) noteRead(target string, part deployment.PromptPart, now time.Time) {
	if part.ID == "" {
		return
	}
	t.mu.news = append(t.mu.news, partNews{part, target, now})
	if len(t.mu.news) > maxNews {
		t.mu.news = t.mu.news[1:]
	}
}

// CachedParts returns what targets have read lately, for the row of this instance.
// Without it each instance of a large region would have a part read at targets of
// its own choice.
func (t *Tracker) CachedParts(now time.Time) []*peerv1.PartUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*peerv1.PartUse
	for _, n := range t.mu.news {
		if now.Sub(n.at) < newsTime {
			out = append(out, &peerv1.PartUse{Part: n.part.ID, Target: n.target, Tokens: uint32(n.part.Tokens)})
		}
	}
	return out
}

func (t *Tracker) learnParts(row *peerv1.FleetRow, now time.Time) {
	for _, p := range row.GetParts() {
		if s := t.mu.targets[p.GetTarget()]; s != nil && s.cacheTokens > 0 {
			s.cache.add(deployment.PromptPart{ID: p.GetPart(), Tokens: int(p.GetTokens())}, s.cacheTokens, now)
		}
	}
}

// SetPeerHeartbeats takes the rows of the other instances of the region: their names, the
// load that they put on its targets, and the parts that targets have read.
func (t *Tracker) SetPeerHeartbeats(rows map[string]*peerv1.FleetRow, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.near = t.mu.near[:0]
	for _, row := range rows {
		t.mu.near = append(t.mu.near, row.GetInstance().GetInstance())
	}
	for _, s := range t.mu.targets {
		clear(s.others)
	}
	for peer, row := range rows {
		if t.mu.seen[peer] != row.GetSequence() {
			t.mu.seen[peer] = row.GetSequence()
			t.learnParts(row, now)
		}
		doubtful := avoidsMost(row, len(t.mu.targets))
		for _, u := range row.GetTargets() {
			if s := t.mu.targets[u.GetTarget()]; s != nil {
				s.others[peer] = use{int(u.GetRunning()), int(u.GetPendingTokens()), u.GetAvoided() && !doubtful}
			}
		}
	}
}

// avoidsMost reports whether an instance avoids more than half of the targets:
// then its own links are at fault.
func avoidsMost(row *peerv1.FleetRow, targets int) bool {
	avoided := 0
	for _, u := range row.GetTargets() {
		if u.GetAvoided() {
			avoided++
		}
	}
	return 2*avoided > targets
}

// TargetUses returns the load that this instance puts on targets, for its row.
func (t *Tracker) TargetUses() []*peerv1.TargetUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*peerv1.TargetUse
	for id, s := range t.mu.targets {
		if s.running > 0 || s.health.down {
			out = append(out, &peerv1.TargetUse{Target: id, Running: uint32(max(s.running, 0)), PendingTokens: uint32(max(s.pending, 0)), Avoided: s.health.down})
		}
	}
	return out
}

// PoolUse is the load of a service in the own region, for the rows to others: the
// delay that a small request would see, and the places that are left.
func (t *Tracker) PoolUse(v *catalog.View, service string, now time.Time) *peerv1.PoolUse {
	targets := t.Targets(v, service, "", nil, now)
	s := v.Config.Services[service]
	if s == nil || len(targets) == 0 {
		return nil
	}
	p := &peerv1.PoolUse{Service: service}
	for i := range targets {
		if !targets[i].Full {
			p.Running += uint32(max(targets[i].Running, 0))
			p.Capacity += uint32(targets[i].Capacity)
		}
	}
	if p.Capacity > 0 {
		p.DelayMs = uint32(bestTarget(&Query{LocalAllowed: true}, targets, LatencyModelOf(s)).Delay.Milliseconds())
	}
	return p
}
