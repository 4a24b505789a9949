package overload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// objectiveMargin is the fraction of the objective within which the first byte of
	// a request must be expected for the request to count as in time.
	objectiveMargin = 0.7
	// lateHoldFraction is the fraction of a late request's usable time that its
	// expected wait may take. A request that is held and then refused costs its caller
	// more than one that is refused at once.
	lateHoldFraction = 0.5
	// leftoverFraction is the least fraction of the capacity that is expected to be
	// left for late requests while new ones demand all of it: bursts end.
	leftoverFraction = 0.1
	// waitReserve times the expected wait must leave a request in time for it to be
	// queued as such: the estimate varies, and requests of better ranks arrive.
	waitReserve = 1.0
	// hopelessFactor times the usable time is the expected wait at which a waiting
	// request is released: the estimate of the wait varies, and a request that was
	// admitted should not be released by noise.
	hopelessFactor = 1.5
	// workAgeing is how much less work a request counts with in the order for each
	// unit of time that it has waited, so that large requests do not starve.
	workAgeing = 0.25
	// oldestShare is one start in how many that goes to the request that has used up
	// most of its time, whatever its rank, so that low ranks do not starve; agedFraction
	// is the least fraction that it has used up.
	oldestShare  = 24
	agedFraction = 0.1
	// maxFailedTries bounds the failed attempts to place waiting requests in one pass.
	maxFailedTries = 4
	// minStartRate is the least number of started requests per second from which their
	// mean work is known.
	minStartRate = 0.2
	// maxSparseRate is the number of started requests per second up to which an
	// instance relies on what others report: with more, its own rate is better. Used at
	// all rates, the reports doubled the requests held and then refused (trial).
	maxSparseRate = 4
	// ranks is the number of ranks that the platform has.
	ranks = 10
	// lowRank is added to the rank of requests that get only what others leave.
	lowRank = 100
	// harmlessHold is the fraction of the objective for which a request may be held
	// and then refused without a cost for its caller.
	harmlessHold = 0.125
	// idleCapacity is the work in seconds of target time per second below which the
	// work that was started lately says nothing about the capacity.
	idleCapacity = 0.002
	// rateWindow is the time constant of the rates of arriving and started work: a few
	// heartbeats, so that a loss of targets shows within a second.
	rateWindow = 700 * time.Millisecond
)

// Limits bound a Queue.
type Limits struct {
	Entries int
	Bytes   int64
}

// Request describes a request to the queue of its service.
type Request struct {
	ID, Team string
	// Rank is the priority of route and team; 0 is the most urgent.
	Rank int
	// Weight is the share of the team relative to the other teams; 0 counts as 1.
	Weight float64
	// Arrived is when the request arrived, Objective the time from then to the first
	// byte within which an answer is in time, and Deadline when the caller gives up without one.
	Arrived   time.Time
	Objective time.Duration
	Deadline  time.Time
	// CallerDeadline is until when the caller may come back; Deadline if it is zero.
	CallerDeadline time.Time
	// Unloaded is the time to the first byte at an idle target, and Work the target
	// time that the request takes.
	Unloaded, Work time.Duration
	// Bytes is the memory that the request holds while it waits.
	Bytes int64
	// Key identifies the request for recognising returns; 0 if it is not known.
	Key uint64
	// Jitter is a random number from 0 to 1 that differs between requests.
	Jitter float64
}

// Reason says why a request was refused.
type Reason string

// Reasons of refusals.
const (
	NoTime    Reason = "no_time"    // the caller's time is used up
	WorkAhead Reason = "work_ahead" // the work ahead leaves no time
	QueueFull Reason = "queue_full" // the queue is full, and all others lose more
	Displaced Reason = "displaced"  // another request took the place in the queue
	Released  Reason = "released"   // a waiting request can no longer be served in time
	Repeated  Reason = "repeated"   // the caller returned before the promised time
	NoRoom    Reason = "no_room"    // requests that may not wait
	Stopping  Reason = "stopping"   // the instance stops
)

// Refusal is the decision not to serve a request.
type Refusal struct {
	Reason Reason
	// RetryAfter is the promised time until capacity is expected.
	RetryAfter time.Duration
	// Expected is the expected wait that led to the refusal; 0 if none did.
	Expected time.Duration
}

// Entry is a waiting request.
type Entry struct {
	Request
	// Returned is set if the caller came back as instructed, and Promised if capacity
	// was promised to it for that time.
	Returned, Promised bool
	// Low is set if the request gets only what others leave: its team demands many
	// times its usual demand, or its caller came back before the promised time.
	Low bool
	// penalty is work added in the order because the team has more work in the queue
	// than the average of the teams there, relative to its weight.
	penalty  time.Duration
	queuedAt time.Time
	sequence uint64
	// value is for the owner of the queue.
	value any
}

