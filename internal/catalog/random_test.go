package catalog

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
)

// randomTrouble plays a fleet under overlapping random trouble and checks in each
// step that calm instances follow the store.
type randomTrouble struct {
	t     *testing.T
	rng   *rand.Rand
	fleet *testFleet
	// instanceTrouble and outage are when the last trouble of each instance and the
	// last outage of the store end; stopped is set while an instance is down.
	instanceTrouble []time.Time
	stopped         []bool
	outage          time.Time
	// removed has the times at which targets left, listed those at which they were
	// listed, and lapsed the times at which live targets without an entry return.
	removed, listed, lapsed map[string]time.Time
	live                    []string
	targets                 int
}

const (
	troubleStep     = 100 * time.Millisecond
	troubleDuration = time.Minute
	maxTrouble      = 6 * time.Second
)

func (r *randomTrouble) duration() time.Duration {
	return 500*time.Millisecond + time.Duration(r.rng.Int64N(int64(maxTrouble)))
}

// step starts new trouble and ends what is over.
func (r *randomTrouble) step() {
	now := time.Now()
	i := r.rng.IntN(len(r.fleet.instances))
	switch x := r.rng.Float64(); {
	case x < 0.02:
		r.fleet.instances[i].setRefused(true)
		r.extendTrouble(i)
	case x < 0.03:
		r.fleet.instances[i].setRefused(true)
		r.fleet.instances[i].setIsolated(true)
		r.extendTrouble(i)
	case x < 0.04:
		r.fleet.instances[i].stop()
		r.stopped[i] = true
		r.extendTrouble(i)
	case x < 0.045 && now.After(r.outage):
		r.beginOutage(now)
	case x < 0.1:
		r.replaceTarget(now)
	case x < 0.15:
		r.fleet.store.change(func(map[string]*deployment.Target) {})
	}
	for i, until := range r.instanceTrouble {
		if now.Before(until) {
			continue
		}
		r.fleet.instances[i].setIsolated(false)
		r.fleet.instances[i].setRefused(now.Before(r.outage))
		if r.stopped[i] {
			r.fleet.instances[i].start()
			r.stopped[i] = false
		}
	}
	for id, back := range r.lapsed {
		if now.After(back) {
			r.list(id)
			delete(r.lapsed, id)
		}
	}
}

func (r *randomTrouble) list(id string) {
	r.fleet.store.list(id)
	r.listed[id] = time.Now()
}

func (r *randomTrouble) extendTrouble(i int) {
	if until := time.Now().Add(r.duration()); until.After(r.instanceTrouble[i]) {
		r.instanceTrouble[i] = until
	}
}

// beginOutage makes the store fail all calls. The entry of one target lapses if the
// outage is long enough.
func (r *randomTrouble) beginOutage(now time.Time) {
	length := r.duration()
	r.outage = now.Add(length)
	r.fleet.setRefused(true)
	if length > testContactPeriod {
		id := r.live[r.rng.IntN(len(r.live))]
		r.fleet.store.remove(id)
		r.lapsed[id] = r.outage.Add(testLapsePeriod)
	}
}

// replaceTarget lists a new target and lets another leave, with or without notice.
// Nothing changes in an outage, because no target reaches the store then.
func (r *randomTrouble) replaceTarget(now time.Time) {
	if now.Before(r.outage) || len(r.lapsed) > 0 {
		return
	}
	r.targets++
	id := fmt.Sprint("new-", r.targets)
	r.list(id)
	gone := r.live[0]
	r.live = append(r.live[1:], id)
	r.removed[gone] = now
	if r.rng.IntN(2) == 0 {
		r.fleet.store.remove(gone)
		return
	}
	r.fleet.store.change(func(targets map[string]*deployment.Target) {
		leaving := *targets[gone]
		leaving.Leaving, leaving.Sequence = true, testSequence()
		targets[gone] = &leaving
	})
}

// calm reports whether neither instance i nor the store had trouble for a while.
func (r *randomTrouble) calm(i int, now time.Time) bool {
	return !r.stopped[i] && now.After(r.instanceTrouble[i].Add(testContactPeriod)) && now.After(r.outage.Add(testContactPeriod))
}

func (r *randomTrouble) check() {
	now := time.Now()
	for i, instance := range r.fleet.instances {
		if !r.calm(i, now) {
			continue
		}
		targets := instance.currentManager().Current().Targets
		for id, at := range r.removed {
			if e := targets[id]; e != nil && !e.Leaving && now.After(at.Add(testDropDelay)) {
				r.t.Fatalf("instance %d would send requests to %s %s after it left", i, id, now.Sub(at))
			}
		}
		for _, id := range r.live {
			if _, lapsed := r.lapsed[id]; !lapsed && targets[id] == nil && now.After(r.listed[id].Add(testDropDelay)) {
				r.t.Fatalf("instance %d does not list %s", i, id)
			}
		}
	}
}

// Guards against lists that differ from the store's at instances without trouble.
func TestCalmInstancesFollowStoreUnderRandomTrouble(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inBubble(t, 5, func(t *testing.T, fleet *testFleet) {
				r := &randomTrouble{
					t: t, rng: rand.New(rand.NewPCG(seed, 0)), fleet: fleet, instanceTrouble: make([]time.Time, len(fleet.instances)),
					stopped: make([]bool, len(fleet.instances)), removed: map[string]time.Time{}, listed: map[string]time.Time{}, lapsed: map[string]time.Time{}, live: []string{"a", "b"},
				}
				for end := time.Now().Add(troubleDuration); time.Now().Before(end); time.Sleep(troubleStep) {
					r.step()
					r.check()
				}
			})
		})
	}
}
