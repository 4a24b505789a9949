package targetconn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/httpclient"
)

// targetVariable is set in the process that is the target of the benchmark.
const targetVariable = "TARGETCONN_BENCHMARK_TARGET"

// TestBenchmarkTarget is the target of BenchmarkRequest, in a process of its own so that
// its processor time is not counted.
func TestBenchmarkTarget(t *testing.T) {
	if os.Getenv(targetVariable) == "" {
		t.Skip("started by BenchmarkRequest")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fmt.Printf("address %s\n", l.Addr())
	body := strings.Repeat("x", 500)
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		_ = l.Close()
	}()
	_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		_, _ = io.WriteString(w, body)
	}))
}

func startBenchmarkTarget(b *testing.B) string {
	cmd := exec.Command(os.Args[0], "-test.run", "^TestBenchmarkTarget$")
	cmd.Env = append(os.Environ(), targetVariable+"=1")
	in, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = in.Close(); _ = cmd.Wait() })
	var address string
	if _, err := fmt.Fscanf(out, "address %s\n", &address); err != nil {
		b.Fatal(err)
	}
	return address
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRequest reports the processor time of the sending side and the new
// connections for each request, with eight requests at a time.
func BenchmarkRequest(b *testing.B) {
	header := http.Header{"X-Request-Id": {"r-1"}, "X-Deadline-Ms": {"1000"}, "Content-Type": {"application/json"}, "User-Agent": {"bench"}, "X-Tenant": {"team"}}
	body := []byte(strings.Repeat("y", 500))
	var dials atomic.Int64
	dialer := &net.Dialer{Timeout: time.Second}
	newPool := func() *Pool {
		return newTestPool(func(c *Config) {
			c.Dial = dialer.DialContext
		})
	}
	send := func(p *Pool, reuse bool) func(*testing.B, string) {
		return func(b *testing.B, address string) {
			r := &Request{Method: "POST", Target: "/safe/x?y=z", Host: "h", Header: header, Body: body, IDHeader: "X-Request-Id", Reuse: reuse, MaxConns: 100}
			resp, err := p.RoundTrip(b.Context(), address, r, Trace{Sending: func(reused bool) {
				if !reused {
					dials.Add(1)
				}
			}})
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
	transport := httpclient.NewTransport(httpclient.Config{ConnectTimeout: time.Second, MaxHead: 16 << 10})
	for _, c := range []struct {
		name string
		send func(*testing.B, string)
	}{
		{"net_http_connection_for_each", func(b *testing.B, address string) {
			dials.Add(1)
			req, err := http.NewRequestWithContext(b.Context(), "POST", "http://"+address+"/safe/x?y=z", struct{ io.Reader }{strings.NewReader(string(body))})
			if err != nil {
				b.Error(err)
				return
			}
			req.ContentLength, req.Header = int64(len(body)), header.Clone()
			resp, err := transport.RoundTrip(req)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}},
		{"connection_for_each", send(newPool(), false)},
		{"kept", send(newPool(), true)},
	} {
		b.Run(c.name, func(b *testing.B) {
			address := startBenchmarkTarget(b)
			dials.Store(0)
			b.ReportAllocs()
			b.SetParallelism(4) // with GOMAXPROCS=2
			start := processorTime()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					c.send(b, address)
				}
			})
			b.StopTimer()
			b.ReportMetric(float64((processorTime()-start).Microseconds())/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(dials.Load())/float64(b.N), "conns/op")
		})
	}
}
