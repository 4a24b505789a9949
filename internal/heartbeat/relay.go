package heartbeat

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minRelays is the number of instances of another failure domain, ready to pass
	// heartbeats on, from which on they are sent to one of them instead of to each.
	minRelays = 4
	// maxPause is the time without a tick after which the process counts as frozen;
	// for relayRest from its next tick on, it relays nothing.
	maxPause  = time.Second
	relayRest = time.Second
)

// domain holds the members of a failure domain.
type domain struct {
	name    string
	members []*member // sorted by peer address
	// lastSent is when a relay of the domain last got a heartbeat; rounds counts them.
	lastSent time.Time
	rounds   uint64
	details  detailSends
}

// keepsDetails reports whether all members of the domain keep details.
func (d *domain) keepsDetails() bool {
	return !slices.ContainsFunc(d.members, func(m *member) bool { return !keepsDetails(m) })
}

// domains returns the failure domains of the members. The caller holds t.mu.
func (t *Table) domains() []*domain {
	if !t.mu.domainsStale {
		return t.mu.domains
	}
	t.mu.domainsStale = false
	byName := map[string]*domain{}
	for _, d := range t.mu.domains {
		d.members = nil
		byName[d.name] = d
	}
	for _, m := range t.mu.members {
		d := byName[m.Domain()]
		if d == nil {
			// The start of the rounds spreads the heartbeats of all over the relays.
			d = &domain{name: m.Domain(), rounds: xxhash.Sum64String(t.self.GetPeerAddress())}
			byName[d.name] = d
		}
		d.members = append(d.members, m)
	}
	t.mu.domains = t.mu.domains[:0]
	for _, d := range byName {
		slices.SortFunc(d.members, func(a, b *member) int { return strings.Compare(a.Address(), b.Address()) })
		t.mu.domains = append(t.mu.domains, d)
	}
	slices.SortFunc(t.mu.domains, func(a, b *domain) int { return strings.Compare(a.name, b.name) })
	return t.mu.domains
}

// relayFor reports whether the members of d get their heartbeats through relays, and
// returns the relay that gets one now, or nil. A relay is used for one heartbeat, then
// the next one of its domain: if one fails, the members miss one heartbeat in a
// round, and ask for it.
func (t *Table) relayFor(d *domain, now time.Time) (relay *member, relayed bool) {
	if d.name == t.self.GetDomain() || len(d.members) < minRelays {
		return nil, false
	}
	relays := make([]*member, 0, len(d.members))
	for _, m := range d.members {
		if !m.indirect && m.Heartbeat.GetRelays() && !m.Heartbeat.GetLeaving() && !t.late(m, now) {
			relays = append(relays, m)
		}
	}
	if len(relays) < minRelays || !t.due(d.lastSent, t.interval(d.members[0]), now) {
		return nil, len(relays) >= minRelays
	}
	d.lastSent = now
	d.rounds++
	return relays[d.rounds%uint64(len(relays))], true
}

// relayDestinations returns the peer addresses to which this instance passes on a
// heartbeat of the instance at origin.
func (t *Table) relayDestinations(origin string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var out []string
	for _, d := range t.domains() {
		if d.name != t.self.GetDomain() {
			continue
		}
		for _, m := range d.members {
			if a := m.Address(); a != origin && !m.indirect && now.Sub(m.LastSeen) < t.timeout(m) {
				out = append(out, a)
			}
		}
	}
	return out
}

// relay passes the heartbeat of the instance at origin on to the other instances of the
// failure domain.
func (m *Manager) relay(origin string, datagram []byte) {
	if !m.pause.over(m.now()) {
		return
	}
	for _, a := range m.relayDestinations(origin) {
		m.send(a, datagram)
	}
}

// pauseDetector notices that the process was frozen. What waited in the socket
// meanwhile may come from instances that stopped since, and must not make them look
// alive.
type pauseDetector struct {
	mu        sync.Mutex
	lastTick  time.Time
	restUntil time.Time
}

// tick must be called at each localInterval.
func (p *pauseDetector) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused(now) {
		p.restUntil = now.Add(relayRest)
	}
	p.lastTick = now
}

// paused must be called with the lock held.
func (p *pauseDetector) paused(now time.Time) bool {
	return !p.lastTick.IsZero() && now.Sub(p.lastTick) > maxPause
}

// over reports whether what arrives now was sent just now.
func (p *pauseDetector) over(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.paused(now) && !now.Before(p.restUntil)
}
