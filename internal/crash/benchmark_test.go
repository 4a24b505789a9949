package crash

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonhill/wigeonhill/internal/clock"
)

// BenchmarkBlocked measures what each request pays, without crashes and with full
// tables, and the memory that full tables take.
func BenchmarkBlocked(b *testing.B) {
	for name, crashes := range map[string]int{"quiet": 0, "full": maxCrashes} {
		b.Run(name, func(b *testing.B) {
			clk := &clock.Virtual{}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := newTracker(clk)
			for i := range crashes {
				var attempts [][]Suspect
				for j := range 8 {
					attempts = append(attempts, Suspects(Fingerprint{byte(i), byte(i >> 8), byte(j)}, []string{fmt.Sprint("system", i%40), fmt.Sprint(i, j), fmt.Sprint(i, j, "x")}))
				}
				loseTarget(s, fmt.Sprint(i), attempts...)
				clk.Advance(time.Second)
				if i < maxBlocks {
					s.issue([]Suspect{{Part: true, Fingerprint: Fingerprint{1, byte(i)}}}, 3)
				}
			}
			s.Outgoing()
			runtime.GC()
			runtime.ReadMemStats(&after)
			request := Suspects(Fingerprint{255}, []string{"system1", "mine"})
			b.ResetTimer()
			for b.Loop() {
				s.Blocked(request)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		})
	}
}

// BenchmarkCrashReports plays the reports of one crash between 330 instances, 16 of
// which had a request at the target, with three parts in each prompt.
func BenchmarkCrashReports(b *testing.B) {
	const instances, places = 330, 16
	clk := &clock.Virtual{}
	var trackers []*Tracker
	for range instances {
		trackers = append(trackers, newTracker(clk))
	}
	crashes, messages, bytes := 0, 0, 0
	for b.Loop() {
		crashes++
		clk.Advance(time.Second)
		attempts := make([]*Attempt, places)
		for i := range attempts {
			parts := []string{"system", fmt.Sprint("document", crashes%100), fmt.Sprint("session", crashes, i)}
			attempts[i], _ = trackers[(crashes+i*instances/places)%instances].Begin(fmt.Sprint("t", crashes), "pool", Suspects(Fingerprint{byte(i), byte(crashes), byte(crashes >> 8)}, parts), true)
		}
		for _, a := range attempts {
			a.t.RecordLoss(a)
			a.End()
		}
		for _, from := range trackers {
			for news := from.Outgoing(); news != nil; news = from.Outgoing() {
				for _, to := range trackers {
					if to != from {
						reply := to.Merge(news)
						messages++
						bytes += proto.Size(news) + proto.Size(reply)
						from.Merge(reply)
					}
				}
				from.Decide()
			}
		}
	}
	b.ReportMetric(float64(messages)/float64(crashes), "messages/crash")
	b.ReportMetric(float64(bytes)/float64(crashes)/instances, "B/crash/instance")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(crashes)/instances, "us/crash/instance")
}
