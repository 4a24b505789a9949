package heartbeat

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

type virtualClock struct{ at time.Time }

func (c *virtualClock) now() time.Time { return c.at }

func identity(region string, i int) *peerv1.Identity {
	return &peerv1.Identity{Instance: fmt.Sprintf("%s-%d", region, i), PeerAddress: fmt.Sprintf("10.0.%s.%d:9", region, i), Region: region, Incarnation: 1}
}

func heartbeatOf(id *peerv1.Identity, sequence uint64) *peerv1.FleetRow {
	return &peerv1.FleetRow{Instance: id, Sequence: sequence, StartedMs: int64(id.Incarnation)}
}

// Guards against members whose reachability does not follow the heartbeats that
// they send themselves: remote members have a longer timeout than local ones,
// and a member known only through others is not listed.
func TestReachabilityFollowsHeartbeats(t *testing.T) {
	clock := &virtualClock{time.Unix(100, 0)}
	table := NewTable(identity("1", 1), clock.now)
	local, remote := identity("1", 2), identity("2", 1)
	if !table.Merge(heartbeatOf(local, 1), true) || !table.Merge(heartbeatOf(remote, 1), true) {
		t.Fatal("new members were not reported as new")
	}
	if table.Merge(heartbeatOf(identity("1", 1), 5), true) {
		t.Error("the instance added itself as a member")
	}
	table.Merge(heartbeatOf(identity("2", 7), 1), false)
	if n := len(table.Members()); n != 2 {
		t.Errorf("%d members, want 2: a member known only through others must not be listed", n)
	}
	clock.at = clock.at.Add(1200 * time.Millisecond)
	m := table.Members()
	if m[0].Reachable || !m[0].Late || !m[1].Reachable {
		t.Errorf("after 1.2 s without heartbeats: %+v", m)
	}
	clock.at = clock.at.Add(2 * time.Second)
	if m := table.Members(); m[1].Reachable {
		t.Error("a remote member is reachable after 3.2 s without heartbeats")
	}
	table.Merge(heartbeatOf(local, 2), true)
	if m := table.Members(); !m[0].Reachable {
		t.Error("a member that sends heartbeats again is not reachable")
	}
}

// Guards against an instance that is ignored until it expires because it restarted with
// an earlier time of day than at its last start, and against late heartbeats of the
// incarnation before, which started later by its own clock.
func TestRestartWithEarlierTimeOfDayIsNoticed(t *testing.T) {
	clock := &virtualClock{time.Unix(100, 0)}
	table := NewTable(identity("1", 1), clock.now)
	before, after := identity("1", 2), identity("1", 2)
	before.Incarnation, after.Incarnation = 9, 5 // heartbeatOf uses it as the start time
	table.Merge(heartbeatOf(before, 50), true)
	if table.Merge(heartbeatOf(after, 1), true) {
		t.Error("an incarnation that started earlier replaces one that is heard")
	}
	clock.at = clock.at.Add(localTimeout + time.Second)
	if table.Merge(heartbeatOf(after, 2), false) {
		t.Error("an incarnation that others tell of replaces one that started later")
	}
	if !table.Merge(heartbeatOf(after, 2), true) {
		t.Fatal("a restart with an earlier time of day is not noticed")
	}
	if m := table.Members(); len(m) != 1 || !m[0].Reachable || m[0].Heartbeat.GetInstance().GetIncarnation() != 5 {
		t.Errorf("members: %+v", m)
	}
	clock.at = clock.at.Add(localTimeout + time.Second)
	for _, direct := range []bool{true, false} {
		if table.Merge(heartbeatOf(before, 60), direct) {
			t.Errorf("a late heartbeat of the incarnation before counts (direct %t)", direct)
		}
	}
}

// Datagrams can arrive out of order, also across a restart of the sender. A late
// heartbeat must replace neither a newer one nor that of a newer incarnation.
func TestStaleHeartbeatsAreIgnored(t *testing.T) {
	clock := &virtualClock{time.Unix(100, 0)}
	table := NewTable(identity("1", 1), clock.now)
	id := identity("1", 2)
	table.Merge(heartbeatOf(id, 5), true)
	table.Merge(heartbeatOf(id, 4), true)
	if got := table.Members()[0].Heartbeat.GetSequence(); got != 5 {
		t.Errorf("sequence %d after an older heartbeat, want 5", got)
	}
	restarted := identity("1", 2)
	restarted.Incarnation = 2
	if !table.Merge(heartbeatOf(restarted, 1), true) {
		t.Error("a new incarnation was not reported as new")
	}
	table.Merge(heartbeatOf(id, 9), true)
	if got := table.Members()[0].Heartbeat.GetInstance().GetIncarnation(); got != 2 {
		t.Errorf("a heartbeat of incarnation %d replaced that of its successor", got)
	}
}

// An instance that stops contacting a seed too early stays isolated: it must send
// introductions until the seed responds, and again once the seed is unreachable.
func TestUnreachableSeedsAreContacted(t *testing.T) {
	clock := &virtualClock{time.Unix(100, 0)}
	table := NewTable(identity("1", 1), clock.now)
	seed := identity("2", 1)
	table.SetSeeds([]string{seed.PeerAddress, "10.0.1.1:9"})
	if _, dueSeeds := table.Due(); len(dueSeeds) != 1 {
		t.Fatalf("introductions to %v, want one", dueSeeds)
	}
	table.Merge(heartbeatOf(seed, 1), true)
	clock.at = clock.at.Add(time.Second)
	if dueMembers, dueSeeds := table.Due(); len(dueSeeds) != 0 || len(dueMembers) != 1 {
		t.Errorf("a seed that responds: heartbeats to %v, introductions to %v", dueMembers, dueSeeds)
	}
	clock.at = clock.at.Add(time.Minute)
	if _, dueSeeds := table.Due(); len(dueSeeds) != 1 {
		t.Error("a seed that became unreachable is not contacted again")
	}
}

// With fixed intervals the number of heartbeats that an instance sends would grow
// with the number of members and load the network in large deployments.
func TestHeartbeatRateIsBounded(t *testing.T) {
	for _, members := range []int{8, 66, 330} {
		clock := &virtualClock{time.Unix(100, 0)}
		table := NewTable(identity("1", 0), clock.now)
		sequence, sent := uint64(0), 0
		for step := range 100 {
			clock.at = clock.at.Add(localInterval)
			sequence++
			for i := range members {
				table.Merge(heartbeatOf(identity(fmt.Sprint(1+i%3), 1+i), sequence), true)
			}
			dueMembers, _ := table.Due()
			if step >= 50 {
				sent += len(dueMembers)
			}
		}
		if perSecond := float64(sent) / (50 * localInterval.Seconds()); perSecond > 130 {
			t.Errorf("%d members: %.0f heartbeats a second", members, perSecond)
		}
	}
}
