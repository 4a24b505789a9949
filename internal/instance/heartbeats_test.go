package instance

import (
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

func memberWithChange(address, domain string, targetsChange int64, late bool) heartbeat.Member {
	return heartbeat.Member{Reachable: true, Late: late, Heartbeat: &peerv1.FleetRow{
		Instance: &peerv1.Identity{Instance: address, PeerAddress: address, Domain: domain}, TargetsChange: targetsChange,
	}}
}

// Guards against fetching from an instance that does not deliver, again and again.
func TestSnapshotSourceAvoidsUnresponsiveInstance(t *testing.T) {
	stuck, late, other := memberWithChange("stuck", "a", 7, false), memberWithChange("late", "a", 7, true), memberWithChange("other", "a", 7, false)
	remote, old := memberWithChange("remote", "b", 7, false), memberWithChange("old", "a", 5, false)
	have := catalog.Known{Targets: deployment.Revision{Number: 5}}
	for _, c := range []struct {
		name          string
		members       []heartbeat.Member
		enoughReaders bool
		want          map[string]bool
	}{
		{"last fetch failed", []heartbeat.Member{stuck, other, old}, true, map[string]bool{"other": true}},
		{"heartbeat is late", []heartbeat.Member{late, other, remote}, true, map[string]bool{"other": true}},
		{"only the failed one", []heartbeat.Member{stuck, old}, true, map[string]bool{"stuck": true}},
		{"failed one or late one", []heartbeat.Member{stuck, late}, true, map[string]bool{"late": true}},
		{"other failure domain", []heartbeat.Member{stuck, remote}, false, map[string]bool{"remote": true}},
		{"readers of the domain suffice", []heartbeat.Member{remote, old}, true, map[string]bool{"": true}},
	} {
		for range 50 {
			if got := snapshotSource(c.members, "a", have, c.enoughReaders, "stuck"); !c.want[got.GetInstance()] {
				t.Errorf("%s: chose %q, want one of %v", c.name, got.GetInstance(), c.want)
				break
			}
		}
	}
}

// Guards against readers of an earlier program version, which do not tell the era, that
// keep an instance from reading the store.
func TestReadersOfEarlierErasAreNotEnough(t *testing.T) {
	reader := func(name string, era int64) heartbeat.Member {
		m := memberWithChange(name, "a", 7, false)
		m.Heartbeat.TargetsEra, m.Heartbeat.StoreAnswers, m.Heartbeat.Ready = era, true, true
		return m
	}
	members := []heartbeat.Member{reader("r1", 0), reader("r2", 2), reader("r3", 3), reader("z", 3)}
	for era, want := range map[int64]int{0: 3, 1: 2, 2: 2, 3: 1, 4: 0} {
		if got := countReaders(members, &peerv1.Identity{Instance: "s", Domain: "a"}, era); got != want {
			t.Errorf("%d readers are enough for era %d, want %d", got, era, want)
		}
	}
}
