package gateway

import (
	"fmt"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

type fixedMembers []heartbeat.Member

func (m fixedMembers) Members() []heartbeat.Member { return m }

// Guards against a second instance that is not found although there is one, against the
// instance that has refused being asked again, and against picks that prefer a member.
func TestPickInstance(t *testing.T) {
	var members fixedMembers
	add := func(address, region string, reachable, ready bool) {
		members = append(members, heartbeat.Member{Reachable: reachable, Heartbeat: &peerv1.FleetRow{
			Instance: &peerv1.Identity{PeerAddress: address, Region: region}, Ready: ready,
		}})
	}
	for n := range 20 {
		add(fmt.Sprint("starting-", n), "west", true, false)
		add(fmt.Sprint("lost-", n), "west", false, true)
		add(fmt.Sprint("east-", n), "east", true, true)
	}
	for n := range 3 {
		add(fmt.Sprint("west-", n), "west", true, true)
	}
	g := newTestGateway()
	g.Members = members
	for except, want := range map[string]int{"": 3, "west-0": 2, "east-0": 3} {
		picks := map[string]int{}
		for range 3000 {
			address, ok := g.pickInstance("west", except)
			if !ok || address == except {
				t.Fatalf("without %q: %q, %t", except, address, ok)
			}
			picks[address]++
		}
		for address, n := range picks {
			if n < 800*3/want { // a fair share is 3000/want
				t.Errorf("without %q: %s was picked %d times of 3000", except, address, n)
			}
		}
		if len(picks) != want {
			t.Errorf("without %q: %v, want %d instances", except, picks, want)
		}
	}
	g.Members = members[:1]
	if address, ok := g.pickInstance("west", ""); ok {
		t.Errorf("%s is not ready", address)
	}
	g.Members = members[len(members)-1:]
	if address, ok := g.pickInstance("west", "west-2"); ok {
		t.Errorf("%s was to be left out", address)
	}
}
