package membership

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// State of a member. At one generation a higher state wins.
type State uint32

// States, numbered as in the protocol.
const (
	Alive     State = 1
	Suspected State = 2
	Dead      State = 3
	Leaving   State = 4
)

// String returns the name used in logs.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspected:
		return "suspected"
	case Dead:
		return "dead"
	case Leaving:
		return "leaving"
	}
	return "unknown"
}

// Member is what an instance believes about an instance.
type Member struct {
	Name string
	// Incarnation of the process; 0 if the member is only known from the
	// instance list.
	Incarnation    uint64
	PeerAddress    string // IP:port
	CallersAddress string // IP:port; empty if not known
	Region         string
	Domain         string
	State          State
	// Generation is raised by the member itself to refute a suspicion.
	Generation uint32
	Load       uint32 // requests in progress
}

// Used reports whether the member may get work: a suspected member counts as
// alive until the suspicion has run out.
func (m *Member) Used() bool { return m.State == Alive || m.State == Suspected }

// Identity returns the identity of the member as sent to peers.
func (m *Member) Identity() *peerv1.Identity {
	return &peerv1.Identity{
		Instance:    m.Name,
		Incarnation: m.Incarnation,
		PeerAddress: m.PeerAddress,
		Region:      m.Region,
		Domain:      m.Domain,
	}
}

// Timing and bounds of the protocol.
const (
	// Period between probes of one instance.
	Period = 500 * time.Millisecond
	// ProbeTimeout of a direct probe. The round trip between regions is 110 ms.
	ProbeTimeout = 400 * time.Millisecond
	// RelayTimeout of an indirect probe: the relay's own probe and the way there.
	RelayTimeout = 800 * time.Millisecond
	// Relays asked to probe a member that did not answer.
	Relays = 3
	// SuspicionTime that a suspected member has to refute. News of a suspicion
	// reaches a running member with its next probe or with the next one it gets.
	SuspicionTime = 3 * time.Second
	// ForgetTime after which a dead member that is not listed is removed. Now
	// and then regions lose each other for an hour.
	ForgetTime = 2 * time.Hour
	// rejoinTicks: every so many periods a dead member is probed, so that the
	// two sides of a healed partition find each other.
	rejoinTicks = 4
	// pauseGap between ticks beyond which the process was paused. Failures of
	// probes that were under way say nothing about the members.
	pauseGap = 3 * Period

	// maxNews bounds the changes in one message, maxNewsBytes their size.
	maxNews      = 6
	maxNewsBytes = 480
	// maxIncoming bounds the changes accepted from one message.
	maxIncoming = 64
	// maxMembers bounds the table; the instance list has at most 2,000 entries.
	maxMembers = 4096
	// retransmitExtra plus log2 of the fleet is how often an instance sends a
	// change. Messages go both ways, so at 330 instances each one gets about 11
	// copies of a change.
	retransmitExtra = 2
	// fullSelfEvery: every so many messages an instance sends all fields of
	// its own entry, among them the address for callers.
	fullSelfEvery = 16
	// announceFanout is the number of other members told at once of a leaving
	// instance, beside those of its own region.
	announceFanout = 5
	// maxCrashes bounds the crash reports in one message.
	maxCrashes = 16
	// maxGeneration leaves room for refutations before the counter overflows.
	maxGeneration = 1<<32 - 1<<16
)
