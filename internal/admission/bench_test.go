package admission

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/lease"
)

// plenty is a holder that always has rights and takes one lock per call.
type plenty struct{ fakeRights }

func (p *plenty) TryDebit(team string, n float64) (lease.Debit, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lease.Debit{Team: team, Tokens: n}, true
}

func (p *plenty) TryTake(target string) (lease.Slot, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lease.Slot{Target: target}, true
}

func (p *plenty) Release(lease.Slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
}

// BenchmarkAdmit measures Admit and Done without waiting, with 2,400 teams. The
// median and p99 of single calls of Admit are reported beside the throughput.
func BenchmarkAdmit(b *testing.B) {
	for _, workers := range []int{1, 10} {
		b.Run(fmt.Sprintf("goroutines=%d", workers), func(b *testing.B) {
			f := &plenty{}
			m := New(Config{Tokens: f, Slots: f, Limits: func(string) (float64, float64, bool) { return 1e9, 1e9, true }})
			targets := make([]string, 12)
			for i := range targets {
				targets[i] = fmt.Sprintf("t%d", i)
			}
			teams := make([]string, 2400)
			for i := range teams {
				teams[i] = fmt.Sprintf("team-%04d", i)
			}
			took := make([][]time.Duration, workers)
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
						took[w] = append(took[w], time.Since(begin))
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
			all := slices.Concat(took...)
			slices.Sort(all)
			if n := len(all); n > 0 {
				b.ReportMetric(float64(all[n/2]), "median-ns")
				b.ReportMetric(float64(all[n*99/100]), "p99-ns")
			}
		})
	}
}

// BenchmarkRefuse measures a refusal by estimate while 2,400 teams are queued.
func BenchmarkRefuse(b *testing.B) {
	f, v, m := syncManager(Config{})
	r := Request{Weight: 1, Tokens: 100, Targets: []string{"x"}}
	for i := range 2400 {
		r.Team = fmt.Sprintf("team-%04d", i)
		f.balance[r.Team] = 1e9
		for range 1 {
			if _, _, err := m.submit(r, false, nil); err != nil {
				b.Fatal(err)
			}
		}
	}
	for range 10 {
		v.advance(time.Second)
		f.addSlots("x", 1)
		m.round()
	}
	r.Team = "team-2000"
	r.Deadline = v.now().Add(time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := m.submit(r, false, nil); err == nil {
			b.Fatal("not refused")
		}
	}
}