// Waited returns how long the request has been in the queue.
func (e *Entry) Waited(now time.Time) time.Duration { return now.Sub(e.queuedAt) }

// canBeInTime reports whether the request would be in time if it started now at an
// idle target. A return counts as late, as its caller has waited since its first
// request, unless capacity was promised to it.
func (e *Entry) canBeInTime(now time.Time) bool {
	return (!e.Returned || e.Promised) && now.Sub(e.Arrived)+e.Unloaded <= time.Duration(objectiveMargin*float64(e.Objective))
}

// usable returns how long the request can wait and still be served.
func (e *Entry) usable(now time.Time) time.Duration { return e.Deadline.Sub(now) - e.Unloaded }

func (e *Entry) rank() int {
	if e.Low {
		return e.Rank + lowRank
	}
	return e.Rank
}

// compare orders entries by who starts first.
func compare(a, b *Entry, now time.Time) int {
	if c := cmp.Compare(a.rank(), b.rank()); c != 0 {
		return c
	}
	if a.Promised != b.Promised {
		return boolFirst(a.Promised)
	}
	if in := a.canBeInTime(now); in != b.canBeInTime(now) {
		return boolFirst(in)
	}
	if a.Returned != b.Returned {
		return boolFirst(a.Returned)
	}
	if c := cmp.Compare(a.agedWork(now), b.agedWork(now)); c != 0 {
		return c
	}
	return cmp.Compare(a.sequence, b.sequence)
}

func boolFirst(a bool) int {
	if a {
		return -1
	}
	return 1
}

func (e *Entry) agedWork(now time.Time) time.Duration {
	return e.Work + e.penalty - time.Duration(workAgeing*float64(e.Waited(now)))
}

// Queue holds the waiting requests of one service at one instance.
type Queue struct {
	limits   Limits
	entries  []*Entry
	bytes    int64
	sequence uint64
	starts   int
	// arrived, by rank, and started are rates of work, in seconds of target time per
	// second.
	arrived [ranks]rate
	started rate
	// startRate is the number of started requests per second. peerFreed is the number of
	// requests of other instances that end at local targets per second, and peerQueued
	// that of the requests that wait at them.
	startRate  rate
	peerFreed  float64
	peerQueued int
	schedule   schedule
	teams      teams
}

// NewQueue returns an empty Queue.
func NewQueue(l Limits) *Queue {
	q := &Queue{limits: l, started: rate{tau: rateWindow}, startRate: rate{tau: rateWindow}, teams: newTeams()}
	for i := range q.arrived {
		q.arrived[i].tau = rateWindow
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.entries) }

// OldestWait returns the longest time that a request has waited.
func (q *Queue) OldestWait(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, e := range q.entries {
		oldest = max(oldest, e.Waited(now))
	}
	return oldest
}

// Work is the target time of requests that arrived, by rank and by team, and of those
// that were started, whether they have waited or not.
type Work struct {
	Arrived [ranks]time.Duration
	Teams   map[string]time.Duration
	Started time.Duration
	Starts  int
}

// RankIndex returns the index of a rank in Work.Arrived.
func RankIndex(rank int) int { return min(max(rank, 0), ranks-1) }

// RecordWork records the work since the last call.
func (q *Queue) RecordWork(w Work, now time.Time) {
	for i, d := range w.Arrived {
		q.arrived[i].add(d.Seconds(), now)
	}
	for team, d := range w.Teams {
		q.teams.record(team, d, now)
	}
	q.started.add(w.Started.Seconds(), now)
	q.startRate.add(float64(w.Starts), now)
}

// SetPeers tells the queue the requests of other instances of the region that end at
// local targets per second, and the requests that wait at those instances.
func (q *Queue) SetPeers(freedPerSecond float64, queued int) {
	q.peerFreed, q.peerQueued = freedPerSecond, queued
}

// capacity returns the work that the queue is expected to start per second: what it
// started lately, or the share of the slots that become free in the region that its
// requests are of all that wait there, if it started so few that they tell little.
func (q *Queue) capacity() float64 {
	if q.startRate.value < minStartRate || q.startRate.value > maxSparseRate {
		return q.started.value
	}
	meanWork := q.started.value / q.startRate.value
	share := float64(len(q.entries)+1) / float64(q.peerQueued+len(q.entries)+1)
	return max(q.started.value, meanWork*(q.peerFreed+q.startRate.value)*share)
}

