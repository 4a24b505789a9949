package membership

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonhill/wigeonhill/internal/confservice"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// fleet passes messages between cores in virtual time.
type fleet struct {
	now    time.Duration
	cores  []*Core
	down   []bool
	frozen []bool
	phase  []int // step within a period at which the node ticks
	byAddr map[string]int
	region []int
	cut    map[[2]int]bool
	loss   float64
	rng    *rand.Rand
	sent   []int // bytes
	later  []failure
}

// failure of a probe that becomes known at a time.
type failure struct {
	at, started time.Duration
	node        int
	address     string
}

const (
	step           = 50 * time.Millisecond
	stepsPerPeriod = int(Period / step)
)

func newFleet(n, regions int, listed bool, seed uint64) *fleet {
	f := &fleet{
		byAddr: make(map[string]int), cut: make(map[[2]int]bool), rng: rand.New(rand.NewPCG(seed, 1)),
		down: make([]bool, n), frozen: make([]bool, n), sent: make([]int, n),
	}
	var list confservice.InstanceList
	for i := range n {
		f.region = append(f.region, i%regions)
		m := f.identity(i)
		f.byAddr[m.PeerAddress] = i
		list.Instances = append(list.Instances, confservice.Instance{Name: m.Name, Callers: m.CallersAddress, Peers: m.PeerAddress, Region: m.Region, Domain: m.Domain})
	}
	for i := range n {
		f.cores = append(f.cores, nil)
		f.phase = append(f.phase, f.rng.IntN(stepsPerPeriod))
		f.start(i)
		if listed {
			f.cores[i].SetList(&list)
		}
	}
	return f
}

func (f *fleet) identity(i int) Member {
	region := fmt.Sprintf("region-%02d", i%100%max(1, len(f.region)))
	if i < len(f.region) {
		region = fmt.Sprintf("region-%02d", f.region[i])
	}
	address := fmt.Sprintf("10.%d.%d.%d", i%15+1, i/200, i%200+1)
	return Member{
		Name: fmt.Sprintf("%s-%03d", region, i), PeerAddress: address + ":7200", CallersAddress: address + ":8080",
		Region: region, Domain: fmt.Sprintf("%s-%d", region, i/15%2),
	}
}

// start begins a new process of the instance.
func (f *fleet) start(i int) {
	m := f.identity(i)
	m.Incarnation = f.rng.Uint64() | 1
	bootstrap := []string{f.identity(0).PeerAddress, f.identity(1).PeerAddress, f.identity(2).PeerAddress}
	f.cores[i] = NewCore(m, 1_000_000+uint32(f.now/time.Second), bootstrap, f.rng.Uint64())
	f.down[i] = false
}

func (f *fleet) reaches(i, j int) bool {
	return !f.down[j] && !f.frozen[j] && !f.cut[[2]int{f.region[i], f.region[j]}] && f.rng.Float64() >= f.loss
}

func (f *fleet) setCut(a, b int, cut bool) { f.cut[[2]int{a, b}], f.cut[[2]int{b, a}] = cut, cut }

// run advances the fleet by d.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		sort.SliceStable(f.later, func(a, b int) bool { return f.later[a].at < f.later[b].at })
		for len(f.later) > 0 && f.later[0].at <= f.now {
			l := f.later[0]
			f.later = f.later[1:]
			if !f.down[l.node] && !f.frozen[l.node] {
				f.cores[l.node].Failed(l.address, l.started, f.now)
			}
		}
		for i := range f.cores {
			if f.down[i] || f.frozen[i] || int(f.now/step)%stepsPerPeriod != f.phase[i] {
				continue
			}
			for _, address := range f.cores[i].Tick(f.now) {
				f.probe(i, address)
			}
		}
	}
}

func (f *fleet) probe(i int, address string) {
	j, ok := f.byAddr[address]
	if ok && f.exchange(i, j) {
		return
	}
	for _, relay := range f.cores[i].Relays(address) {
		r := f.byAddr[relay]
		if f.exchange(i, r) && ok && f.exchange(r, j) {
			return
		}
	}
	f.later = append(f.later, failure{f.now + ProbeTimeout + RelayTimeout, f.now, i, address})
}

// exchange carries a probe and its answer.
func (f *fleet) exchange(i, j int) bool {
	a, b := f.cores[i], f.cores[j]
	id := &peerv1.EditionID{Revision: 1 << 20, Digest: make([]byte, 8)}
	selfA, selfB := a.Self(), b.Self()
	req := &peerv1.ProbeRequest{From: selfA.Identity(), Edition: id, Instances: id, News: a.News(selfB.Name)}
	f.sent[i] += proto.Size(req)
	if !f.reaches(i, j) {
		return false
	}
	b.Merge(req.From, req.News, f.now)
	selfB = b.Self()
	res := &peerv1.ProbeResponse{From: selfB.Identity(), Edition: id, Instances: id, News: b.News(selfA.Name), Load: selfB.Load}
	f.sent[j] += proto.Size(res)
	if !f.reaches(j, i) {
		return false
	}
	a.Answered(selfB.PeerAddress, res.From, f.now)
	a.Merge(res.From, res.News, f.now)
	a.TakeChanges()
	b.TakeChanges()
	return true
}

// believe counts the running instances, other than j, whose belief about j
// satisfies ok.
func (f *fleet) believe(j int, ok func(m Member, known bool) bool) (yes, all int) {
	name := f.identity(j).Name
	for i, c := range f.cores {
		if i == j || f.down[i] || f.frozen[i] {
			continue
		}
		all++
		e, known := c.members[name]
		var m Member
		if known {
			m = e.view()
		}
		if ok(m, known) {
			yes++
		}
	}
	return yes, all
}

// until runs until every other instance satisfies ok about j and returns how
// long it took.
func (f *fleet) until(j int, limit time.Duration, ok func(m Member, known bool) bool) time.Duration {
	began := f.now
	for f.now-began < limit {
		if yes, all := f.believe(j, ok); yes == all {
			break
		}
		f.run(step)
	}
	return f.now - began
}
