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
	// LateMargin is the time that a heartbeat may spend in the network and in
	// queues before it counts as late.
	LateMargin = 200 * time.Millisecond
	// intervalPerMember lengthens the intervals in proportion to the number of
	// members, so that an instance sends at most about 100 heartbeats a second.
	intervalPerMember = 20 * time.Millisecond
	// detailInterval is the longest time between two heartbeats with all details. An
	// instance that does not know the details of another counts it as one of usual size.
	detailInterval = 8 * time.Second
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
	// LastSeen is when the last heartbeat arrived from the member itself or through a
	// relay.
	LastSeen  time.Time
	Reachable bool
	// Late is set as soon as one heartbeat is overdue, long before the member
	// counts as unreachable, as a single datagram may get lost.
	Late bool
	// Interval is the time between two heartbeats of the member.
	Interval time.Duration
}

// Silent reports whether at least two heartbeats of the member are overdue: it may be
// frozen, cut off or overloaded.
func (m *Member) Silent(now time.Time) bool { return now.Sub(m.LastSeen) > 2*m.Interval+LateMargin }

func (m *Member) Name() string { return m.Heartbeat.GetInstance().GetInstance() }

func (m *Member) Region() string { return m.Heartbeat.GetInstance().GetRegion() }

// Address returns the peer address of the member.
func (m *Member) Address() string { return m.Heartbeat.GetInstance().GetPeerAddress() }

// Domain returns the failure domain of the member.
func (m *Member) Domain() string { return m.Heartbeat.GetInstance().GetDomain() }

// member is a Member with the state needed to send heartbeats to it.
type member struct {
	Member
	lastSent time.Time // time of the last heartbeat sent to it
	details  detailSends
	indirect bool // known only through other instances
	local    bool // of the local region
}

// destination is an instance that gets a heartbeat.
type destination struct {
	address string
	// remote is set for other regions.
	remote bool
	// relay asks the instance to pass the heartbeat on in its failure domain.
	relay bool
	// ownDomain is set for the local failure domain.
	ownDomain bool
	// details say which of what others keep the heartbeat holds.
	details details
	// overdue asks it for a heartbeat, because the last ones did not arrive.
	overdue bool
}

// details are the parts of a heartbeat that are not in each one, because receivers keep
// them: the load, which changes rarely, the profiles of services, which change little,
// and the address for callers.
type details struct{ load, all bool }

// detailSends records which details were last sent to a destination.
type detailSends struct {
	allSent time.Time
	// change is the change of the load that was sent last, sends how often.
	change uint64
	sends  int
}

// due returns the details of the next heartbeat, which it records as sent. A change of
// the load is sent twice within the region, as a datagram may get lost; links to other
// regions are billed by the byte, and a load that is missed there costs little. keeps is
// set if the receivers keep details; those of the version before this one do not.
func (d *detailSends) due(change uint64, keeps, remote bool, now time.Time) details {
	repeats := 2
	if remote {
		repeats = 1
	}
	if d.change != change {
		d.change, d.sends = change, 0
	}
	out := details{load: d.sends < repeats, all: !keeps || now.Sub(d.allSent) >= detailInterval}
	if out.all {
		d.allSent = now
	}
	d.sends++
	return out
}

// keepsDetails reports whether a member keeps the details of the last heartbeat that
// had some: it reports its own load.
func keepsDetails(m *member) bool { return m.Heartbeat.GetLoad() != nil }

// Table holds the known members and decides when to send to them; it does no
// I/O. Lock order: Table.mu is a leaf lock.
type Table struct {
	self *peerv1.Identity
	now  func() time.Time
	mu   struct {
		sync.Mutex
		members map[string]*member   // by peer address
		seeds   map[string]time.Time // last introduction, by peer address
		// domains are sorted by name, and out of date if domainsStale is set; see
		// Table.domains.
		domains      []*domain
		domainsStale bool
		// loadChange counts the changes of the load that heartbeats report.
		loadChange uint64
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
// it came from the instance that it describes, also through a relay. Merge reports
// whether the member was unknown or had another incarnation before.
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
	case !newer(hb, m.Heartbeat), !direct && !m.indirect:
		return false // what others tell of a member that is heard itself adds nothing
	case m.Heartbeat.GetInstance().GetIncarnation() != id.GetIncarnation():
		newIncarnation = true
	}
	if direct || newIncarnation {
		if !newIncarnation {
			keepDetails(hb, m.Heartbeat)
		}
		m.Heartbeat = hb
	}
	m.local = m.Region() == t.self.GetRegion()
	t.mu.domainsStale = t.mu.domainsStale || newIncarnation
	if direct {
		m.LastSeen, m.Reachable, m.indirect = t.now(), true, false
	}
	return newIncarnation
}

