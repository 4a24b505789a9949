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

// The simulation in this file passes messages between voters, candidates,
// ledgers and holders in virtual time. It records admissions and requests in
// flight; simload_test.go has the load and checks the record.

const (
	simStep        = 20 * time.Millisecond
	simMaxWait     = time.Second // how long a request waits for tokens
	simConfigDelay = 4 * time.Second
	simMaxRun      = 4 * time.Second
	simTimeout     = 400 * time.Millisecond
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

type publishedConfig struct {
	at  time.Duration
	cfg *config.Config
}

type admissionRecord struct {
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
	inFlight           int // sent and not ended
	sampled, sampledAt int64
}

// spender replaces the holder in the simpler mechanisms of naive_test.go.
type spender interface {
	debit(n *simNode, team string, tokens float64) bool
	step(n *simNode)
}

type sim struct {
	rng     *rand.Rand
	now     time.Duration
	seq     uint64
	queue   simQueue
	regions []string
	nodes   []*simNode
	configs []publishedConfig
	targets map[string]*simTarget

	loss, dup, late float64 // probabilities; late messages take up to 3 s
	group           map[string]int
	oneWay          map[[2]string]bool
	naive           func() spender
	noRefunds       bool

	admissions []admissionRecord
	refused    []request
	arrivals   []request
	violations []string // violated bounds and assertions
	messages   int
	slotsUsed  int
}

type simNode struct {
	s                        *sim
	region, addr             string
	id                       *peerv1.Identity
	rate                     float64
	startedAt                time.Duration
	upperSteps, suspendedFor time.Duration // forward steps of the upper reading; suspended time, missing from the lower one
	wallOffset               time.Duration
	configDelay              time.Duration
	cfg                      *config.Config
	dead                     bool
	pausedUntil              time.Duration

	voter     *leadership.Voter
	candidate *leadership.Candidate
	ledger    *Ledger
	holder    *Holder
	naive     spender

	leaderAddr                 map[leadership.Shard]string
	nextVoter                  int
	lastRound, notBefore       time.Duration
	lastPoll, lastHousekeeping time.Duration
	waiting                    []request
	slotWaiting                map[string]int
	rounds                     int
}

func newSim(seed uint64, regions, perRegion int, cfg *config.Config, naive func() spender) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), targets: map[string]*simTarget{},
		group: map[string]int{}, oneWay: map[[2]string]bool{}, naive: naive,
	}
	s.configs = []publishedConfig{{0, cfg}}
	for name := range cfg.Targets {
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
		s.at(nil, 0, s.checkTokenSum)
	}
	return s
}

// start replaces the process at an address by one without state.
func (s *sim) start(slot int, region string, i int) {
	if old := s.nodes[slot]; old != nil {
		old.dead = true
	}
	n := &simNode{s: s, region: region, addr: voterAddress(region, i), startedAt: s.now, rate: 0.995 + 0.01*s.rng.Float64(), leaderAddr: map[leadership.Shard]string{}, slotWaiting: map[string]int{}}
	n.configDelay = time.Duration(s.rng.Int64N(int64(simConfigDelay)))
	n.updateConfig()
	n.wallOffset = time.Duration(s.rng.Int64N(int64(time.Hour)))
	n.id = &peerv1.Identity{Instance: n.addr, Incarnation: s.rng.Uint64(), PeerAddress: n.addr, Region: region}
	n.voter = leadership.NewVoter(n.read())
	n.candidate = leadership.NewCandidate(leadership.Shard{Region: region}, n.id)
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
		case e.node != nil && e.node.pausedUntil > s.now:
			e.at = e.node.pausedUntil // continues where it stopped
			heap.Push(&s.queue, e)
		default:
			e.fn()
		}
	}
	s.now = until
}

func (n *simNode) read() clock.Reading {
	d := time.Duration(float64(n.s.now-n.startedAt) * n.rate)
	return clock.Reading{Lower: d - n.suspendedFor, Upper: d + n.upperSteps}
}

func (n *simNode) pause(d time.Duration, suspended bool) {
	if n.pausedUntil > n.s.now {
		return
	}
	n.pausedUntil = n.s.now + d
	if suspended {
		n.suspendedFor += time.Duration(float64(d) * n.rate)
	}
	if n.s.rng.IntN(2) == 0 { // half of the time the watchdog notices too late
		n.s.at(n, n.pausedUntil, func() { n.voter.Abstain(n.read()) })
	}
}

