package lease

import (
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// Guards against a change of leader that makes a plain service unusable for
// max_run: its slots must be with holders, which claim them from the new
// leader.
func TestIdleSlotsOfPlainServicesSurviveAChangeOfLeader(t *testing.T) {
	const capacity = 8
	cfg := &config.Config{
		Regions:  map[string]*config.Region{"north": {Name: "north", Share: 1, Shards: 1}},
		Services: map[string]*config.Service{"orders": {Name: "orders", MaxRun: 20 * time.Second}},
		Targets: map[string]*config.Target{"o1": {
			Name: "o1", Kind: config.PlainService, Service: "orders", Region: "north", Capacity: capacity,
		}},
	}
	shard := leadership.Shard{Region: "north"}
	c := &clock.Virtual{}
	holders := []*Holder{
		NewHolder(&peerv1.Identity{Instance: "a", Incarnation: 1, Region: "north"}),
		NewHolder(&peerv1.Identity{Instance: "b", Incarnation: 2, Region: "north"}),
	}
	renew := func(l *Ledger) {
		for _, h := range holders {
			for _, due := range h.DueShards(c.Now(), cfg) {
				resp, err := l.Renew(c.Now(), cfg, h.BuildRenewal(c.Now(), cfg, due))
				if err != nil {
					t.Fatal(err)
				}
				if err := h.ApplyResponse(c.Now(), due, resp); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	first := NewLedger(c.Now(), shard, 1)
	c.Advance(30 * time.Second) // the previous leader's slots are reclaimed
	for _, h := range holders {
		h.WantSlots(c.Now(), "o1", 1)
	}
	for range 10 {
		renew(first)
		c.Advance(200 * time.Millisecond)
	}
	for _, h := range holders {
		h.WantSlots(c.Now(), "o1", 0)
	}
	for range 100 { // long without use
		renew(first)
		c.Advance(200 * time.Millisecond)
	}
	second := NewLedger(c.Now(), shard, 2)
	for range 2 {
		renew(second)
		c.Advance(200 * time.Millisecond)
	}
	usable := 0
	for _, h := range holders {
		for {
			if _, ok := h.TryTake(c.Now(), "o1"); !ok {
				break
			}
			usable++
		}
	}
	if usable < capacity*3/4 || usable > capacity {
		t.Fatalf("%d of %d slots are usable under the new leader", usable, capacity)
	}
}
