package directory

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonhill/wigeonhill/internal/idempotency"
)

const (
	// lifetime of an answer. A caller that asks after it learns of instances
	// that came since; those that went are noticed by a failed connection.
	lifetime = 30 * time.Second
	// lifetimeSpread lengthens the lifetime by up to this part for each
	// caller, so that callers do not ask all together.
	lifetimeSpread = 0.5
	// maxOwn and maxOther bound the instances in an answer.
	maxOwn   = 8
	maxOther = 4
	// loadStep: relative load is used in coarse steps, so that the order does
	// not change with every load report.
	loadStep = 0.25
	// tolerance and slack: an instance gets at most its part of the callers,
	// this part more, and this number of callers more. The objective is 15%.
	// With more slack fewer callers move when an instance comes or goes, but
	// the slack of all instances that are asked adds up; with 1 the objective
	// was missed at 22 instances with 100 callers each.
	tolerance = 0.05
	slack     = 0.75
	// minWeight of a loaded instance. It keeps part of its callers, so that
	// they do not all move at once and back again.
	minWeight = 0.5
)

// Instance is an instance that may be used. Leaving and dead instances are
// left out by the caller of Order.
type Instance struct {
	Name        string
	Incarnation uint64 // 0 if not known: the instance is left out
	Address     string // for callers, IP:port
	Region      string
	Suspected   bool
	Load        int // requests in progress
	// Assigned is the number of callers that the asked instance sent there
	// lately; see type Assigned.
	Assigned int
}

// Caller describes who asks. ID is any text that stays the same for one
// caller, such as its address.
type Caller struct {
	ID     string
	Region string // region of the instance asked
}

// Entry is one instance of an answer.
type Entry struct {
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Region   string `json:"region"`
	// KeyPrefix starts an idempotency key; the caller adds random characters.
	KeyPrefix string `json:"idempotency_key_prefix"`
}

// Answer is the body of GET /v1/directory.
type Answer struct {
	Instances  []Entry `json:"instances"`
	LifetimeMS int64   `json:"lifetime_ms"`
}

// KeyPrefix returns `<instance>.<incarnation>.<issue time>.`; the issue time
// is in milliseconds since 1970.
func KeyPrefix(instance string, incarnation uint64, issued time.Time) string {
	return fmt.Sprintf("%s.%d.", idempotency.Prefix(instance, incarnation), issued.UnixMilli())
}

// Order returns the instances that the caller should use, best first: those of
// its region by weighted rendezvous hashing, then some of other regions.
// Instances with a load above the mean of their region have a lower weight;
// suspected ones come last. delays gives the one-way delay to each other
// region. It is a pure function of its arguments.
func Order(instances []Instance, caller Caller, delays map[string]time.Duration, now time.Time) Answer {
	loads := meanLoads(instances)
	var own, other []ranked
	for _, in := range instances {
		if in.Incarnation == 0 || in.Address == "" {
			continue
		}
		r := ranked{Instance: in, weight: weight(in.Load, loads[in.Region])}
		r.score = score(in.Name, caller.ID, r.weight)
		if in.Region == caller.Region {
			own = append(own, r)
		} else {
			r.delay = delayTo(delays, in.Region)
			other = append(other, r)
		}
	}
	sortRanked(own)
	sortRanked(other)
	balance(own)
	var a Answer
	for _, r := range append(own[:min(len(own), maxOwn)], other[:min(len(other), maxOther)]...) {
		a.Instances = append(a.Instances, Entry{r.Name, r.Address, r.Region, KeyPrefix(r.Name, r.Incarnation, now)})
	}
	spread := unit(xxhash.Sum64String("lifetime/" + caller.ID))
	a.LifetimeMS = int64(float64(lifetime.Milliseconds()) * (1 + lifetimeSpread*spread))
	return a
}

type ranked struct {
	Instance
	weight, score float64
	delay         time.Duration
}

func sortRanked(list []ranked) {
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		switch {
		case a.Suspected != b.Suspected:
			return !a.Suspected
		case a.delay != b.delay:
			return a.delay < b.delay
		case a.score != b.score:
			return a.score > b.score
		}
		return a.Name < b.Name
	})
}

// balance puts the first instance in front whose callers do not exceed its
// part of all callers by more than the tolerance. Only the callers beyond that
// bound get another instance than their first by hash.
func balance(own []ranked) {
	callers, weights := 1, 0.0
	for _, r := range own {
		if !r.Suspected {
			callers += r.Assigned
			weights += r.weight
		}
	}
	for i, r := range own {
		if r.Suspected {
			return
		}
		bound := math.Ceil((1+tolerance)*float64(callers)*r.weight/weights + slack)
		if float64(r.Assigned+1) <= bound {
			copy(own[1:i+1], own[:i])
			own[0] = r
			return
		}
	}
}

// delayTo orders regions without a published link last.
func delayTo(delays map[string]time.Duration, region string) time.Duration {
	if d, ok := delays[region]; ok {
		return d
	}
	return math.MaxInt64
}

// meanLoads returns the mean load of each region.
func meanLoads(instances []Instance) map[string]float64 {
	sum, n := make(map[string]int), make(map[string]int)
	for _, in := range instances {
		if !in.Suspected {
			sum[in.Region] += in.Load
			n[in.Region]++
		}
	}
	out := make(map[string]float64, len(n))
	for region, count := range n {
		out[region] = float64(sum[region]) / float64(count)
	}
	return out
}

// weight is 1 up to one and a half times the mean load, then falls in steps.
func weight(load int, mean float64) float64 {
	const tolerated, quiet = 1.5, 8 // below `quiet` requests load says little
	if float64(load) <= math.Max(tolerated*mean, quiet) {
		return 1
	}
	steps := math.Floor((float64(load)/math.Max(mean, 1) - tolerated) / loadStep)
	return math.Max(minWeight, 1-loadStep*steps)
}

// score is that of weighted rendezvous hashing: each instance is first for a
// part of the callers that is proportional to its weight.
func score(instance, caller string, weight float64) float64 {
	return -weight / math.Log(unit(xxhash.Sum64String(caller+"\x00"+instance)))
}

// unit maps a hash to (0, 1).
func unit(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }
