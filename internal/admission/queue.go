package admission

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/result"
)

const (
	// zeroTokenCost is the fair-queue cost of a request that debits no tokens, so
	// that bookings and stock lookups take their turn too. It is not a minimum for
	// other requests: that would reduce the share of a team with small requests.
	zeroTokenCost = 64
	// minEstimateDepth is the queue length, per pool or team, below which no
	// request is refused by estimate: a rate estimate that has become too low is
	// corrected only by requests that are served.
	minEstimateDepth = 4
)

// bounds limits the number of queued requests.
type bounds struct {
	perTeam, total int
}

// entry is a queued request. The fields after isRetry change while it is queued.
type entry struct {
	team     string
	cost     float64 // fair-queue cost, in tokens
	tokens   float64 // to debit; 0 if prepaid or without token cost
	targets  []*target
	queuedAt time.Duration
	deadline time.Duration
	seq      uint64
	isRetry  bool // a retry of an admitted request

	subqueue  *subqueue
	heapIndex int
	acquiring bool // returned by next; endAcquisition not called yet
	cancelled bool // caller left while acquiring
	done      chan outcome
}

// target is the queue's state of a target.
type target struct {
	name   string
	id     uint64 // hash of name; the sum of ids is the key of a set
	pool   *pool
	demand int // queued requests that could use it
	// gen is incremented whenever the target may have a slot again; noSlotGen is
	// the value of gen when the last attempt found no slot.
	gen           uint64
	noSlotGen     uint64
	demandChanged bool
}

func (t *target) mayHaveSlot() bool { return t.noSlotGen != t.gen }

// team is the queue's state of a team over all pools.
type team struct {
	name   string
	queued int
	// debitCount is the number of queued requests that debit tokens, and
	// queuedTokens the sum of these debits.
	debitCount   int
	queuedTokens float64
	// tokenBlocked is set while queued requests wait for tokens rather than slots;
	// failedDebitGen is the queue's tokenGen when the last debit failed, 0 if none
	// has failed since the last success, and blocker the request whose debit
	// failed. Requests behind it wait too, so that small requests do not use up
	// the tokens a large one waits for.
	tokenBlocked   bool
	failedDebitGen uint64
	blocker        *entry
	flows          map[*pool]*flow
	debitRate      rateEstimator // while tokenBlocked
	demandChanged  bool
	lastUsed       time.Duration
}

// flow is the fair-queue state of one team in one pool.
type flow struct {
	team         *team
	pool         *pool
	weight       float64
	virtualStart float64 // virtual start time of the next request
	queuedCost   float64 // of the queued requests
	queued       int
	subqueues    []*subqueue
}

// subqueue holds, in order of arrival, the queued requests of a flow that can
// use the same targets and either all need tokens or all need none.
type subqueue struct {
	flow        *flow
	targetSet   *targetSet
	needsTokens bool
	entries     []*entry
}

// targetSet is the set of targets that a queued request can use.
type targetSet struct {
	key     uint64
	targets []*target
	poolGen uint64 // the pool's gen when usable was computed
	usable  bool
}

// pool is a group of targets with a common fair queue and its virtual time. All
// targets that a queued request lists are in the same pool.
type pool struct {
	targets     []*target
	sets        map[uint64]*targetSet
	flows       map[string]*flow
	active      []*flow // with queued requests
	virtualTime float64
	queued      int
	slotWaiters int    // those of queued whose teams do not wait for tokens
	gen         uint64 // incremented when the known availability of a target's slots changes
	mayServe    bool
	serviceRate rateEstimator
	needsSlots  bool // false for the pool of requests that need no local slot
}

// queue is the fair queue of an instance. It neither reads the clock nor locks;
// the caller acquires the allocations.
type queue struct {
	bounds    bounds
	teams     map[string]*team
	targets   map[string]*target
	pools     []*pool
	remote    *pool // requests that need no local slot
	deadlines deadlineHeap
	total     int
	tokenGen  uint64 // incremented when token balances may have increased
	lastSeq   uint64
	// Teams and targets whose demand changed since the last call of
	// takeChangedDemand.
	changedTeams   []*team
	changedTargets []*target
}

func newQueue(b bounds) *queue {
	q := &queue{bounds: b, teams: map[string]*team{}, targets: map[string]*target{}, tokenGen: 1}
	q.remote = q.newPool()
	q.remote.needsSlots = false
	return q
}

func (q *queue) newPool() *pool {
	p := &pool{sets: map[uint64]*targetSet{}, flows: map[string]*flow{}, needsSlots: true, gen: 1}
	q.pools = append(q.pools, p)
	return p
}

