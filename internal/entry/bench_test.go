package entry_test

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

// BenchmarkSlowReaders measures the bytes buffered for 1,000 callers that do not
// read. The engine and the callers run in the same process, so heap-bytes
// includes their memory.
func BenchmarkSlowReaders(b *testing.B) {
	const readers = 1000
	for name, process := range map[string]int64{"process=16MiB": 16 << 20, "process=256MiB": 256 << 20} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				cluster := newTestCluster(b)
				var wrote atomic.Int64
				event := "data: {\"choices\":[{\"delta\":{\"content\":\"" + strings.Repeat("x", 2000) + "\"}}]}\n\n"
				cluster.startTarget("t1", "north", config.Engine, func(rw http.ResponseWriter, r *http.Request) {
					// 20 MB for each caller are more than the socket buffers on the way hold.
					for i := 0; i < 10000 && r.Context().Err() == nil; i++ {
						writeEvents(rw, event)
						wrote.Add(int64(len(event)))
					}
					<-r.Context().Done()
				})
				n := cluster.startInstance("n", "north", func(bo *settings.Bounds) {
					bo.ProcessBuffer, bo.TeamBuffer = process, process
					if process == 0 {
						bo.StreamBuffer = 0
					}
				})
				for range readers {
					n.dialAndSend(b, rawChatRequest())
				}
				for last := int64(-1); last != wrote.Load(); time.Sleep(2 * time.Second) {
					last = wrote.Load()
				}
				var m runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&m)
				b.ReportMetric(float64(n.memory.ReservedBytes()), "held-bytes")
				b.ReportMetric(float64(m.HeapInuse), "heap-bytes")
				b.ReportMetric(float64(n.gate.Running()), "streams")
			}
		})
	}
}

// BenchmarkRequest measures a complete, non-streamed completion from caller to
// engine on loopback: directly, through one instance, and over the hop.
func BenchmarkRequest(b *testing.B) {
	cluster := newTestCluster(b)
	target := cluster.startTarget("t1", "south", config.Engine, func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, completeResponse) })
	for _, c := range []struct{ name, url string }{
		{"direct", target.URL}, {"one instance", cluster.startInstance("s", "south").url}, {"over the hop", cluster.startInstance("n", "north").url},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				req, _ := http.NewRequest("POST", c.url+"/v1/chat/completions", strings.NewReader(chatBody(false)))
				if c.name != "direct" {
					req.Header.Set("Authorization", "Bearer "+apiKey)
				}
				resp, err := http.DefaultClient.Do(req)
				check(b, err)
				if body, _ := io.ReadAll(resp.Body); string(body) != completeResponse {
					b.Fatalf("%s", body)
				}
				_ = resp.Body.Close()
			}
		})
	}
}