// expectedWait returns how long it takes until work has been started: a request gets
// what new ones of better ranks leave, and a late one what all new ones leave. known
// is false if hardly any work was started lately, so that nothing can be said.
func (q *Queue) expectedWait(work, usable time.Duration, rank int, late bool) (wait time.Duration, known bool) {
	if q.idle() && q.started.value*usable.Seconds() < work.Seconds()/2 {
		return 0, false
	}
	all := q.capacity()
	capacity := all
	for i := range q.arrived {
		if late || i < rank {
			capacity -= q.arrived[i].value
		}
	}
	capacity = max(capacity, leftoverFraction*all, 1e-9)
	return time.Duration(min(work.Seconds()/capacity, 3600) * float64(time.Second)), true
}

// idle reports whether hardly any work was started lately.
func (q *Queue) idle() bool { return q.started.value < idleCapacity }

// Offer adds a request to the queue or refuses it. displaced is another request that
// must leave for it; nil if there is none.
func (q *Queue) Offer(r Request, now time.Time) (e *Entry, refusal *Refusal, displaced *Entry) {
	kept, promised, early := q.schedule.match(r.Key, now)
	e = &Entry{Request: r, Returned: kept, Promised: promised, Low: early > 0 || q.teams.overShare(r.Team, now), queuedAt: now, sequence: q.sequence}
	q.sequence++
	e.penalty = q.teamPenalty(e)
	if expected, ok := q.fits(e, now); !ok {
		return nil, q.refuse(e, WorkAhead, expected, now), nil
	}
	if len(q.entries) >= q.limits.Entries || q.bytes+e.Bytes > q.limits.Bytes {
		least := e
		for _, o := range q.entries {
			if q.bytes-o.Bytes+e.Bytes <= q.limits.Bytes && losesLess(o, least, now) {
				least = o
			}
		}
		if least == e {
			return nil, q.refuse(e, QueueFull, 0, now), nil
		}
		q.Remove(least)
		displaced = least
	}
	q.entries = append(q.entries, e)
	q.bytes += e.Bytes
	return e, nil, displaced
}

// teamPenalty returns the work that the team of e has in the queue, relative to its
// weight, beyond the average of all teams there.
func (q *Queue) teamPenalty(e *Entry) time.Duration {
	waiting := map[string]float64{e.Team: 0}
	weights, weight := map[string]float64{e.Team: e.weight()}, 0.0
	for _, o := range q.entries {
		waiting[o.Team] += o.Work.Seconds()
		weights[o.Team] = o.weight()
	}
	for _, w := range weights {
		weight += w / float64(len(weights))
	}
	average := 0.0
	for team, work := range waiting {
		average += work / weights[team] * weight / float64(len(waiting))
	}
	return time.Duration(max(waiting[e.Team]/e.weight()*weight-average, 0) * float64(time.Second))
}

func (e *Entry) weight() float64 {
	if e.Weight <= 0 {
		return 1
	}
	return e.Weight
}

// fits returns the expected wait of e behind the entries that precede it, and whether
// it leaves enough time.
func (q *Queue) fits(e *Entry, now time.Time) (time.Duration, bool) {
	usable := e.usable(now)
	if usable <= 0 {
		return 0, false
	}
	ahead, inTimeAhead := e.Work, time.Duration(0)
	for _, o := range q.entries {
		if o != e && compare(o, e, now) < 0 {
			ahead += o.Work
			if o.canBeInTime(now) || o.Promised {
				inTimeAhead += o.Work
			}
		}
	}
	wait, known := q.expectedWait(inTimeAhead, usable, e.rank(), false)
	if !known || e.canBeInTime(now.Add(time.Duration(waitReserve*float64(wait)))) {
		return wait, true
	}
	if e.Promised {
		wait, _ := q.expectedWait(ahead, usable, 0, false)
		return wait, wait <= usable
	}
	wait, _ = q.expectedWait(ahead, usable, 0, true)
	return wait, wait <= time.Duration(lateHoldFraction*float64(usable))
}

// losesLess reports whether a loses less than b by being refused now: a request of a
// team over its share, then one of a lower rank, then one that did not return as
// instructed, then one that has been held harmlessly short, then the one with more
// time to come back.
func losesLess(a, b *Entry, now time.Time) bool {
	if c := cmp.Compare(a.rank(), b.rank()); c != 0 {
		return c > 0
	}
	if a.Returned != b.Returned {
		return !a.Returned
	}
	if ah, bh := a.heldHarmlessly(now), b.heldHarmlessly(now); ah != bh {
		return ah
	}
	if ai, bi := a.canBeInTime(now), b.canBeInTime(now); ai != bi {
		return !ai
	}
	return a.usable(now) > b.usable(now)
}

