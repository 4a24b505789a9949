package admission

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/lease"
)

// unlimitedHolder is a lease holder that never runs out of tokens or slots and
// locks once per call.
type unlimitedHolder struct{ fakeHolder }

func (p *unlimitedHolder) TryDebit(team string, n float64) (lease.Debit, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lease.Debit{Team: team, Tokens: n}, true
}

func (p *unlimitedHolder) TryTake(target string) (lease.Slot, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lease.Slot{Target: target}, true
}

func (p *unlimitedHolder) Release(lease.Slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
}

// BenchmarkAdmit measures Admit and Done without waiting, with 2,400 teams. It
// also reports the median and p99 latency of Admit.
func BenchmarkAdmit(b *testing.B) {
	for _, workers := range []int{1, 10} {
		b.Run(fmt.Sprintf("goroutines=%d", workers), func(b *testing.B) {
			holder := &unlimitedHolder{}
			m := New(Config{Tokens: holder, Slots: holder, Limits: func(string) (float64, float64, bool) { return 1e9, 1e9, true }})
			targets := make([]string, 12)
			for i := range targets {
				targets[i] = fmt.Sprintf("t%d", i)
			}
			teams := make([]string, 2400)
			for i := range teams {
				teams[i] = fmt.Sprintf("team-%04d", i)
			}
			latencies := make([][]time.Duration, workers)
			b.ReportAllocs()
			b.ResetTimer()
			done := make(chan struct{})
			for w := range workers {
				go func() {
					defer func() { done <- struct{}{} }()
					for i := 0; i < b.N/workers; i++ {
						r := Request{Team: teams[(i*7+w*241)%len(teams)], Weight: 1, Tokens: 100, Targets: targets}
						begin := time.Now()
						t, err := m.Admit(context.Background(), r)
						latencies[w] = append(latencies[w], time.Since(begin))
						if err != nil {
							b.Error(err)
							return
						}
						m.Done(t, 50)
					}
				}()
			}
			for range workers {
				<-done
			}
			b.StopTimer()
			all := slices.Concat(latencies...)
			slices.Sort(all)
			if n := len(all); n > 0 {
				b.ReportMetric(float64(all[n/2]), "median-ns")
				b.ReportMetric(float64(all[n*99/100]), "p99-ns")
			}
		})
	}
}

// BenchmarkRefuse measures a refusal by estimated wait while 2,400 teams have
// queued requests.
func BenchmarkRefuse(b *testing.B) {
	holder, clock, m := newManagerWithFakes(Config{})
	r := Request{Weight: 1, Tokens: 100, Targets: []string{"x"}}
	for i := range 2400 {
		r.Team = fmt.Sprintf("team-%04d", i)
		holder.balance[r.Team] = 1e9
		for range 1 {
			if _, _, err := m.submit(r, false, nil); err != nil {
				b.Fatal(err)
			}
		}
	}
	for range 10 {
		clock.advance(time.Second)
		holder.addSlots("x", 1)
		m.retryQueued()
	}
	r.Team = "team-2000"
	r.Deadline = clock.now().Add(time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := m.submit(r, false, nil); err == nil {
			b.Fatal("not refused")
		}
	}
}
