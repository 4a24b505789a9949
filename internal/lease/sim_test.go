package lease

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// The fake of this file passes messages between voters, candidates, ledgers
// and holders in virtual time. It records admissions and requests in flight;
// simload_test.go has the load and judges the record.

const (
	simStep    = 20 * time.Millisecond
	simWait    = time.Second // a request waits this long for tokens
	simView    = 4 * time.Second
	simMaxRun  = 4 * time.Second
	simTimeout = 400 * time.Millisecond
)

type simEvent struct {
	at   time.Duration
	seq  uint64
	node *simNode
	fn   func()
}

type simQueue []*simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(*simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type published struct {
	at time.Duration
	ed *config.Config
}

type admission struct {
	at     time.Duration // of the debit
	team   string
	tokens float64 // net of what was refunded
	region string
}

type request struct {
	team    string
	tokens  float64
	arrived time.Duration
	number  int
}

type simTarget struct {
	name               string
	running            int // accepted and not ended
	flying             int // sent and not ended
	sampled, sampledAt int64
}

// spender replaces the holder in the naive versions.
type spender interface {
	debit(n *simNode, team string, tokens float64) bool
	step(n *simNode)
}

type sim struct {
	rng      *rand.Rand
	now      time.Duration
	seq      uint64
	queue    simQueue
	regions  []string
	nodes    []*simNode
	editions []published
	targets  map[string]*simTarget

	loss, dup, slow float64 // probabilities; slow messages take up to 3 s
	group           map[string]int
	oneWay          map[[2]string]bool
	naive           func() spender
	noRefunds       bool

	admissions []admission
	refused    []request
	arrivals   []request
	faults     []string // broken bounds and assertions
	messages   int
	slotsUsed  int
}

type simNode struct {
	s             *sim
	region, addr  string
	id            *peerv1.Identity
	rate          float64
	born          time.Duration
	jump, stopped time.Duration // forward steps of upper; suspension of lower
	wallOff       time.Duration
	viewDelay     time.Duration
	ed            *config.Config
	dead          bool
	frozenUntil   time.Duration

	voter  *leadership.Voter
	cand   *leadership.Candidate
	ledger *Ledger
	holder *Holder
	naive  spender

	grantorAt            map[leadership.Shard]string
	nextSeat             int
	lastRound, notBefore time.Duration
	lastPoll, lastHouse  time.Duration
	waiting              []request
	slotWaiting          map[string]int
	rounds               int
}

func newSim(seed uint64, regions, perRegion int, ed *config.Config, naive func() spender) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), targets: map[string]*simTarget{},
		group: map[string]int{}, oneWay: map[[2]string]bool{}, naive: naive,
	}
	s.editions = []published{{0, ed}}
	for name := range ed.Targets {
		s.targets[name] = &simTarget{name: name}
	}
	for r := range regions {
		s.regions = append(s.regions, string(rune('a'+r)))
		for i := range perRegion {
			s.nodes = append(s.nodes, nil)
			s.start(len(s.nodes)-1, s.regions[r], i)
		}
	}
	s.at(nil, 0, s.sample)
	if naive == nil {
		s.at(nil, 0, s.audit)
	}
	return s
}

// start puts a process with empty memory at an address.
func (s *sim) start(slot int, region string, i int) {
	if old := s.nodes[slot]; old != nil {
		old.dead = true
	}
	n := &simNode{s: s, region: region, addr: seat(region, i), born: s.now, rate: 0.995 + 0.01*s.rng.Float64(), grantorAt: map[leadership.Shard]string{}, slotWaiting: map[string]int{}}
	n.viewDelay = time.Duration(s.rng.Int64N(int64(simView)))
	n.view()
	n.wallOff = time.Duration(s.rng.Int64N(int64(time.Hour)))
	n.id = &peerv1.Identity{Instance: n.addr, Incarnation: s.rng.Uint64(), PeerAddress: n.addr, Region: region}
	n.voter = leadership.NewVoter(n.read())
	n.cand = leadership.NewCandidate(leadership.Shard{Region: region}, n.id)
	n.holder = NewHolder(n.id)
	if s.naive != nil {
		n.naive = s.naive()
	}
	s.nodes[slot] = n
	s.at(n, s.now+s.jitter(simStep), n.step)
}