// push queues e or returns why it is refused. When the queue is full, the newest
// request of the team with the most queued requests for its weight is removed and
// returned as dropped, so that one team cannot keep the others out.
func (q *queue) push(now time.Duration, e *entry, weight float64) (dropped *entry, refusal *result.Error) {
	p := q.poolFor(now, e.targets)
	f := q.ensureFlow(now, p, e.team, weight)
	if !e.isRetry {
		if f.team.queued >= q.bounds.perTeam {
			return nil, result.New(result.QueueFull, result.NotRun, "%d requests of the team are waiting", f.team.queued).
				WithRetryAfter(q.estimateSlotWait(now, f))
		}
		if refusal := q.refuseByDeadline(now, f, e); refusal != nil {
			return nil, refusal
		}
		if q.total >= q.bounds.total {
			dropped = q.evictionCandidate(f)
			if dropped == nil {
				return nil, result.New(result.QueueFull, result.NotRun, "%d requests are waiting", q.total).
					WithRetryAfter(q.estimateSlotWait(now, f))
			}
			q.remove(now, dropped)
		}
	}
	q.insert(now, f, e)
	return dropped, nil
}

// refuseByDeadline returns an error if e is not expected to start by its
// deadline.
func (q *queue) refuseByDeadline(now time.Duration, f *flow, e *entry) *result.Error {
	left := e.deadline - now
	if left <= 0 {
		return result.New(result.DeadlineTooNear, result.NotRun, "the deadline has passed")
	}
	if e.tokens > 0 && f.team.tokenBlocked {
		if wait := q.estimateTokenWait(now, f.team, e.tokens); wait > left {
			return result.New(result.OverRate, result.NotRun, "tokens are expected in %v, later than the deadline in %v", wait, left).
				WithRetryAfter(wait - left)
		}
	}
	if f.pool.queued >= minEstimateDepth {
		if wait := q.estimateSlotWait(now, f); wait > left {
			return result.New(result.DeadlineTooNear, result.NotRun, "a slot is expected in %v, later than the deadline in %v", wait, left).
				WithRetryAfter(wait - left)
		}
	}
	return nil
}

// maxEstimate is the largest estimated wait, later than any deadline.
const maxEstimate = time.Hour

// estimateTokenWait estimates how long one more request of t waits for tokens.
func (q *queue) estimateTokenWait(now time.Duration, t *team, tokens float64) time.Duration {
	if t.queued < minEstimateDepth {
		return 0
	}
	return estimateWait(t.queuedTokens+tokens, &t.debitRate, now)
}

// estimateSlotWait estimates how long a new request of f waits for a slot. While
// the requests that its team has queued are served, each other team is served in
// proportion to its weight, but no team more than it has queued. So the wait is
// bounded by the time to serve the whole backlog, and by the time to serve the
// team's queued requests at its weighted share; the smaller bound is used.
func (q *queue) estimateSlotWait(now time.Duration, f *flow) time.Duration {
	ahead, weights := f.pool.slotBacklog(f)
	return estimateWait(min(ahead, f.queuedCost*weights/f.weight), &f.pool.serviceRate, now)
}

// slotBacklog returns the total cost of the queued requests that wait for slots
// rather than tokens, and the total weight of their teams. f, if not nil, always
// counts as one of these teams.
func (p *pool) slotBacklog(f *flow) (cost, weights float64) {
	for _, g := range p.active {
		if g == f || !g.team.tokenBlocked {
			weights += g.weight
			cost += g.queuedCost
		}
	}
	if f != nil && f.queued == 0 {
		weights += f.weight
	}
	return cost, weights
}

// estimateWait returns the time to serve work at the estimated rate, or 0 if the
// rate is unknown.
func estimateWait(work float64, service *rateEstimator, now time.Duration) time.Duration {
	if work <= 0 {
		return 0
	}
	rate, known := service.rate(now)
	if !known {
		return 0
	}
	seconds := work / rate
	if !(seconds < maxEstimate.Seconds()) {
		return maxEstimate
	}
	return time.Duration(seconds * float64(time.Second))
}

// evictionCandidate returns the newest request of the flow with the most queued
// requests for its weight, or nil if that is f itself.
func (q *queue) evictionCandidate(f *flow) *entry {
	worst := f
	for _, p := range q.pools {
		for _, g := range p.active {
			if float64(g.queued)/g.weight > float64(worst.queued)/worst.weight {
				worst = g
			}
		}
	}
	if worst == f {
		return nil
	}
	var newest *entry
	for _, sq := range worst.subqueues {
		for i := len(sq.entries) - 1; i >= 0; i-- {
			if e := sq.entries[i]; !e.acquiring && !e.isRetry {
				if newest == nil || e.seq > newest.seq {
					newest = e
				}
				break
			}
		}
	}
	return newest
}
