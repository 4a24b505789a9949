package membership

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// State of a member. Within one generation the higher state wins.
type State uint32

// States, numbered as in the peer protocol.
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

// Member is what an instance knows about one member.
type Member struct {
	Name string
	// Incarnation of the process; 0 if the member is only known from the
	// instance list.
	Incarnation    uint64
	PeerAddress    string // IP:port
	CallersAddress string // address for callers, IP:port; empty if not known
	Region         string
	Domain         string
	State          State
	// Generation is raised by the member itself to refute a suspicion.
	Generation uint32
	Load       uint32 // requests in progress
}

// Usable reports whether the member may get work: a suspected member counts as
// alive until its suspicion times out.
func (m *Member) Usable() bool { return m.State == Alive || m.State == Suspected }

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

// Timeouts, intervals and bounds of the protocol.
const (
	// ProbeInterval is the time between two probes that an instance sends.
	ProbeInterval = 500 * time.Millisecond
	// ProbeTimeout bounds a direct probe. The round trip between regions is
	// 110 ms.
	ProbeTimeout = 400 * time.Millisecond
	// RelayTimeout bounds an indirect probe: the round trip to the relay and the
	// relay's own probe.
	RelayTimeout = 800 * time.Millisecond
	// RelayCount is the number of members asked to probe a member that did not
	// respond.
	RelayCount = 3
	// SuspicionTimeout is the time that a suspected member has to refute the
	// suspicion. A running member learns of it with the next probe that it sends
	// or receives.
	SuspicionTimeout = 3 * time.Second
	// RemovalDelay is the time after which a member that died or left, and is not
	// in the instance list, is removed. Partitions between regions of an hour
	// occur now and then.
	RemovalDelay = 2 * time.Hour
	// deadProbeTicks is the number of ticks between two probes of a dead member,
	// so that the two sides of a healed partition find each other.
	deadProbeTicks = 4
	// processPauseGap is the gap between two ticks above which the process is
	// taken to have been paused. Failures of probes that were in flight then say
	// nothing about the members.
	processPauseGap = 3 * ProbeInterval

	// maxUpdates bounds the updates in one message, maxUpdateBytes their size.
	maxUpdates     = 6
	maxUpdateBytes = 480
	// maxIncomingUpdates bounds the updates accepted from one message.
	maxIncomingUpdates = 64
	// maxMembers bounds the known members; the instance list has at most 2,000
	// entries.
	maxMembers = 4096
	// retransmitExtra plus log2 of the number of instances is how often an
	// instance sends an update. Both messages of a probe carry updates, so at
	// 330 instances each instance gets about 11 copies of an update.
	retransmitExtra = 2
	// fullSelfEvery: one message in so many carries all fields of the sender's
	// own entry, among them the address for callers.
	fullSelfEvery = 16
	// announceFanout is the number of members, chosen at random, that a leaving
	// instance notifies at once in addition to those of its region.
	announceFanout = 5
	// maxGeneration is the highest generation accepted from others; it leaves
	// room for refutations before the counter overflows.
	maxGeneration = 1<<32 - 1<<16
)