func (s *sim) jitter(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

func (s *sim) at(n *simNode, t time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.queue, &simEvent{max(t, s.now), s.seq, n, fn})
}

func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(*simEvent)
		s.now = e.at
		switch {
		case e.node != nil && e.node.dead:
		case e.node != nil && e.node.frozenUntil > s.now:
			e.at = e.node.frozenUntil // goes on from where it stood
			heap.Push(&s.queue, e)
		default:
			e.fn()
		}
	}
	s.now = until
}

func (n *simNode) read() clock.Reading {
	d := time.Duration(float64(n.s.now-n.born) * n.rate)
	return clock.Reading{Lower: d - n.stopped, Upper: d + n.jump}
}

func (n *simNode) freeze(d time.Duration, suspended bool) {
	if n.frozenUntil > n.s.now {
		return
	}
	n.frozenUntil = n.s.now + d
	if suspended {
		n.stopped += time.Duration(float64(d) * n.rate)
	}
	if n.s.rng.IntN(2) == 0 { // the watchdog may be late
		n.s.at(n, n.frozenUntil, func() { n.voter.Abstain(n.read()) })
	}
}

// call delivers a request and its answer; each may be lost, late or doubled.
func (s *sim) call(from *simNode, addr string, handle func(to *simNode) func()) {
	s.deliver(from.addr, addr, func() {
		for _, to := range s.nodes {
			if to.addr != addr {
				continue
			}
			s.at(to, s.now, func() {
				if reply := handle(to); reply != nil {
					// The process may stop between its answer and sending it.
					s.at(to, s.now+s.jitter(time.Millisecond), func() {
						s.deliver(addr, from.addr, func() { s.at(from, s.now, reply) })
					})
				}
			})
		}
	})
}

func (s *sim) deliver(from, to string, fn func()) {
	s.messages++
	if from == to {
		fn()
		return
	}
	if s.group[from] != s.group[to] || s.oneWay[[2]string{from, to}] || s.rng.Float64() < s.loss {
		return
	}
	for copies := 0; copies < 1 || copies < 3 && s.rng.Float64() < s.dup; copies++ {
		d := 500*time.Microsecond + s.jitter(200*time.Microsecond)
		if from[:1] != to[:1] {
			d = 55*time.Millisecond + s.jitter(5*time.Millisecond)
		}
		if s.rng.Float64() < s.slow {
			d += s.jitter(3 * time.Second)
		}
		s.at(nil, s.now+d, fn)
	}
}

// view takes the newest edition that has reached the node.
func (n *simNode) view() {
	for _, p := range n.s.editions {
		if p.at+n.viewDelay <= n.s.now || n.ed == nil {
			n.ed = p.ed
		}
	}
}

func (n *simNode) step() {
	s := n.s
	n.view()
	if n.naive != nil {
		n.naive.step(n)
	} else {
		n.stepTerm()
		n.stepGrant()
	}
	n.serve()
	s.at(n, s.now+simStep, n.step)
}

func (n *simNode) stepTerm() {
	now, shard := n.read(), leadership.Shard{Region: n.region}
	switch h := n.voter.Holder(now, shard); {
	case n.cand.Active(now):
		if now.Lower-n.lastRound < leadership.RenewInterval {
			return
		}
	case h != nil && leadership.ProcessFromProto(h) != leadership.ProcessFromProto(n.id), now.Lower < n.notBefore:
		return
	default:
		// Views differ: any member may believe that it should campaign.
		n.notBefore = now.Lower + 100*time.Millisecond + n.s.jitter(600*time.Millisecond)
		if n.rounds++; n.rounds%4 == 0 {
			n.notBefore += clock.ForGrantor(leadership.LeaseDuration)
		}
	}
	n.begin()
}

