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
	// baseLifetime is the minimum lifetime of a response. A caller that renews
	// it learns of instances that were added since; it notices removed ones by
	// a failed connection.
	baseLifetime = 30 * time.Second
	// maxLifetimeExtension is the maximum fraction by which the lifetime is
	// extended. The extension depends on the caller, so that callers do not
	// all renew at the same time.
	maxLifetimeExtension = 0.5
	// maxLocal and maxRemote limit the instances of the local region and of
	// remote regions in a response.
	maxLocal  = 8
	maxRemote = 4
	// weightStep is the step in which the weight falls with the relative load.
	// Coarse steps keep the order from changing with every load report.
	weightStep = 0.25
	// An instance is assigned at most its weighted share of the callers,
	// exceeded by the fraction imbalanceTolerance, plus imbalanceSlack callers.
	// The objective is at most 15% above the mean. With more slack, fewer
	// callers move when an instance is added or removed, but every instance
	// that responds to callers adds its own slack: with 1, the objective was
	// missed at 22 instances with 100 callers each.
	imbalanceTolerance = 0.05
	imbalanceSlack     = 0.75
	// minWeight is the minimum weight of an overloaded instance. It keeps some
	// of its callers, so that they do not all move away at once and back again.
	minWeight = 0.5
)

// Instance is an instance that callers may use. Leaving and dead instances must
// not be passed to BuildResponse.
type Instance struct {
	Name        string
	Incarnation uint64 // 0 if unknown: the instance is left out
	Address     string // IP:port for callers
	Region      string
	Suspected   bool
	Load        int // requests in progress
	// AssignedCallers is the number of callers that the responding instance
	// recently told to use this one first; see AssignmentCounter.
	AssignedCallers int
}

// Caller describes the caller that requests the directory. ID is any text that
// is stable for one caller, such as its address.
type Caller struct {
	ID     string
	Region string // region of the responding instance
}

// Entry is one instance in a response.
type Entry struct {
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Region   string `json:"region"`
	// KeyPrefix is the prefix of idempotency keys for this instance; the
	// caller appends random characters.
	KeyPrefix string `json:"idempotency_key_prefix"`
}

// Response is the body of GET /v1/directory.
type Response struct {
	Instances  []Entry `json:"instances"`
	LifetimeMS int64   `json:"lifetime_ms"`
}

// KeyPrefix returns the prefix of an idempotency key,
// `<instance>.<incarnation>.<issue time>.`. The issue time is in milliseconds
// since 1970.
func KeyPrefix(instance string, incarnation uint64, issued time.Time) string {
	return fmt.Sprintf("%s.%d.", idempotency.Prefix(instance, incarnation), issued.UnixMilli())
}

// BuildResponse returns the instances that the caller should use, best first:
// those of its region in the order of weighted rendezvous hashing, then some of
// other regions, nearest first. In both groups, suspected instances come last.
// Instances with a load well above the mean of their region have a lower weight.
// delays gives the one-way delay to each other region. BuildResponse is a pure
// function of its arguments.
func BuildResponse(instances []Instance, caller Caller, delays map[string]time.Duration, now time.Time) Response {
	meanLoadByRegion := meanLoads(instances)
	var local, remote []scoredInstance
	for _, in := range instances {
		if in.Incarnation == 0 || in.Address == "" {
			continue
		}
		candidate := scoredInstance{Instance: in, weight: weight(in.Load, meanLoadByRegion[in.Region])}
		candidate.score = score(in.Name, caller.ID, candidate.weight)
		if in.Region == caller.Region {
			local = append(local, candidate)
		} else {
			candidate.delay = delayTo(delays, in.Region)
			remote = append(remote, candidate)
		}
	}
	sortByPreference(local)
	sortByPreference(remote)
	limitImbalance(local)
	var response Response
	for _, r := range append(local[:min(len(local), maxLocal)], remote[:min(len(remote), maxRemote)]...) {
		response.Instances = append(response.Instances, Entry{r.Name, r.Address, r.Region, KeyPrefix(r.Name, r.Incarnation, now)})
	}
	extension := toUnitInterval(xxhash.Sum64String("lifetime/" + caller.ID))
	response.LifetimeMS = int64(float64(baseLifetime.Milliseconds()) * (1 + maxLifetimeExtension*extension))
	return response
}

type scoredInstance struct {
	Instance
	weight, score float64
	delay         time.Duration
}

func sortByPreference(list []scoredInstance) {
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

// limitImbalance moves to the front the first instance that, with one more
// caller, does not exceed its weighted share of all callers by more than the
// tolerance and slack. So a caller gets another instance than its first by hash
// only if that one has reached its bound.
func limitImbalance(local []scoredInstance) {
	callers, weights := 1, 0.0
	for _, r := range local {
		if !r.Suspected {
			callers += r.AssignedCallers
			weights += r.weight
		}
	}
	for i, r := range local {
		if r.Suspected {
			return
		}
		bound := math.Ceil((1+imbalanceTolerance)*float64(callers)*r.weight/weights + imbalanceSlack)
		if float64(r.AssignedCallers+1) <= bound {
			copy(local[1:i+1], local[:i])
			local[0] = r
			return
		}
	}
}

// delayTo returns the delay to region. Regions without a published link get the
// maximum, so that they are sorted last.
func delayTo(delays map[string]time.Duration, region string) time.Duration {
	if d, ok := delays[region]; ok {
		return d
	}
	return math.MaxInt64
}

// meanLoads returns the mean load of each region, without suspected instances.
func meanLoads(instances []Instance) map[string]float64 {
	sums, counts := make(map[string]int), make(map[string]int)
	for _, in := range instances {
		if !in.Suspected {
			sums[in.Region] += in.Load
			counts[in.Region]++
		}
	}
	out := make(map[string]float64, len(counts))
	for region, count := range counts {
		out[region] = float64(sums[region]) / float64(count)
	}
	return out
}

// weight returns 1 for a load of up to one and a half times the mean, and for
// higher loads a weight that falls in steps of weightStep to minWeight.
func weight(load int, mean float64) float64 {
	const toleratedRatio, negligibleLoad = 1.5, 8 // up to 8 requests, the relative load means little
	if float64(load) <= math.Max(toleratedRatio*mean, negligibleLoad) {
		return 1
	}
	steps := math.Floor((float64(load)/math.Max(mean, 1) - toleratedRatio) / weightStep)
	return math.Max(minWeight, 1-weightStep*steps)
}

// score returns the score of weighted rendezvous hashing: each instance has the
// highest score for a fraction of the callers that is proportional to its weight.
func score(instance, caller string, weight float64) float64 {
	return -weight / math.Log(toUnitInterval(xxhash.Sum64String(caller+"\x00"+instance)))
}

// toUnitInterval maps a hash to the open interval (0, 1).
func toUnitInterval(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }
