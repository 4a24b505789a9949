package instance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/balance"
	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// Guards against callers that are sent for seconds to an instance that stopped sending
// heartbeats, and against a restart that changes the responses of other callers: an
// instance that was lost keeps its place without being named.
func TestDirectoryEntryOfMember(t *testing.T) {
	now := time.Unix(1000, 0)
	member := func(silence time.Duration, reachable bool) *heartbeat.Member {
		return &heartbeat.Member{Reachable: reachable, LastSeen: now.Add(-silence), Interval: 300 * time.Millisecond, Heartbeat: &peerv1.FleetRow{
			Instance: &peerv1.Identity{PeerAddress: "10.0.0.1:9"}, CallersAddress: "10.0.0.1:80", Ready: true, Load: &peerv1.InstanceLoad{CpuMillicores: 200},
		}}
	}
	unknown, stopping, unnamed := member(0, true), member(0, true), member(0, true)
	unknown.LastSeen, unknown.Heartbeat.Load = now.Add(-time.Second), nil
	stopping.Heartbeat.Leaving = true
	unnamed.Heartbeat.CallersAddress = ""
	for _, c := range []struct {
		name   string
		member *heartbeat.Member
		health float64 // -1: no entry
	}{
		{"heard", member(0, true), 1},
		{"one heartbeat lost", member(600*time.Millisecond, true), 1},
		{"silent", member(time.Second, true), silentHealth},
		{"silent, capacity unknown", unknown, 1},
		{"lost", member(10*time.Second, false), 0},
		{"lost for long", member(time.Minute, false), -1},
		{"stopping", stopping, 0},
		{"without an address", unnamed, -1},
	} {
		entries := (&directoryCache{}).appendMember(nil, c.member, now)
		if len(entries) == 0 && c.health >= 0 || len(entries) == 1 && entries[0].Health != c.health {
			t.Errorf("%s: %+v, want health %v", c.name, entries, c.health)
		}
	}
	var cache directoryCache
	cache.appendMember(nil, member(time.Second, true), now)
	for _, c := range []struct {
		after time.Duration
		want  float64
	}{{time.Second, silentHealth}, {silentRest + time.Second, 1}} {
		m := member(0, true)
		m.LastSeen = now.Add(c.after)
		if e := cache.appendMember(nil, m, now.Add(c.after)); e[0].Health != c.want {
			t.Errorf("%v after a silence: health %v, want %v", c.after, e[0].Health, c.want)
		}
	}
}

// Guards against a response of the directory that names as many small instances as large
// ones, or instances of other failure domains while the own one has one.
func TestDirectoryNamesInstancesByCapacity(t *testing.T) {
	var entries []directoryEntry
	for i := range 26 {
		capacity := 192.0
		if i%13 < 2 {
			capacity = 800
		}
		entries = append(entries, directoryEntry{balance.Instance{Address: fmt.Sprintf("10.0.%d.%d:80", i/13, i), Capacity: capacity, Health: 1}, "east", string(rune('a' + i/13))})
	}
	large, all := 0, 0
	for caller := range 200 {
		got := addressesFor(callerLocation("east", "a"), fmt.Sprintf("10.9.0.%d", caller), entries, nil)
		for _, a := range got {
			i := slices.IndexFunc(entries, func(e directoryEntry) bool { return e.Address == a })
			if entries[i].domain != "a" {
				t.Fatalf("%s is in another failure domain", a)
			}
			if all++; entries[i].Capacity > 192 {
				large++
			}
		}
	}
	if part := float64(large) / float64(all); part < 0.40 || part > 0.46 { // 1600 / 3712
		t.Errorf("large instances have %.2f of the callers, want 0.43", part)
	}
}