func (n *simNode) begin() {
	now := n.read()
	n.lastRound = now.Lower
	wall := uint64(max(0, int64((n.s.now+n.wallOff)/time.Millisecond)))
	r := n.cand.Begin(now, wall, 0, leadership.VoterSetOf(n.ed.Regions[n.region]))
	for _, seat := range r.Voters.All() {
		n.s.call(n, seat, func(to *simNode) func() {
			resp, err := to.voter.Vote(to.read(), r.Request)
			if err != nil {
				return nil
			}
			return func() {
				if n.cand.HandleResponse(n.read(), r.Number, seat, resp) {
					n.begin()
				}
			}
		})
	}
}

func (n *simNode) renew(req *peerv1.RenewRequest) *peerv1.RenewResponse {
	now, shard := n.read(), leadership.ShardFromProto(req.GetShard())
	t, ok := n.cand.Lease(now)
	if !ok || t.Shard != shard {
		return &peerv1.RenewResponse{Sequence: req.GetSequence(), Hint: n.voter.Holder(now, shard)}
	}
	for _, other := range n.s.nodes {
		if other != n && other.region == n.region {
			if _, both := other.cand.Lease(other.read()); both {
				n.s.faults = append(n.s.faults, fmt.Sprintf("%v: %s and %s are both grantor", n.s.now, n.addr, other.addr))
			}
		}
	}
	n.openLedger(now, t)
	resp, err := n.ledger.Renew(now, n.ed, req)
	if err == nil {
		err = n.ledger.verify()
	}
	if err != nil {
		n.s.faults = append(n.s.faults, fmt.Sprintf("%v %s: %v", n.s.now, n.addr, err))
	}
	return resp
}

func (n *simNode) openLedger(now clock.Reading, t leadership.Lease) {
	if n.ledger == nil || n.ledger.Ballot() != t.Ballot {
		n.ledger = NewLedger(now, t.Shard, t.Ballot)
	}
}

func (n *simNode) stepGrant() {
	now := n.read()
	for _, shard := range n.holder.DueShards(now, n.ed) {
		req := n.holder.BuildRenewal(now, n.ed, shard)
		n.exchange(shard, req)
	}
	t, ok := n.cand.Lease(now)
	if !ok {
		return
	}
	n.openLedger(now, t)
	if now.Lower-n.lastHouse >= housekeeping {
		n.lastHouse = now.Lower
		n.ledger.ExpireHolders(now)
		n.ledger.PruneBuckets(now, n.ed)
	}
	if now.Lower-n.lastPoll >= pollUnsettled {
		n.lastPoll = now.Lower
		for _, name := range n.s.targetNames() {
			tg := n.s.targets[name]
			if t := n.ed.Targets[tg.name]; t != nil && t.Region == n.region && t.Kind == config.Engine {
				n.poll(now, n.ledger, tg)
			}
		}
	}
}

func (n *simNode) exchange(shard leadership.Shard, req *peerv1.RenewRequest) {
	s := n.s
	seats := leadership.VoterSetOf(n.ed.Regions[shard.Region]).All()
	addr := n.grantorAt[shard]
	if addr == "" {
		n.nextSeat++
		addr = seats[n.nextSeat%len(seats)]
	}
	delete(n.grantorAt, shard) // kept only by an answer
	s.call(n, addr, func(to *simNode) func() {
		resp := to.renew(req)
		if resp == nil {
			return nil
		}
		return func() {
			if !resp.GetGrantor() {
				n.grantorAt[shard] = resp.GetHint().GetPeerAddress()
				n.holder.RenewalFailed(shard, req.GetSequence())
				return
			}
			n.grantorAt[shard] = addr
			if err := n.holder.ApplyResponse(n.read(), shard, resp); err != nil {
				s.faults = append(s.faults, err.Error())
			}
			n.serve()
		}
	})
	s.at(n, s.now+simTimeout, func() { n.holder.RenewalFailed(shard, req.GetSequence()) })
}