// keepDetails fills in what a heartbeat without details leaves out from the one before
// it, which is of the same incarnation.
func keepDetails(hb, before *peerv1.FleetRow) {
	if hb.GetLoad() == nil {
		hb.Load = before.GetLoad()
	}
	if len(hb.GetProfiles()) == 0 {
		hb.Profiles = before.GetProfiles()
	}
	if hb.GetCallersAddress() == "" {
		hb.CallersAddress = before.GetCallersAddress()
	}
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
			t.mu.domainsStale = true
			continue
		}
		m.Reachable = sinceLastSeen < t.timeout(m)
		m.Late = t.late(m, now)
		m.Interval = t.interval(m)
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(a, b Member) int {
		return strings.Compare(a.Address(), b.Address())
	})
	return out
}

// timeout returns the time without a heartbeat after which m is unreachable.
func (t *Table) timeout(m *member) time.Duration {
	if m.local {
		return max(localTimeout, 6*t.interval(m))
	}
	return max(remoteTimeout, 4*t.interval(m))
}

// interval returns the interval between heartbeats to or from m.
func (t *Table) interval(m *member) time.Duration {
	scaled := time.Duration(len(t.mu.members)) * intervalPerMember
	if m.local {
		return max(localInterval, scaled/2)
	}
	return max(remoteInterval, scaled)
}

// late reports whether a heartbeat of m is overdue.
func (t *Table) late(m *member, now time.Time) bool {
	return now.Sub(m.LastSeen) > t.interval(m)+LateMargin
}

// Due returns the members to which a heartbeat should be sent now, and the peer
// addresses of the seeds to which the local instance should introduce itself. It
// records them as sent.
func (t *Table) Due() (dueMembers []destination, dueSeeds []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, d := range t.domains() {
		relay, relayed := t.relayFor(d, now)
		if relay != nil {
			dueMembers = append(dueMembers, destination{address: relay.Address(), remote: !relay.local, relay: true, details: d.details.due(t.mu.loadChange, d.keepsDetails(), !relay.local, now)})
		}
		for _, m := range d.members {
			// Members of other domains may send only to relays in the local one.
			overdue := d.name != t.self.GetDomain() && (m.indirect || t.late(m, now))
			// Earlier versions do not count what a relay passes on.
			takesRelayed := relayed && m.Heartbeat.GetRelays()
			if takesRelayed && !overdue {
				continue
			}
			sendInterval := t.interval(m)
			if takesRelayed || m.indirect || now.Sub(m.LastSeen) > t.timeout(m) {
				sendInterval = max(retryInterval, sendInterval)
			}
			if t.due(m.lastSent, sendInterval, now) {
				m.lastSent = now
				dueMembers = append(dueMembers, destination{address: m.Address(), remote: !m.local, ownDomain: d.name == t.self.GetDomain(), details: m.details.due(t.mu.loadChange, keepsDetails(m), !m.local, now), overdue: overdue})
			}
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

// due reports whether interval has passed since lastSent, or will have passed before
// the next call of Due.
func (t *Table) due(lastSent time.Time, interval time.Duration, now time.Time) bool {
	return now.Sub(lastSent) >= interval-localInterval/4
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

// introductions returns what another instance needs to know to contact the reachable
// members, of one failure domain or, if domainName is empty, of all.
func (t *Table) introductions(domainName string) []*peerv1.FleetRow {
	var out []*peerv1.FleetRow
	for _, m := range t.Members() {
		if hb := m.Heartbeat; m.Reachable && (domainName == "" || m.Domain() == domainName) {
			out = append(out, &peerv1.FleetRow{
				Instance: hb.GetInstance(), Sequence: hb.GetSequence(), CallersAddress: hb.GetCallersAddress(), StartedMs: hb.GetStartedMs(),
			})
		}
	}
	return out
}
