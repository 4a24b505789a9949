package placement

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

const (
	// partUpdateTTL is how long an update that a target has cached a part is sent in
	// heartbeats: longer than the time between two heartbeats to the same member,
	// since datagrams may be lost.
	partUpdateTTL = 1500 * time.Millisecond
	// maxPartUpdates bounds the parts in one heartbeat, so that it fits into a
	// datagram.
	maxPartUpdates = 16
)

// partUpdate records that a target has prefilled or fetched a part.
type partUpdate struct {
	part   deployment.PromptPart
	target string
	at     time.Time
}

// recordCachedPart adds an update for the next heartbeats. The caller holds t.mu.
func (t *Tracker) recordCachedPart(target string, part deployment.PromptPart, now time.Time) {
	if part.ID == "" {
		return
	}
	t.mu.partUpdates = append(t.mu.partUpdates, partUpdate{part, target, now})
	if len(t.mu.partUpdates) > maxPartUpdates {
		t.mu.partUpdates = t.mu.partUpdates[1:]
	}
}

// CachedParts returns the parts that targets have cached recently, for the heartbeat
// of this instance. Without these updates, each instance of a large region would have
// a part prefilled at targets of its own choice.
func (t *Tracker) CachedParts(now time.Time) []*peerv1.PartUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*peerv1.PartUse
	for _, u := range t.mu.partUpdates {
		if now.Sub(u.at) < partUpdateTTL {
			out = append(out, &peerv1.PartUse{Part: u.part.ID, Target: u.target, Tokens: uint32(u.part.Tokens)})
		}
	}
	return out
}

func (t *Tracker) mergeCachedParts(hb *peerv1.FleetRow, now time.Time) {
	for _, p := range hb.GetParts() {
		if s := t.mu.targets[p.GetTarget()]; s != nil && s.cacheTokens > 0 {
			s.prefixCache.add(deployment.PromptPart{ID: p.GetPart(), Tokens: int(p.GetTokens())}, s.cacheTokens, now)
		}
	}
}

// SetPeerHeartbeats applies the heartbeats of the other instances of the local
// region, by peer address: the load that they put on targets, and the parts that
// targets have cached. The last heartbeat of an instance is passed again until the next
// one arrives; a heartbeat must not be changed afterwards.
func (t *Tracker) SetPeerHeartbeats(heartbeats map[string]*peerv1.FleetRow, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteTime(now)
	for _, s := range t.mu.targets {
		clear(s.peerLoads)
	}
	reports, received := map[*targetState]*downReports{}, make(map[string]receivedHeartbeat, len(heartbeats))
	for peer, hb := range heartbeats {
		if t.mu.lastSequence[peer] != hb.GetSequence() {
			t.mu.lastSequence[peer] = hb.GetSequence()
			t.mergeCachedParts(hb, now)
		}
		receivedAt := now
		if last := t.mu.received[peer]; last.row == hb {
			receivedAt = last.at
		}
		received[peer] = receivedHeartbeat{hb, receivedAt}
		unreliable := avoidsMostTargets(hb, len(t.mu.targets))
		for _, u := range hb.GetTargets() {
			if s := t.mu.targets[u.GetTarget()]; s != nil {
				t.mu.windows.Merge(peer, u, now)
				s.peerLoads[peer] = peerLoad{int(u.GetRunning()), int(u.GetPendingTokens()), u.GetAvoided() && !unreliable}
				if u.GetAvoided() && !receivedAt.Before(s.incarnationSince) {
					r := reports[s]
					if r == nil {
						r = &downReports{target: u.GetTarget()}
						reports[s] = r
					}
					r.add(u.GetRefuses(), unreliable, receivedAt)
				}
			}
		}
	}
	t.mu.received = received
	for s, r := range reports {
		if r.suggestRestart() {
			s.restartSuspectedUntil = now.Add(restartSuspicionPeriod)
			// Reports stay in force until the sender's next heartbeat. Those received before
			// the last window ended are older than the results that ended it.
			if !s.health.down && r.newest.After(t.mu.windows.EndedAt(r.target)) {
				t.mu.windows.Suspected(r.target, s.startedMS, s.slots, now)
			}
		}
	}
	t.mergeSlowTargets(heartbeats)
	for id, s := range t.mu.targets {
		s.sumPeerLoads()
		t.mu.windows.Adopt(id, s.startedMS, s.slots, now)
	}
}

// receivedHeartbeat is the last heartbeat of another instance, and when
// SetPeerHeartbeats first got it.
type receivedHeartbeat struct {
	row *peerv1.FleetRow
	at  time.Time
}

// downReports counts the instances that found a target down: all, those to which it
// refused connections, and those of the latter that are reliable.
type downReports struct {
	target                        string
	all, refused, reliablyRefused int
	newest                        time.Time // when the last of them was received
}

func (r *downReports) add(refused, unreliable bool, receivedAt time.Time) {
	r.all++
	r.newest = later(r.newest, receivedAt)
	if refused {
		r.refused++
		if !unreliable {
			r.reliablyRefused++
		}
	}
}

// suggestRestart reports whether the target has probably ended, so that it may be
// warming up when it is back. That a few instances do not reach it is no reason:
// links lose packets.
func (r *downReports) suggestRestart() bool {
	return r.reliablyRefused > 0 || r.refused > 1 || r.all >= minDownReports
}

// avoidsMostTargets reports whether an instance avoids more than half of the
// targets. In that case its own network is probably at fault.
func avoidsMostTargets(hb *peerv1.FleetRow, targets int) bool {
	avoided := 0
	for _, u := range hb.GetTargets() {
		if u.GetAvoided() {
			avoided++
		}
	}
	return 2*avoided > targets
}

// TargetUses returns the load that this instance puts on targets, for its heartbeat.
func (t *Tracker) TargetUses() []*peerv1.TargetUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.mu.lastNow
	var out []*peerv1.TargetUse
	for id, s := range t.mu.targets {
		if s.running > 0 || s.health.down || t.mu.windows.Reported(id, now) {
			u := &peerv1.TargetUse{Target: id, Running: uint32(max(s.running, 0)), PendingTokens: uint32(max(s.pending, 0)), Avoided: s.health.down, Refuses: s.health.refuses}
			t.mu.windows.Fill(u, now)
			out = append(out, u)
		}
	}
	return out
}

// PoolUse returns the load of a service in the local region, for the heartbeat of
// this instance: the delay expected for a small request, and the running requests
// and capacity of the targets that are not full. It is nil if there is no target.
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
		best, _ := bestTarget(&Query{LocalAllowed: true}, targets, t.Model(s))
		p.DelayMs = uint32(best.Delay.Milliseconds())
	}
	return p
}
