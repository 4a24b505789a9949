package heartbeat

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

const (
	// localInterval is the minimum interval between heartbeats to a member of the
	// local region. The instances of a region choose among the same targets, so
	// they need to know each other's load within the time that a prompt takes.
	localInterval = 100 * time.Millisecond
	// localTimeout is the minimum time without a heartbeat after which a member of
	// the local region counts as unreachable. It spans several heartbeats, as
	// datagrams get lost.
	localTimeout = 900 * time.Millisecond
	// remoteInterval and remoteTimeout apply to members of other regions, whose
	// links are billed by the byte.
	remoteInterval = 500 * time.Millisecond
	remoteTimeout  = 2200 * time.Millisecond
	// lateMargin is the time that a heartbeat may spend in the network and in
	// queues before it counts as late.
	lateMargin = 200 * time.Millisecond
	// intervalPerMember lengthens the intervals in proportion to the number of
	// members, so that an instance sends at most about 100 heartbeats a second.
	intervalPerMember = 20 * time.Millisecond
	// retryInterval is the minimum interval between heartbeats to unreachable
	// members, and the interval between introductions to seeds.
	retryInterval = time.Second
	// memberExpiry is the time without a heartbeat after which a member is
	// removed. Regions occasionally lose contact with each other for an hour.
	memberExpiry = 2 * time.Hour
)

// Member is the last known state of another instance.
type Member struct {
	Heartbeat *peerv1.FleetRow
	// LastSeen is when the last heartbeat arrived from the member itself.
	LastSeen  time.Time
	Reachable bool
	// Late is set as soon as one heartbeat is overdue, long before the member
	// counts as unreachable, as a single datagram may get lost.
	Late bool
}

func (m *Member) Name() string { return m.Heartbeat.GetInstance().GetInstance() }

func (m *Member) Region() string { return m.Heartbeat.GetInstance().GetRegion() }

// member is a Member with the state needed to send heartbeats to it.
type member struct {
	Member
	lastSent time.Time // time of the last heartbeat sent to it
	indirect bool      // known only through other instances
}

// Table holds the known members and decides when to send to them; it does no
// I/O. Lock order: Table.mu is a leaf lock.
type Table struct {
	self *peerv1.Identity
	now  func() time.Time
	mu   struct {
		sync.Mutex
		members map[string]*member   // by peer address
		seeds   map[string]time.Time // last introduction, by peer address
	}
}

// NewTable returns an empty table for the instance self.
func NewTable(self *peerv1.Identity, now func() time.Time) *Table {
	t := &Table{self: self, now: now}
	t.mu.members = map[string]*member{}
	t.mu.seeds = map[string]time.Time{}
	return t
}

// SetSeeds replaces the peer addresses used to discover other instances.
func (t *Table) SetSeeds(addresses []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.mu.seeds
	t.mu.seeds = map[string]time.Time{}
	for _, a := range addresses {
		if a != t.self.GetPeerAddress() {
			t.mu.seeds[a] = old[a]
		}
	}
}

// Merge adds a received heartbeat unless a newer one is known. direct is set if
// it was sent by the instance that it describes. Merge reports whether the
// member was unknown or had another incarnation before.
func (t *Table) Merge(hb *peerv1.FleetRow, direct bool) (newIncarnation bool) {
	id := hb.GetInstance()
	if id.GetPeerAddress() == "" || id.GetPeerAddress() == t.self.GetPeerAddress() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.mu.members[id.GetPeerAddress()]
	switch {
	case m == nil:
		m = &member{Member: Member{Heartbeat: hb}, indirect: !direct}
		t.mu.members[id.GetPeerAddress()] = m
		newIncarnation = true
	case !newer(hb, m.Heartbeat):
		return false
	case m.Heartbeat.GetInstance().GetIncarnation() != id.GetIncarnation():
		newIncarnation = true
	}
	if direct || newIncarnation {
		m.Heartbeat = hb
	}
	if direct {
		m.LastSeen, m.Reachable, m.indirect = t.now(), true, false
	}
	return newIncarnation
}

// newer reports whether a supersedes b. Sequence numbers are comparable only
// within an incarnation; between incarnations the start time decides.
func newer(a, b *peerv1.FleetRow) bool {
	if a.GetInstance().GetIncarnation() != b.GetInstance().GetIncarnation() {
		return a.GetStartedMs() > b.GetStartedMs()
	}
	return a.GetSequence() > b.GetSequence()
}

// Members returns the members that have sent a heartbeat themselves, sorted by
// peer address, and removes those that have expired.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	out := make([]Member, 0, len(t.mu.members))
	for a, m := range t.mu.members {
		if m.indirect {
			continue
		}
		sinceLastSeen := now.Sub(m.LastSeen)
		if sinceLastSeen > memberExpiry {
			delete(t.mu.members, a)
			continue
		}
		m.Reachable = sinceLastSeen < t.timeout(m)
		m.Late = sinceLastSeen > t.interval(m)+lateMargin
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(a, b Member) int {
		return strings.Compare(a.Heartbeat.GetInstance().GetPeerAddress(), b.Heartbeat.GetInstance().GetPeerAddress())
	})
	return out
}

// SameRegion reports whether peerAddress belongs to a known member of the local
// region.
func (t *Table) SameRegion(peerAddress string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.mu.members[peerAddress]
	return m != nil && t.isLocal(m)
}

func (t *Table) isLocal(m *member) bool { return m.Region() == t.self.GetRegion() }

// timeout returns the time without a heartbeat after which m is unreachable.
func (t *Table) timeout(m *member) time.Duration {
	if t.isLocal(m) {
		return max(localTimeout, 6*t.interval(m))
	}
	return max(remoteTimeout, 4*t.interval(m))
}

// interval returns the interval between heartbeats to or from m.
func (t *Table) interval(m *member) time.Duration {
	scaled := time.Duration(len(t.mu.members)) * intervalPerMember
	if t.isLocal(m) {
		return max(localInterval, scaled/2)
	}
	return max(remoteInterval, scaled)
}

// Due returns the peer addresses of the members to which a heartbeat should be
// sent now, and those of the seeds to which the local instance should introduce
// itself. It records them as sent.
func (t *Table) Due() (dueMembers, dueSeeds []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for a, m := range t.mu.members {
		sendInterval := t.interval(m)
		if m.indirect || now.Sub(m.LastSeen) > t.timeout(m) {
			sendInterval = max(retryInterval, sendInterval)
		}
		if now.Sub(m.lastSent) >= sendInterval-localInterval/4 {
			m.lastSent = now
			dueMembers = append(dueMembers, a)
		}
	}
	for a, lastSent := range t.mu.seeds {
		if m := t.mu.members[a]; m != nil && !m.indirect && now.Sub(m.LastSeen) < t.timeout(m) {
			continue
		}
		if now.Sub(lastSent) >= t.seedInterval() {
			t.mu.seeds[a] = now
			dueSeeds = append(dueSeeds, a)
		}
	}
	return dueMembers, dueSeeds
}

// seedInterval returns the interval between introductions to a seed. It is short
// until the first member is known, so that an instance that starts does not wait
// a whole retryInterval for its next introduction.
func (t *Table) seedInterval() time.Duration {
	if len(t.mu.members) == 0 {
		return 2 * localInterval
	}
	return retryInterval
}

// ReachableHeartbeats returns the last heartbeats of the reachable members.
func (t *Table) ReachableHeartbeats() []*peerv1.FleetRow {
	var out []*peerv1.FleetRow
	for _, m := range t.Members() {
		if m.Reachable {
			out = append(out, m.Heartbeat)
		}
	}
	return out
}
