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

// fleet simulates instances that exchange messages in virtual time.
type fleet struct {
	now             time.Duration
	detectors       []*Detector
	down            []bool
	paused          []bool
	phase           []int // step within a probe interval at which the instance ticks
	byAddress       map[string]int
	regionOf        []int
	partitioned     map[[2]int]bool
	loss            float64
	rng             *rand.Rand
	sentBytes       []int
	pendingFailures []probeFailure
}

// probeFailure is the failure of a probe that its sender notices at the time at.
type probeFailure struct {
	at, started time.Duration
	instance    int
	address     string
}

const (
	step             = 50 * time.Millisecond
	stepsPerInterval = int(ProbeInterval / step)
)

func newFleet(n, regions int, listed bool, seed uint64) *fleet {
	f := &fleet{
		byAddress: make(map[string]int), partitioned: make(map[[2]int]bool), rng: rand.New(rand.NewPCG(seed, 1)),
		down: make([]bool, n), paused: make([]bool, n), sentBytes: make([]int, n),
	}
	var list confservice.InstanceList
	for i := range n {
		f.regionOf = append(f.regionOf, i%regions)
		m := f.identity(i)
		f.byAddress[m.PeerAddress] = i
		list.Instances = append(list.Instances, confservice.Instance{Name: m.Name, CallersAddress: m.CallersAddress, PeerAddress: m.PeerAddress, Region: m.Region, Domain: m.Domain})
	}
	for i := range n {
		f.detectors = append(f.detectors, nil)
		f.phase = append(f.phase, f.rng.IntN(stepsPerInterval))
		f.start(i)
		if listed {
			f.detectors[i].SetInstanceList(&list)
		}
	}
	return f
}

func (f *fleet) identity(i int) Member {
	region := fmt.Sprintf("region-%02d", i%100%max(1, len(f.regionOf)))
	if i < len(f.regionOf) {
		region = fmt.Sprintf("region-%02d", f.regionOf[i])
	}
	address := fmt.Sprintf("10.%d.%d.%d", i%15+1, i/200, i%200+1)
	return Member{
		Name: fmt.Sprintf("%s-%03d", region, i), PeerAddress: address + ":7200", CallersAddress: address + ":8080",
		Region: region, Domain: fmt.Sprintf("%s-%d", region, i/15%2),
	}
}

// start starts a new process of the instance.
func (f *fleet) start(i int) {
	m := f.identity(i)
	m.Incarnation = f.rng.Uint64() | 1
	bootstrap := []string{f.identity(0).PeerAddress, f.identity(1).PeerAddress, f.identity(2).PeerAddress}
	f.detectors[i] = NewDetector(m, 1_000_000+uint32(f.now/time.Second), bootstrap, f.rng.Uint64())
	f.down[i] = false
}

func (f *fleet) reaches(i, j int) bool {
	return !f.down[j] && !f.paused[j] && !f.partitioned[[2]int{f.regionOf[i], f.regionOf[j]}] && f.rng.Float64() >= f.loss
}

func (f *fleet) setPartitioned(a, b int, partitioned bool) {
	f.partitioned[[2]int{a, b}], f.partitioned[[2]int{b, a}] = partitioned, partitioned
}

// run advances the fleet by d.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		sort.SliceStable(f.pendingFailures, func(a, b int) bool { return f.pendingFailures[a].at < f.pendingFailures[b].at })
		for len(f.pendingFailures) > 0 && f.pendingFailures[0].at <= f.now {
			failure := f.pendingFailures[0]
			f.pendingFailures = f.pendingFailures[1:]
			if !f.down[failure.instance] && !f.paused[failure.instance] {
				f.detectors[failure.instance].ProbeFailed(failure.address, failure.started, f.now)
			}
		}
		for i := range f.detectors {
			if f.down[i] || f.paused[i] || int(f.now/step)%stepsPerInterval != f.phase[i] {
				continue
			}
			for _, address := range f.detectors[i].Tick(f.now) {
				f.probe(i, address)
			}
		}
	}
}

func (f *fleet) probe(i int, address string) {
	j, ok := f.byAddress[address]
	if ok && f.exchange(i, j) {
		return
	}
	for _, relay := range f.detectors[i].ChooseRelays(address) {
		r := f.byAddress[relay]
		if f.exchange(i, r) && ok && f.exchange(r, j) {
			return
		}
	}
	f.pendingFailures = append(f.pendingFailures, probeFailure{f.now + ProbeTimeout + RelayTimeout, f.now, i, address})
}

// exchange delivers a probe and its response and reports whether both arrived.
func (f *fleet) exchange(i, j int) bool {
	a, b := f.detectors[i], f.detectors[j]
	id := &peerv1.EditionID{Revision: 1 << 20, Digest: make([]byte, 8)}
	selfA, selfB := a.Self(), b.Self()
	req := &peerv1.ProbeRequest{From: selfA.Identity(), Edition: id, Instances: id, News: a.NextUpdates(selfB.Name)}
	f.sentBytes[i] += proto.Size(req)
	if !f.reaches(i, j) {
		return false
	}
	b.Merge(req.From, req.News, f.now)
	selfB = b.Self()
	res := &peerv1.ProbeResponse{From: selfB.Identity(), Edition: id, Instances: id, News: b.NextUpdates(selfA.Name), Load: selfB.Load}
	f.sentBytes[j] += proto.Size(res)
	if !f.reaches(j, i) {
		return false
	}
	a.ProbeSucceeded(selfB.PeerAddress, res.From, f.now)
	a.Merge(res.From, res.News, f.now)
	a.TakeChanges()
	b.TakeChanges()
	return true
}

// countMatching counts the running instances other than j, and those of them whose
// entry of j satisfies ok.
func (f *fleet) countMatching(j int, ok func(m Member, known bool) bool) (matching, all int) {
	name := f.identity(j).Name
	for i, d := range f.detectors {
		if i == j || f.down[i] || f.paused[i] {
			continue
		}
		all++
		e, known := d.members[name]
		var m Member
		if known {
			m = e.effective()
		}
		if ok(m, known) {
			matching++
		}
	}
	return matching, all
}

// runUntil runs the fleet until the entries of j at all other running instances
// satisfy ok, at most for limit, and returns how long it took.
func (f *fleet) runUntil(j int, limit time.Duration, ok func(m Member, known bool) bool) time.Duration {
	start := f.now
	for f.now-start < limit {
		if matching, all := f.countMatching(j, ok); matching == all {
			break
		}
		f.run(step)
	}
	return f.now - start
}
