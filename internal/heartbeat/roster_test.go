package heartbeat

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

type virtual struct{ at time.Time }

func (v *virtual) now() time.Time { return v.at }

func identity(region string, i int) *peerv1.Identity {
	return &peerv1.Identity{Instance: fmt.Sprintf("%s-%d", region, i), PeerAddress: fmt.Sprintf("10.0.%s.%d:9", region, i), Region: region, Incarnation: 1}
}

func row(id *peerv1.Identity, sequence uint64) *peerv1.FleetRow {
	return &peerv1.FleetRow{Instance: id, Sequence: sequence, StartedMs: int64(id.Incarnation)}
}

func TestMembersComeAndGo(t *testing.T) {
	v := &virtual{time.Unix(100, 0)}
	table := NewTable(identity("1", 1), v.now)
	near, far := identity("1", 2), identity("2", 1)
	if !table.Merge(row(near, 1), true) || !table.Merge(row(far, 1), true) {
		t.Fatal("new members are not news")
	}
	if table.Merge(row(identity("1", 1), 5), true) {
		t.Error("the instance learned about itself")
	}
	table.Merge(row(identity("2", 7), 1), false)
	if n := len(table.Members()); n != 2 {
		t.Errorf("%d members; one that never spoke for itself is no member", n)
	}
	v.at = v.at.Add(1200 * time.Millisecond)
	m := table.Members()
	if m[0].Reachable || !m[0].Late || !m[1].Reachable {
		t.Errorf("after 1.2 s of silence: %+v", m)
	}
	v.at = v.at.Add(2 * time.Second)
	if m := table.Members(); m[1].Reachable {
		t.Error("a far member is reachable after 3.2 s of silence")
	}
	table.Merge(row(near, 2), true)
	if m := table.Members(); !m[0].Reachable {
		t.Error("a member that speaks again is not reachable")
	}
}

// Datagrams overtake each other and incarnations replace each other.
func TestOldRowsAreIgnored(t *testing.T) {
	v := &virtual{time.Unix(100, 0)}
	table := NewTable(identity("1", 1), v.now)
	id := identity("1", 2)
	table.Merge(row(id, 5), true)
	table.Merge(row(id, 4), true)
	if got := table.Members()[0].Row.GetSequence(); got != 5 {
		t.Errorf("sequence %d after an older row", got)
	}
	next := identity("1", 2)
	next.Incarnation = 2
	if !table.Merge(row(next, 1), true) {
		t.Error("a new incarnation is no news")
	}
	table.Merge(row(id, 9), true)
	if got := table.Members()[0].Row.GetInstance().GetIncarnation(); got != 2 {
		t.Errorf("a row of incarnation %d replaced that of its successor", got)
	}
}

// Seeds are tried until they answer, and again when they fall silent.
func TestSeedsAreTried(t *testing.T) {
	v := &virtual{time.Unix(100, 0)}
	table := NewTable(identity("1", 1), v.now)
	seed := identity("2", 1)
	table.SetSeeds([]string{seed.PeerAddress, "10.0.1.1:9"})
	if _, intro := table.Due(); len(intro) != 1 {
		t.Fatalf("introductions at %v", intro)
	}
	table.Merge(row(seed, 1), true)
	v.at = v.at.Add(time.Second)
	if rows, intro := table.Due(); len(intro) != 0 || len(rows) != 1 {
		t.Errorf("a seed that answers: rows %v, introductions %v", rows, intro)
	}
	v.at = v.at.Add(time.Minute)
	if _, intro := table.Due(); len(intro) != 1 {
		t.Error("a seed that fell silent is not tried again")
	}
}

// The rows that an instance sends a second grow slower than the fleet.
func TestRowsPerSecondAreBounded(t *testing.T) {
	for _, members := range []int{8, 66, 330} {
		v := &virtual{time.Unix(100, 0)}
		table := NewTable(identity("1", 0), v.now)
		sequence, sent := uint64(0), 0
		for step := range 100 {
			v.at = v.at.Add(nearInterval)
			sequence++
			for i := range members {
				table.Merge(row(identity(fmt.Sprint(1+i%3), 1+i), sequence), true)
			}
			rows, _ := table.Due()
			if step >= 50 {
				sent += len(rows)
			}
		}
		if perSecond := float64(sent) / (50 * nearInterval.Seconds()); perSecond > 130 {
			t.Errorf("%d members: %.0f rows a second", members, perSecond)
		}
	}
}
