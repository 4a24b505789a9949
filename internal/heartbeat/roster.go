package heartbeat

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

const (
	// nearInterval is the pause between rows to a member of the own region. The
	// instances of a region choose among the same targets, so they need to know
	// each other's load within the time that a prompt takes.
	nearInterval = 100 * time.Millisecond
	// nearSilence is the silence after which a member of the own region counts
	// as unreachable: several rows, as datagrams are lost.
	nearSilence = 900 * time.Millisecond
	// farInterval and farSilence are those for other regions, whose links are
	// paid by the byte.
	farInterval = 500 * time.Millisecond
	farSilence  = 2200 * time.Millisecond
	// lateMargin is the time on the way and in queues that a row may take.
	lateMargin = 200 * time.Millisecond
	// perMember stretches the intervals with the number of members, so that an
	// instance sends at most about 100 rows a second.
	perMember = 20 * time.Millisecond
	// lostInterval is the pause between rows to members that do not answer and
	// to seeds.
	lostInterval = time.Second
	// forgetAfter is the silence after which a member is forgotten. Regions lose
	// each other for an hour now and then.
	forgetAfter = 2 * time.Hour
)

// Member is what is known of another instance.
type Member struct {
	Row *peerv1.FleetRow
	// LastSeen is when the last row came from the member itself.
	LastSeen  time.Time
	Reachable bool
	// Late is set as soon as a row is missing, long before the member counts as
	// unreachable; single datagrams are lost.
	Late bool
}

// Name returns the name of the member.
func (m *Member) Name() string { return m.Row.GetInstance().GetInstance() }

// Region returns the region of the member.
func (m *Member) Region() string { return m.Row.GetInstance().GetRegion() }

// member is a Member with the state of sending to it.
type member struct {
	Member
	sent    time.Time // last row sent to it
	hearsay bool      // known from others only
}

// Table is the state of the roster without its socket. Lock order: Table.mu is
// a leaf lock.
type Table struct {
	self *peerv1.Identity
	now  func() time.Time
	mu   struct {
		sync.Mutex
		members map[string]*member // by peer address
		seeds   map[string]time.Time
	}
}

// NewTable returns the table of the instance self.
func NewTable(self *peerv1.Identity, now func() time.Time) *Table {
	t := &Table{self: self, now: now}
	t.mu.members = map[string]*member{}
	t.mu.seeds = map[string]time.Time{}
	return t
}

// SetSeeds replaces the peer addresses at which other instances may be found.
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

// Merge takes a row. direct is set if it came from the instance it is about. It
// reports whether the member was unknown or had another incarnation before.
func (t *Table) Merge(row *peerv1.FleetRow, direct bool) (fresh bool) {
	id := row.GetInstance()
	if id.GetPeerAddress() == "" || id.GetPeerAddress() == t.self.GetPeerAddress() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.mu.members[id.GetPeerAddress()]
	switch {
	case m == nil:
		m = &member{Member: Member{Row: row}, hearsay: !direct}
		t.mu.members[id.GetPeerAddress()] = m
		fresh = true
	case !newer(row, m.Row):
		return false
	case m.Row.GetInstance().GetIncarnation() != id.GetIncarnation():
		fresh = true
	}
	if direct || fresh {
		m.Row = row
	}
	if direct {
		m.LastSeen, m.Reachable, m.hearsay = t.now(), true, false
	}
	return fresh
}

func newer(a, b *peerv1.FleetRow) bool {
	if a.GetInstance().GetIncarnation() != b.GetInstance().GetIncarnation() {
		return a.GetStartedMs() > b.GetStartedMs()
	}
	return a.GetSequence() > b.GetSequence()
}

// Members returns all members in the order of their peer addresses.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	out := make([]Member, 0, len(t.mu.members))
	for a, m := range t.mu.members {
		if m.hearsay {
			continue
		}
		silence := now.Sub(m.LastSeen)
		if silence > forgetAfter {
			delete(t.mu.members, a)
			continue
		}
		m.Reachable = silence < t.allowed(m)
		m.Late = silence > t.interval(m)+lateMargin
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(a, b Member) int {
		return strings.Compare(a.Row.GetInstance().GetPeerAddress(), b.Row.GetInstance().GetPeerAddress())
	})
	return out
}

// SameRegion reports whether the member at a peer address is of the own region.
func (t *Table) SameRegion(peerAddress string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.mu.members[peerAddress]
	return m != nil && t.near(m)
}

func (t *Table) near(m *member) bool { return m.Region() == t.self.GetRegion() }

func (t *Table) allowed(m *member) time.Duration {
	if t.near(m) {
		return max(nearSilence, 6*t.interval(m))
	}
	return max(farSilence, 4*t.interval(m))
}

func (t *Table) interval(m *member) time.Duration {
	stretch := time.Duration(len(t.mu.members)) * perMember
	if t.near(m) {
		return max(nearInterval, stretch/2)
	}
	return max(farInterval, stretch)
}

// Due returns the peer addresses to which a row should be sent now, and those
// at which the sender is to be introduced.
func (t *Table) Due() (rows, introductions []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for a, m := range t.mu.members {
		pause := t.interval(m)
		if m.hearsay || now.Sub(m.LastSeen) > t.allowed(m) {
			pause = max(lostInterval, pause)
		}
		if now.Sub(m.sent) >= pause-nearInterval/4 {
			m.sent = now
			rows = append(rows, a)
		}
	}
	for a, sent := range t.mu.seeds {
		if m := t.mu.members[a]; m != nil && !m.hearsay && now.Sub(m.LastSeen) < t.allowed(m) {
			continue
		}
		if now.Sub(sent) >= t.seedPause() {
			t.mu.seeds[a] = now
			introductions = append(introductions, a)
		}
	}
	return rows, introductions
}

// seedPause is short until the first member is known: an instance that starts
// should not wait for the next round.
func (t *Table) seedPause() time.Duration {
	if len(t.mu.members) == 0 {
		return 2 * nearInterval
	}
	return lostInterval
}

// ReachableHeartbeats returns the rows of the reachable members.
func (t *Table) ReachableHeartbeats() []*peerv1.FleetRow {
	var out []*peerv1.FleetRow
	for _, m := range t.Members() {
		if m.Reachable {
			out = append(out, m.Row)
		}
	}
	return out
}