// call delivers a request and its response. Each may be lost, late or
// duplicated.
func (s *sim) call(from *simNode, addr string, handle func(to *simNode) func()) {
	s.deliver(from.addr, addr, func() {
		for _, to := range s.nodes {
			if to.addr != addr {
				continue
			}
			s.at(to, s.now, func() {
				if reply := handle(to); reply != nil {
					// The process may be suspended between creating the
					// response and sending it.
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
		if s.rng.Float64() < s.late {
			d += s.jitter(3 * time.Second)
		}
		s.at(nil, s.now+d, fn)
	}
}

// updateConfig applies the newest configuration that has reached the node.
func (n *simNode) updateConfig() {
	for _, p := range n.s.configs {
		if p.at+n.configDelay <= n.s.now || n.cfg == nil {
			n.cfg = p.cfg
		}
	}
}

func (n *simNode) step() {
	s := n.s
	n.updateConfig()
	if n.naive != nil {
		n.naive.step(n)
	} else {
		n.stepCandidate()
		n.stepLeases()
	}
	n.serve()
	s.at(n, s.now+simStep, n.step)
}

func (n *simNode) stepCandidate() {
	now, shard := n.read(), leadership.Shard{Region: n.region}
	switch h := n.voter.Holder(now, shard); {
	case n.candidate.Active(now):
		if now.Lower-n.lastRound < leadership.RenewInterval {
			return
		}
	case h != nil && leadership.ProcessFromProto(h) != leadership.ProcessFromProto(n.id), now.Lower < n.notBefore:
		return
	default:
		// Membership views differ, so any member may campaign.
		n.notBefore = now.Lower + 100*time.Millisecond + n.s.jitter(600*time.Millisecond)
		if n.rounds++; n.rounds%4 == 0 {
			n.notBefore += clock.ForGrantor(leadership.LeaseDuration)
		}
	}
	n.campaign()
}

func (n *simNode) campaign() {
	now := n.read()
	n.lastRound = now.Lower
	wall := uint64(max(0, int64((n.s.now+n.wallOffset)/time.Millisecond)))
	r := n.candidate.Begin(now, wall, 0, leadership.VoterSetOf(n.cfg.Regions[n.region]))
	for _, voter := range r.Voters.All() {
		n.s.call(n, voter, func(to *simNode) func() {
			resp, err := to.voter.Vote(to.read(), r.Request)
			if err != nil {
				return nil
			}
			return func() {
				if n.candidate.HandleResponse(n.read(), r.Number, voter, resp) {
					n.campaign()
				}
			}
		})
	}
}

func (n *simNode) renew(req *peerv1.RenewRequest) *peerv1.RenewResponse {
	now, shard := n.read(), leadership.ShardFromProto(req.GetShard())
	t, ok := n.candidate.Lease(now)
	if !ok || t.Shard != shard {
		return &peerv1.RenewResponse{Sequence: req.GetSequence(), Hint: n.voter.Holder(now, shard)}
	}
	for _, other := range n.s.nodes {
		if other != n && other.region == n.region {
			if _, both := other.candidate.Lease(other.read()); both {
				n.s.violations = append(n.s.violations, fmt.Sprintf("%v: %s and %s are both leader", n.s.now, n.addr, other.addr))
			}
		}
	}
	n.openLedger(now, t)
	resp, err := n.ledger.Renew(now, n.cfg, req)
	if err == nil {
		err = n.ledger.verify()
	}
	if err != nil {
		n.s.violations = append(n.s.violations, fmt.Sprintf("%v %s: %v", n.s.now, n.addr, err))
	}
	return resp
}

func (n *simNode) openLedger(now clock.Reading, t leadership.Lease) {
	if n.ledger == nil || n.ledger.Ballot() != t.Ballot {
		n.ledger = NewLedger(now, t.Shard, t.Ballot)
	}
}

func (n *simNode) stepLeases() {
	now := n.read()
	for _, shard := range n.holder.DueShards(now, n.cfg) {
		req := n.holder.BuildRenewal(now, n.cfg, shard)
		n.exchange(shard, req)
	}
	t, ok := n.candidate.Lease(now)
	if !ok {
		return
	}
	n.openLedger(now, t)
	if now.Lower-n.lastHousekeeping >= housekeepingInterval {
		n.lastHousekeeping = now.Lower
		n.ledger.ExpireHolders(now)
		n.ledger.PruneBuckets(now, n.cfg)
	}
	if now.Lower-n.lastPoll >= urgentPollInterval {
		n.lastPoll = now.Lower
		for _, name := range n.s.targetNames() {
			tg := n.s.targets[name]
			if t := n.cfg.Targets[tg.name]; t != nil && t.Region == n.region && t.Kind == config.Engine {
				n.poll(now, n.ledger, tg)
			}
		}
	}
}

func (n *simNode) exchange(shard leadership.Shard, req *peerv1.RenewRequest) {
	s := n.s
	voters := leadership.VoterSetOf(n.cfg.Regions[shard.Region]).All()
	addr := n.leaderAddr[shard]
	if addr == "" {
		n.nextVoter++
		addr = voters[n.nextVoter%len(voters)]
	}
	delete(n.leaderAddr, shard) // set again by a response
	s.call(n, addr, func(to *simNode) func() {
		resp := to.renew(req)
		if resp == nil {
			return nil
		}
		return func() {
			if !resp.GetGrantor() {
				n.leaderAddr[shard] = resp.GetHint().GetPeerAddress()
				n.holder.RenewalFailed(shard, req.GetSequence())
				return
			}
			n.leaderAddr[shard] = addr
			if err := n.holder.ApplyResponse(n.read(), shard, resp); err != nil {
				s.violations = append(s.violations, err.Error())
			}
			n.serve()
		}
	})
	s.at(n, s.now+simTimeout, func() { n.holder.RenewalFailed(shard, req.GetSequence()) })
}
