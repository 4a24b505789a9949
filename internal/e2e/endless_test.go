package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/fleet"
	"github.com/wigeonhill/wigeonhill/internal/load"
	"github.com/wigeonhill/wigeonhill/internal/standin"
)

const (
	// maxMemoryGrowth is how much more memory an instance may take beside engines
	// that send without end, in bytes.
	maxMemoryGrowth = 32 << 20
	// endlessTimeout is how long callers wait for a response of such an engine.
	endlessTimeout = 1500 * time.Millisecond
	// endlessCallers is the number of requests that run at once at them.
	endlessCallers = 48
)

// endlessEngines takes the place of the engines of a fleet and responds to all
// calls without end.
type endlessEngines struct {
	kind  atomic.Int64
	mu    sync.Mutex
	ended map[string]int // by path: responses that the instances ended
}

func (e *endlessEngines) serve(conn net.Conn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = standin.EndlessResponses("")[e.kind.Load()].WriteTo(conn)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended[r.URL.Path]++
}

func (e *endlessEngines) endedCalls(path string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended[path]
}

// replaceEngines kills all engines and listens at their addresses.
func (h *harness) replaceEngines() *endlessEngines {
	engines := &endlessEngines{ended: map[string]int{}}
	for _, p := range h.Engines {
		p.Kill()
		l, err := net.Listen("tcp", p.Address)
		h.must(err)
		h.t.Cleanup(func() { _ = l.Close() })
		go standin.ServeConns(l, engines.serve)
	}
	return engines
}

// Engines respond without end to load polls, polls for cache events and requests,
// directly and behind a hop: the memory of no instance grows, and the other targets
// are used as before.
func TestResponsesWithoutEndDoNotFillMemory(t *testing.T) {
	h := start(t, func(s *fleet.Spec) {
		s.Regions, s.InstancesPerRegion, s.VotersPerRegion, s.EnginesPerRegion, s.EngineCapacity = s.Regions[:2], 1, 1, 24, 2
		s.Teams = s.Teams[:1]
		s.Teams[0].Rate, s.Teams[0].Burst = 100_000, 900_000
		s.Teams[0].Regions = nil
	})
	sendAll := func() {
		var callers sync.WaitGroup
		for n := range endlessCallers {
			callers.Go(func() {
				body := fmt.Sprintf(`{"model":%q,"max_tokens":8,"stream":%v,"messages":[{"role":"user","content":"request %d"}]}`, load.CareModel, n%2 == 0, n)
				h.sendWithin(endlessTimeout, h.Instances[n/2%2], h.Teams[0].Key, "POST", "/v1/chat/completions", body)
			})
		}
		callers.Wait()
	}
	sendAll()
	baseline := map[string]int64{}
	for _, in := range h.Instances {
		peak, err := fleet.PeakRSS(in.PID())
		h.must(err)
		baseline[in.Name] = peak
	}
	engines := h.replaceEngines()
	var failed, served atomic.Int64
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			if status, _ := h.send(h.Instances[0], h.Teams[0].Key, "GET", load.StockPath+"oil", ""); status == http.StatusOK {
				served.Add(1)
			} else {
				failed.Add(1)
			}
		}
	}()
	for kind, response := range standin.EndlessResponses("") {
		engines.kind.Store(int64(kind))
		polls := engines.endedCalls("/load")
		sendAll()
		h.eventually(startTimeout, "load polls of a "+response.Name, func() bool { return engines.endedCalls("/load") >= polls+len(h.Engines) })
		for _, in := range h.Instances {
			peak, err := fleet.PeakRSS(in.PID())
			h.must(err)
			t.Logf("%s: memory of %s grew from %d to at most %d KB", response.Name, in.Name, baseline[in.Name]>>10, peak>>10)
			if peak-baseline[in.Name] > maxMemoryGrowth {
				t.Errorf("%s: memory of %s grew from %d to %d MB", response.Name, in.Name, baseline[in.Name]>>20, peak>>20)
			}
			h.must(fleet.ResetPeakRSS(in.PID()))
		}
	}
	close(stop)
	<-stopped
	if failed.Load() > 0 || served.Load() == 0 {
		t.Errorf("%d requests to the plain service failed, %d were served", failed.Load(), served.Load())
	}
	for _, path := range []string{"/load", "/cache-events", "/v1/chat/completions"} {
		n := engines.endedCalls(path)
		if t.Logf("%s: %d responses ended", path, n); n == 0 {
			t.Errorf("no call of %s was played", path)
		}
	}
}
