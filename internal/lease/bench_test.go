package lease

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// measureLatency runs op in 10 goroutines and reports the median and the 99th
// percentile of the time of one call. Each goroutine times one in 64 calls.
func measureLatency(b *testing.B, op func(i int)) {
	const goroutines, every = 10, 64
	var next atomic.Int64
	var wg sync.WaitGroup
	times := make([][]time.Duration, goroutines)
	b.ResetTimer()
	for g := range goroutines {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := rand.New(rand.NewPCG(uint64(g), 7))
			for n := 0; next.Add(1) <= int64(b.N); n++ {
				i := r.IntN(1 << 20)
				if n%every != 0 {
					op(i)
					continue
				}
				start := time.Now()
				op(i)
				times[g] = append(times[g], time.Since(start))
			}
		}()
	}
	wg.Wait()
	b.StopTimer()
	var all []time.Duration
	for _, t := range times {
		all = append(all, t...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	b.ReportMetric(float64(all[len(all)/2].Nanoseconds()), "median-ns")
	b.ReportMetric(float64(all[len(all)*99/100].Nanoseconds()), "p99-ns")
}

const benchTeams = 2400

func benchTeam(i int) string { return fmt.Sprintf("team-%04d", i) }

// BenchmarkTryDebit debits random teams through the Manager with the system
// clock.
func BenchmarkTryDebit(b *testing.B) {
	c := clock.NewSystem()
	m := NewManager(Config{Self: &peerv1.Identity{Instance: "x", Region: "a"}, Clock: c, Log: event.Nop()})
	names := make([]string, benchTeams)
	far := c.Now().Upper + 24*time.Hour
	for i := range names {
		names[i] = benchTeam(i)
		m.holder.withTeam(names[i], func(t *teamState) {
			t.balanceFrom(shardA, true).current = leasedTokens{amount: 1e15, validUntil: far}
		})
	}
	measureLatency(b, func(i int) {
		if _, ok := m.TryDebit(names[i%benchTeams], 1); !ok {
			b.Error("refused")
		}
	})
}

// BenchmarkMutexCounter is the baseline: one map of counters behind one
// sync.Mutex, without expiry.
func BenchmarkMutexCounter(b *testing.B) {
	var mu sync.Mutex
	left := make(map[string]float64, benchTeams)
	names := make([]string, benchTeams)
	for i := range names {
		names[i] = benchTeam(i)
		left[names[i]] = 1e15
	}
	measureLatency(b, func(i int) {
		mu.Lock()
		left[names[i%benchTeams]]--
		mu.Unlock()
	})
}

// fleetSize is one size of the volume measurements: all instances, regions,
// teams and targets, and the requests per second that one instance admits.
type fleetSize struct {
	instances, regions, teams, targets int
	perInstance                        float64
}

// The largest one is the size expected within two years; the others have the
// same load per instance.
var fleetSizes = []fleetSize{{9, 3, 5, 15, 12.4}, {30, 5, 240, 145, 12.4}, {330, 15, 2400, 1600, 12.4}}

// volume is what one region's instances exchange and store.
type volume struct {
	holder, leader float64 // bytes per second sent and received
	cpu, holderCPU float64 // of a core, for the ledger and for one holder
	holderBytes    float64 // state of one holder
	ledgerBytes    float64
	activeTeams    int
	renewals       float64 // per holder and second
}

// measure runs one region with real messages for some seconds of virtual time.
func (f fleetSize) measure() volume {
	const length = 40 * time.Second // longer than idle teams are kept
	perRegion := f.instances / f.regions
	rng := rand.New(rand.NewPCG(1, uint64(f.instances)))
	cfg := simConfig(f.regions, min(perRegion, 7), 0, 0, 0, 0)
	cfg.Targets = nil
	full := simConfig(1, min(perRegion, 7), 0, 0, 0, 0)
	full.Regions = cfg.Regions
	full.Teams = simConfig(1, 1, f.teams, 1e5, 4e5, 0).Teams
	clear(full.Targets)
	for i := range f.targets / f.regions {
		t := *simConfig(1, 1, 0, 0, 0, 8).Targets["a-e0"]
		t.Name = fmt.Sprintf("engine-a-%03d", i)
		full.Targets[t.Name] = &t
	}
	names := make([]string, 0, len(full.Targets))
	for name := range full.Targets {
		names = append(names, name)
	}
	sort.Strings(names)
	now := time.Minute
	l := NewLedger(reading(now), shardA, 1)
	holders, waiting := make([]*Holder, perRegion), make([][]task, perRegion)
	before := heapInUse()
	for i := range holders {
		holders[i] = NewHolder(&peerv1.Identity{
			Instance: fmt.Sprintf("region-a-instance-%02d", i), Incarnation: rng.Uint64(),
			PeerAddress: fmt.Sprintf("10.20.30.%d:7443", i), Region: "a", Domain: "a-1",
		})
	}
	var v volume
	var ledgerTime, holderTime time.Duration
	var ends []func()
	for end := now + length; now < end; now += simStep {
		r := reading(now)
		running := ends[:0]
		for _, e := range ends {
			if rng.IntN(100) == 0 { // 2 s on average
				e()
			} else {
				running = append(running, e)
			}
		}
		ends = running
		if int(now/simStep)%50 == 0 {
			for _, name := range names {
				l.RecordLoad(r, full, name, Load{Running: rng.IntN(3), SampledAt: now})
			}
		}
		for i, h := range holders {
			waiting[i] = f.traffic(rng, h, r, names, waiting[i], &ends)
			if !checksRenewals(h, now) {
				continue
			}
			began := time.Now()
			due := h.DueShards(r, full)
			holderTime += time.Since(began)
			for _, s := range due {
				if s != shardA {
					continue
				}
				began := time.Now()
				req := h.BuildRenewal(r, full, s)
				holderTime += time.Since(began)
				start := time.Now()
				resp, err := l.Renew(r, full, req)
				ledgerTime += time.Since(start)
				if err != nil {
					panic(err)
				}
				bytes := float64(proto.Size(req) + proto.Size(resp))
				v.leader += bytes
				v.holder += bytes / float64(perRegion)
				v.renewals += 1 / float64(perRegion)
				began = time.Now()
				if err := h.ApplyResponse(r, s, resp); err != nil {
					panic(err)
				}
				holderTime += time.Since(began)
			}
		}
	}
	secs := length.Seconds()
	v.holder, v.leader, v.renewals = v.holder/secs, v.leader/secs, v.renewals/secs
	v.cpu, v.holderCPU = ledgerTime.Seconds()/secs, holderTime.Seconds()/secs/float64(perRegion)
	v.activeTeams = holders[0].TeamCount()
	v.holderBytes = float64(heapInUse()-before) / float64(perRegion)
	v.ledgerBytes = float64(l.StateBytes())
	runtime.KeepAlive(holders)
	return v
}

// task is a request of the volume measurement.
type task struct {
	team, target string
	since        time.Duration
}

// checksRenewals reports whether the manager checks for due renewals: at its
// interval, and when a request begins to wait.
func checksRenewals(h *Holder, now time.Duration) bool {
	select {
	case <-h.Wake():
		return true
	default:
		return now%renewCheckInterval < simStep
	}
}

// traffic generates requests at one instance and admits those it can, with a
// slot each, in one step. It returns the requests that wait.
func (f fleetSize) traffic(rng *rand.Rand, h *Holder, r clock.Reading, names []string, waiting []task, ends *[]func()) []task {
	if rng.Float64() < f.perInstance*simStep.Seconds() {
		// Most traffic belongs to few teams: the team is the square of a
		// uniform number.
		u := rng.Float64()
		waiting = append(waiting, task{fmt.Sprintf("t%d", int(u*u*float64(f.teams))), names[rng.IntN(len(names))], r.Upper})
	}
	const size = 600
	kept := waiting[:0]
	for _, w := range waiting {
		slot, ok := h.TryTake(r, w.target)
		if ok {
			if _, ok = h.TryDebit(r, w.team, size); !ok {
				h.Release(r, slot)
			}
		}
		if ok || r.Upper-w.since > simMaxWait {
			h.WantTokens(r, w.team, 0)
			h.WantSlots(r, w.target, 0)
		} else {
			h.WantTokens(r, w.team, size)
			h.WantSlots(r, w.target, 1)
			kept = append(kept, w)
		}
		if ok {
			*ends = append(*ends, func() { h.Release(r, slot) })
		}
	}
	return kept
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkVolume reports message bytes and state at three fleet sizes.
func BenchmarkVolume(b *testing.B) {
	for _, f := range fleetSizes {
		b.Run(fmt.Sprintf("%dinstances-%dteams", f.instances, f.teams), func(b *testing.B) {
			var v volume
			for b.Loop() {
				v = f.measure()
			}
			b.ReportMetric(v.holder, "holder-B/s")
			b.ReportMetric(v.leader, "grantor-B/s")
			b.ReportMetric(v.renewals, "renewals/s")
			b.ReportMetric(100*v.cpu, "ledger-%core")
			b.ReportMetric(100*v.holderCPU, "holder-%core")
			b.ReportMetric(float64(v.activeTeams), "active-teams")
			b.ReportMetric(v.holderBytes/1024, "holder+share-KiB")
			b.ReportMetric(v.ledgerBytes/1024, "ledger-KiB")
		})
	}
}

// BenchmarkMessages reports the size of single messages with n teams that
// changed, and of a vote.
func BenchmarkMessages(b *testing.B) {
	id := &peerv1.Identity{Instance: "region-a-instance-01", Incarnation: 1 << 60, PeerAddress: "10.20.30.40:7443", Region: "region-a", Domain: "region-a-1"}
	vote := &peerv1.VoteRequest{Shard: (leadership.Shard{Region: "region-a"}).ID(), Candidate: id, Ballot: 1 << 41}
	for _, n := range []int{0, 5, 240, 2400} {
		b.Run(fmt.Sprintf("%dteams", n), func(b *testing.B) {
			req := &peerv1.RenewRequest{Shard: vote.Shard, Holder: id, Sequence: 1 << 20, Ballot: 1 << 41, Applied: 1 << 20}
			resp := &peerv1.RenewResponse{Grantor: true, Ballot: 1 << 41, Sequence: 1 << 20, ValidityMs: 2000}
			for i := range n {
				req.Teams = append(req.Teams, &peerv1.TeamReport{Team: benchTeam(i), Balance: 1.5, Want: 2.5, Spent: 3.5})
				resp.Teams = append(resp.Teams, &peerv1.TeamGrant{Team: benchTeam(i), Granted: 1.5, Spare: 2.5})
			}
			var size int
			for b.Loop() {
				size = proto.Size(req) + proto.Size(resp)
			}
			b.ReportMetric(float64(proto.Size(req)), "renew-B")
			b.ReportMetric(float64(proto.Size(resp)), "answer-B")
			b.ReportMetric(float64(size)/float64(max(1, n)), "B/team")
			b.ReportMetric(float64(proto.Size(vote)+proto.Size(&peerv1.VoteResponse{Granted: true, Ballot: 1 << 41, Holder: id})), "vote-B")
		})
	}
}