// heldHarmlessly reports whether the request has waited at most an eighth of its
// objective, which costs its caller nothing.
func (e *Entry) heldHarmlessly(now time.Time) bool {
	return e.Waited(now) <= time.Duration(harmlessHold*float64(e.Objective))
}

// Refuse returns the refusal of a request that is not in the queue.
func (q *Queue) Refuse(r Request, reason Reason, now time.Time) *Refusal {
	return q.refuse(&Entry{Request: r, queuedAt: now}, reason, 0, now)
}

func (q *Queue) refuse(e *Entry, reason Reason, expected time.Duration, now time.Time) *Refusal {
	if e.usable(now) <= 0 {
		reason = NoTime
	}
	if early := q.schedule.early(e.Key, now); early > 0 {
		// A promise that is in force is not replaced: the caller would gain by asking
		// again, and its repeats would take the places of others in the schedule.
		return &Refusal{Reason: Repeated, RetryAfter: early, Expected: expected}
	}
	var waiting time.Duration
	for _, o := range q.entries {
		waiting += o.Work
	}
	return &Refusal{Reason: reason, RetryAfter: q.schedule.promise(&e.Request, waiting, q.capacity(), now), Expected: expected}
}

// Remove takes an entry out of the queue, and reports whether it was there.
func (q *Queue) Remove(e *Entry) bool {
	i := slices.Index(q.entries, e)
	if i < 0 {
		return false
	}
	q.entries = slices.Delete(q.entries, i, i+1)
	q.bytes -= e.Bytes
	return true
}

// Drop takes an entry out of the queue and returns its refusal.
func (q *Queue) Drop(e *Entry, reason Reason, now time.Time) *Refusal {
	q.Remove(e)
	return q.refuse(e, reason, 0, now)
}

// Hopeless returns the entries that can no longer be served in time for their
// callers: those without usable time, and those behind more work than can start.
func (q *Queue) Hopeless(now time.Time) []*Entry {
	q.sort(now)
	var out []*Entry
	var ahead time.Duration
	for _, e := range q.entries {
		usable := e.usable(now)
		wait, known := q.expectedWait(ahead+e.Work, usable, 0, false)
		if usable <= 0 || wait > time.Duration(hopelessFactor*float64(usable)) || !known && !e.heldHarmlessly(now) {
			out = append(out, e)
			continue
		}
		ahead += e.Work
	}
	return out
}

func (q *Queue) sort(now time.Time) {
	slices.SortFunc(q.entries, func(a, b *Entry) int { return compare(a, b, now) })
}

// Mode says which capacity a waiting request may use.
type Mode int

const (
	// Ordinary requests use what the objective that is left to them allows.
	Ordinary Mode = iota
	// SpareOnly requests use only capacity that no other needs: a request of a better
	// rank that could still be in time found no place.
	SpareOnly
	// Aged requests use capacity as if they had just arrived.
	Aged
)

// Start calls place for waiting requests in their order and removes those for which
// it returns true.
func (q *Queue) Start(now time.Time, place func(e *Entry, mode Mode) bool) {
	q.sort(now)
	order := slices.Clone(q.entries)
	started := func(e *Entry, mode Mode) bool {
		if !place(e, mode) {
			return false
		}
		q.Remove(e)
		q.starts++
		return true
	}
	failed, blockedRank := 0, -1
	for _, e := range order {
		if q.starts%oldestShare == oldestShare-1 {
			if o := q.oldest(now); o != nil && !started(o, Aged) {
				q.starts++ // its turn is over
			}
		}
		if !slices.Contains(q.entries, e) {
			continue // was started as the oldest
		}
		mode := Ordinary
		if blockedRank >= 0 && e.rank() > blockedRank {
			mode = SpareOnly
		}
		if started(e, mode) {
			continue
		}
		if blockedRank < 0 && e.canBeInTime(now) {
			blockedRank = e.rank()
		}
		if failed++; failed >= maxFailedTries {
			return
		}
	}
}

// oldest returns the entry that has used up most of its time, if that is a part that
// matters. Requests that only get what others leave do not count.
func (q *Queue) oldest(now time.Time) *Entry {
	var oldest *Entry
	most := agedFraction
	for _, e := range q.entries {
		if used := now.Sub(e.Arrived).Seconds() / max(e.Deadline.Sub(e.Arrived).Seconds(), 0.001); used > most && !e.Low {
			oldest, most = e, used
		}
	}
	return oldest
}
