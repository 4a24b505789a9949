package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

var (
	start          = time.Unix(1000, 0)
	regionByDomain = map[string]string{"a": "east", "b": "east", "c": "west"}
)

func identity(name, domain string) *peerv1.Identity {
	return &peerv1.Identity{Instance: name, PeerAddress: name + ":9", Region: regionByDomain[domain], Domain: domain, Incarnation: 1}
}

// updateFor applies the members at intervals until they have settled.
func updateFor(r *Roster, from time.Time, members ...heartbeat.Member) time.Time {
	for range 25 {
		from = from.Add(100 * time.Millisecond)
		r.Update(members, from)
	}
	return from
}

func member(id *peerv1.Identity, hasShare bool, counts ...*peerv1.Identity) heartbeat.Member {
	hb := &peerv1.FleetRow{Instance: id, HasWarmupShare: hasShare}
	for _, other := range counts {
		hb.DomainMembers = append(hb.DomainMembers, key(other))
	}
	return heartbeat.Member{Heartbeat: hb, LastSeen: start}
}

func TestInstanceWithoutProofOfOthersHasNoShare(t *testing.T) {
	self, peer, third, seed := identity("x", "a"), identity("y", "a"), identity("z", "a"), identity("s", "c")
	for _, c := range []struct {
		name    string
		members []heartbeat.Member
		want    bool
	}{
		{"hears nobody", nil, false},
		{"hears one that has no share either", []heartbeat.Member{member(peer, false, self)}, false},
		{"hears one that does not count it", []heartbeat.Member{member(peer, true)}, false},
		{"hears one that counts another one not heard", []heartbeat.Member{member(peer, true, self, third)}, false},
		{"hears one that has a share and counts it", []heartbeat.Member{member(peer, true, self)}, true},
		{"hears one of three seeds", []heartbeat.Member{member(seed, false)}, false},
		{"hears two of three seeds", []heartbeat.Member{member(seed, false), member(peer, false, self)}, true},
	} {
		r := New(Config{Self: self, Seeds: []string{"s:9", "y:9", "dead:9"}, RegionByDomain: regionByDomain})
		updateFor(r, start, c.members...)
		if got := r.Share(6, "target") > 0; got != c.want {
			t.Errorf("%s: has a share: %v", c.name, got)
		}
	}
}

func TestRateIsDividedAmongDomainsAndInstances(t *testing.T) {
	for _, limit := range []int{0, 1, 2, 5, 6, 7, 40} {
		for _, perDomain := range []int{1, 2, 3, 14} {
			sum := 0
			for _, domain := range []string{"a", "b"} {
				var ids []*peerv1.Identity
				for i := range perDomain {
					ids = append(ids, identity(fmt.Sprint(domain, i), domain))
				}
				for i, self := range ids {
					r := New(Config{Self: self, RegionByDomain: regionByDomain})
					var members []heartbeat.Member
					for j, other := range ids {
						if j != i {
							members = append(members, member(other, false, ids...))
						}
					}
					updateFor(r, start, members...)
					sum += r.Share(limit, "target")
				}
			}
			least := limit / 2 // in each of the two domains
			if least >= perDomain {
				least -= least % perDomain
			}
			if sum > limit || sum < 2*least {
				t.Errorf("limit %d, %d instances a domain: %d in all, at least %d", limit, perDomain, sum, 2*least)
			}
		}
	}
}

func TestShareOfLeavingInstanceIsFreedLate(t *testing.T) {
	self, peer := identity("x", "a"), identity("y", "a")
	r := New(Config{Self: self, RegionByDomain: map[string]string{"a": "east"}})
	now := updateFor(r, start, member(peer, true, self))
	leaving := member(peer, false, self)
	leaving.Heartbeat.Leaving = true
	now = now.Add(100 * time.Millisecond)
	if r.Update([]heartbeat.Member{leaving}, now); r.Share(6, "target") != 3 {
		t.Errorf("share %d just after the other instance announced that it leaves", r.Share(6, "target"))
	}
	updateFor(r, now, leaving)
	if got := r.Share(6, "target"); got != 6 {
		t.Errorf("share %d, want 6", got)
	}
	if r.Leave(); r.Share(6, "target") != 0 {
		t.Error("an instance that leaves has a share")
	}
	if _, hasShare := r.State(); hasShare {
		t.Error("its heartbeats say that it has a share")
	}
}

func TestDeadInstanceDelaysShareOfNewOneForLimitedTime(t *testing.T) {
	self, peer, dead := identity("x", "a"), identity("y", "a"), identity("z", "a")
	r := New(Config{Self: self, Seeds: []string{"s:9"}, RegionByDomain: map[string]string{"a": "east"}})
	alive, silent := member(peer, true, self, dead), member(dead, true)
	now := updateFor(r, start, alive, silent)
	if r.Share(6, "target") != 0 {
		t.Error("a share although an instance does not count this one")
	}
	now = now.Add(silencePeriod)
	alive = member(peer, true, self)
	alive.LastSeen = now
	updateFor(r, now, alive, silent)
	if got := r.Share(6, "target"); got != 2 {
		t.Errorf("share %d, want 2: the silent instance may still use its own", got)
	}
}
