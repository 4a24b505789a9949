package admission

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/result"
)

const (
	// freeCost is the fair-queue cost of a request that debits no tokens, so that
	// bookings and stock lookups take turns too. It is no lower bound for others:
	// that would cut the share of a team with small requests.
	freeCost = 64
	// probeDepth is the queue length per pool below which no request is
	// refused by estimate: an estimate that has become too low corrects itself
	// only by requests that are served.
	probeDepth = 4
)

// bounds limit a queue.
type bounds struct {
	perTeam, total int
}

// entry is a queued request. The fields after seq change while it is queued.
type entry struct {
	team     string
	cost     float64 // fair-queue cost, in tokens
	tokens   float64 // to debit; 0 if prepaid or free
	targets  []*target
	at       time.Duration
	deadline time.Duration
	seq      uint64
	urgent   bool // a further attempt of an admitted request

	lane      *lane
	heapIndex int
	offered   bool // handed out by next and not yet settled
	cancelled bool // left while offered
	done      chan outcome
}

// target is what the queue knows about a target.
type target struct {
	name string
	id   uint64 // random-looking, for order-independent set keys
	pool *pool
	want int // queued requests that could use it
	gen  uint64
	// failed is the generation in which the last attempt found no slot.
	failed uint64
	dirty  bool
}

func (t *target) mayHaveSlot() bool { return t.failed != t.gen }

// team is what the queue knows about a team over all pools.
type team struct {
	name   string
	queued int
	// debitors is the number of queued requests that debit tokens, and tokens
	// what they debit.
	debitors int
	tokens   float64
	// blocked is set while queued requests wait for tokens rather than slots;
	// blockedGen is the generation in which the last debit failed, 0 if none
	// has failed since the last success, and blocker the request that failed.
	// Requests behind it wait too: small ones must not use up what a large one
	// waits for.
	blocked    bool
	blockedGen uint64
	blocker    *entry
	flows      map[*pool]*flow
	debits     meter // while blocked
	dirty      bool
	lastUse    time.Duration
}

// flow is the share of one team in one pool.
type flow struct {
	team   *team
	pool   *pool
	weight float64
	next   float64 // virtual start of the next request
	cost   float64 // of queued requests
	n      int
	lanes  []*lane
}

// lane holds, in order of arrival, the queued requests of a flow that can use
// the same targets and agree on whether they need tokens.
type lane struct {
	flow    *flow
	set     *targetSet
	debit   bool
	entries []*entry
}

// targetSet is a set of targets that some queued request can use.
type targetSet struct {
	key     uint64
	targets []*target
	gen     uint64 // pool generation of usable
	usable  bool
}

// pool is a group of targets that share waiting requests, with the virtual
// clock of the fair queue over them. Targets that one request lists are always
// in the same pool.
type pool struct {
	targets []*target
	sets    map[uint64]*targetSet
	flows   map[string]*flow
	active  []*flow // with queued requests
	clock   float64
	n       int
	ready   int    // of n, those of teams that do not wait for tokens
	gen     uint64 // changes when a target may have a slot again or not
	dirty   bool
	service meter
	slotted bool // false for the pool of requests that need no slot
}

// queue is the fair queue of an instance. It is pure: it neither reads a clock
// nor takes a lock, and rights are taken by its caller.
type queue struct {
	bounds  bounds
	teams   map[string]*team
	targets map[string]*target
	pools   []*pool
	remote  *pool // requests that need no slot here
	expiry  expiryHeap
	total   int
	gen     uint64 // of token balances
	seq     uint64
	// Names whose demand changed since the last call of demand.
	dirtyTeams   []*team
	dirtyTargets []*target
}

func newQueue(b bounds) *queue {
	q := &queue{bounds: b, teams: map[string]*team{}, targets: map[string]*target{}, gen: 1}
	q.remote = q.newPool()
	q.remote.slotted = false
	return q
}

func (q *queue) newPool() *pool {
	p := &pool{sets: map[uint64]*targetSet{}, flows: map[string]*flow{}, slotted: true, gen: 1}
	q.pools = append(q.pools, p)
	return p
}

// push queues e or returns the reason why it cannot be queued. When the whole
// queue is full, the newest request of the team with the most queued requests
// for its weight makes room and is returned as dropped, so that one team
// cannot keep the others out.
func (q *queue) push(now time.Duration, e *entry, weight float64) (dropped *entry, refusal *result.Error) {
	p := q.poolFor(now, e.targets)
	f := q.flow(now, p, e.team, weight)
	if !e.urgent {
		if f.team.queued >= q.bounds.perTeam {
			return nil, result.New(result.QueueFull, result.NotRun, "%d requests of the team are waiting", f.team.queued).
				WithRetryAfter(q.waitInPool(now, f))
		}
		if refusal := q.tooLate(now, f, e); refusal != nil {
			return nil, refusal
		}
		if q.total >= q.bounds.total {
			dropped = q.longest(f)
			if dropped == nil {
				return nil, result.New(result.QueueFull, result.NotRun, "%d requests are waiting", q.total).
					WithRetryAfter(q.waitInPool(now, f))
			}
			q.remove(now, dropped)
		}
	}
	q.insert(now, f, e)
	return dropped, nil
}

// tooLate returns the refusal of a request that cannot start by its deadline.
func (q *queue) tooLate(now time.Duration, f *flow, e *entry) *result.Error {
	left := e.deadline - now
	if left <= 0 {
		return result.New(result.DeadlineTooNear, result.NotRun, "the deadline has passed")
	}
	if e.tokens > 0 && f.team.blocked {
		if wait := q.waitForTokens(now, f.team, e.tokens); wait > left {
			return result.New(result.OverRate, result.NotRun, "tokens are expected in %v, later than the deadline in %v", wait, left).
				WithRetryAfter(wait - left)
		}
	}
	if f.pool.n >= probeDepth {
		if wait := q.waitInPool(now, f); wait > left {
			return result.New(result.DeadlineTooNear, result.NotRun, "a slot is expected in %v, later than the deadline in %v", wait, left).
				WithRetryAfter(wait - left)
		}
	}
	return nil
}

// maxWait stands for "not within any deadline" in estimates.
const maxWait = time.Hour

// waitForTokens estimates when tokens for one more request of t are there.
func (q *queue) waitForTokens(now time.Duration, t *team, tokens float64) time.Duration {
	if t.queued < probeDepth {
		return 0
	}
	return estimate(t.tokens+tokens, &t.debits, now)
}

// waitInPool estimates how long a new request waits for a slot. While its team
// is served what it has queued already, each other team is served in
// proportion to its weight, but no team more than it has queued; the smaller
// of the two bounds is used.
func (q *queue) waitInPool(now time.Duration, f *flow) time.Duration {
	ahead, weights := f.pool.ahead(f)
	return estimate(min(ahead, f.cost*weights/f.weight), &f.pool.service, now)
}

// ahead sums the cost of queued requests that wait for slots and not for
// tokens, and the weights of their teams, of which f counts as one.
func (p *pool) ahead(f *flow) (cost, weights float64) {
	for _, g := range p.active {
		if g == f || !g.team.blocked {
			weights += g.weight
			cost += g.cost
		}
	}
	if f != nil && f.n == 0 {
		weights += f.weight
	}
	return cost, weights
}

func estimate(work float64, m *meter, now time.Duration) time.Duration {
	if work <= 0 {
		return 0
	}
	rate, known := m.rate(now)
	if !known {
		return 0
	}
	seconds := work / rate
	if !(seconds < maxWait.Seconds()) {
		return maxWait
	}
	return time.Duration(seconds * float64(time.Second))
}

// longest returns the newest request of the flow with the most queued requests
// for its weight, or nil if that is f itself.
func (q *queue) longest(f *flow) *entry {
	worst := f
	for _, p := range q.pools {
		for _, g := range p.active {
			if float64(g.n)/g.weight > float64(worst.n)/worst.weight {
				worst = g
			}
		}
	}
	if worst == f {
		return nil
	}
	var newest *entry
	for _, l := range worst.lanes {
		for i := len(l.entries) - 1; i >= 0; i-- {
			if e := l.entries[i]; !e.offered && !e.urgent {
				if newest == nil || e.seq > newest.seq {
					newest = e
				}
				break
			}
		}
	}
	return newest
}
