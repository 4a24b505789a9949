package instance

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	stopSoakDuration = 10 * time.Second
	soakGrace        = 8 * time.Second
	lossSlack        = 200 * time.Millisecond
	lateAfterStop    = 3 * time.Second // what is sent later has no claim to the whole grace period
	keptPerInstance  = 4               // of each of two processes of clients
	clientsOfBurst   = 120
	shortestIdle     = time.Second
	throttlePeriod   = 50 * time.Millisecond
	throttledRun     = 3 * time.Millisecond // time in each throttlePeriod that a throttled process runs
)

// stopSoak is a soak in which instances are stopped, reloaded and given configurations,
// and nothing fails.
type stopSoak struct {
	*soak
	stopMu  sync.Mutex // guards what follows
	clients []*clientProcess
	// stopping are the instances that are being stopped and started.
	stopping map[*instanceProcess]bool
	stops    map[string][]time.Time    // times of SIGTERM by address
	runs     map[string][][2]time.Time // begin and end of the runs at targets by request
	reloads  int
}

// clientProcess runs soakClients.
type clientProcess struct {
	cmd   *exec.Cmd
	stdin io.Closer
	out   bytes.Buffer
}

// TestSoakOfStops guards against requests that end without a complete answer because their
// instance is stopped, reloaded or given a configuration, also one short of processor
// time. Clients use kept connections until the process is gone.
func TestSoakOfStops(t *testing.T) {
	duration := stopSoakDuration
	if n, err := strconv.Atoi(os.Getenv(soakSecondsEnv)); err == nil {
		duration = time.Duration(n) * time.Second
	}
	for _, seed := range soakSeeds(ciSeeds[:1]) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			s := &stopSoak{stopping: map[*instanceProcess]bool{}, stops: map[string][]time.Time{}, runs: map[string][][2]time.Time{}}
			s.soak = newSoak(t, seed, func(inner *soak) {
				inner.onlyProgram, inner.minDescriptors, inner.deployment.graceSeconds = true, 10*clientsOfBurst, int(soakGrace/time.Second)
			})
			s.run(duration)
		})
	}
}

// work is the handler of the targets. It takes as long as the request says.
func (s *stopSoak) work(w http.ResponseWriter, r *http.Request) bool {
	ms, _ := strconv.Atoi(r.URL.Query().Get("work"))
	id, stream := r.Header.Get("X-Request-Id"), strings.HasPrefix(r.URL.Path, "/stream/")
	s.stopMu.Lock()
	n := len(s.runs[id])
	s.runs[id] = append(s.runs[id], [2]time.Time{time.Now()})
	s.stopMu.Unlock()
	if stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= eventsPerStream && r.Context().Err() == nil; i++ {
		select {
		case <-time.After(time.Duration(ms) * time.Millisecond / eventsPerStream):
		case <-r.Context().Done():
		}
		if stream {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
	}
	s.stopMu.Lock()
	defer s.stopMu.Unlock()
	s.runs[id][n][1] = time.Now()
	return stream
}

// publish publishes a configuration with other times and other services of the routes. No
// timeout is shorter than clientLimit.
func (s *stopSoak) publish() {
	s.stopMu.Lock()
	defer s.stopMu.Unlock()
	s.deployment.publishConfig(func(config map[string]any) {
		for _, route := range config["routes"].([]any) {
			route.(map[string]any)["timeout_ms"] = []int{9000, int(clientLimit.Milliseconds())}[s.intN(2)]
			route.(map[string]any)["service"] = []string{"orders", "parcels"}[s.intN(2)]
		}
		parcels := maps.Clone(config["services"].([]any)[0].(map[string]any))
		parcels["name"] = "parcels"
		config["services"] = append(config["services"].([]any), parcels)
		config["limits"].(map[string]any)["idle_timeout_ms"] = []int{15000, 4000, int(shortestIdle.Milliseconds())}[s.intN(3)]
	})
}

func (s *stopSoak) startClients(clients *soakClients) *clientProcess {
	parameters, _ := json.Marshal(clients)
	c := &clientProcess{cmd: exec.Command(os.Args[0])}
	c.cmd.Env = append(os.Environ(), soakClientEnv+"="+string(parameters), "GOMAXPROCS=1")
	c.cmd.Stdout, c.cmd.Stderr = &c.out, os.Stderr
	c.stdin, _ = c.cmd.StdinPipe()
	if err := c.cmd.Start(); err != nil {
		s.t.Error(err)
	}
	s.stopMu.Lock()
	defer s.stopMu.Unlock()
	s.clients = append(s.clients, c)
	return c
}

func (s *stopSoak) run(duration time.Duration) {
	for domain := range regionByDomain {
		target := newFakeTarget(s.t, "parcels-"+domain)
		s.targets = append(s.targets, &soakTarget{fakeTarget: target, domain: domain})
		s.deployment.store.put("servers/"+target.id, target.storeEntry("parcels", domain, "ready", 1))
	}
	for _, target := range s.targets {
		target.setHandler(s.work)
	}
	s.publish()
	var addresses []string
	for _, p := range s.processes {
		s.waitUntilServing(p)
		addresses = append(addresses, p.address)
	}
	for n := range 2 {
		s.startClients(&soakClients{Name: fmt.Sprint("kept", n), Seed: uint64(s.intN(1 << 30)), Addresses: addresses, Conns: keptPerInstance, MaxPause: shortestIdle * 4 / 5})
	}
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var wg sync.WaitGroup
	for i := range 5 + len(s.processes)/2 { // more than half are stopped at a time
		wg.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(time.Duration(s.intN(int(time.Second))))
				switch {
				case i == 0:
					s.reload()
				case i == 1:
					s.publish()
				case i <= 3:
					s.burst()
				default:
					s.restart()
				}
			}
		})
	}
	wg.Wait()
	for _, c := range s.clients {
		_ = c.stdin.Close()
	}
	s.report()
}

// pick returns an instance and whether it may be stopped: it is not the last of its failure
// domain. stopMu is held.
func (s *stopSoak) pick() (p *instanceProcess, mayStop bool) {
	p = s.processes[s.intN(len(s.processes))]
	for _, q := range s.processes {
		mayStop = mayStop || q != p && q.domain == p.domain && !s.stopping[q]
	}
	return p, mayStop && !s.stopping[p]
}

func (s *stopSoak) restart() {
	s.stopMu.Lock()
	p, mayStop := s.pick()
	if mayStop {
		s.stopping[p] = true
		s.stops[p.address] = append(s.stops[p.address], time.Now())
		p.signal(syscall.SIGTERM)
	}
	s.stopMu.Unlock()
	if !mayStop {
		return
	}
	for end := time.Now().Add(soakGrace); !p.exited() && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	p.kill()
	time.Sleep(time.Duration(s.intN(int(time.Second / 2))))
	p.start()
	eventually(s.t, "accepted by "+p.ip, func() bool {
		conn, err := net.DialTimeout("tcp", p.address, time.Second)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
	s.stopMu.Lock()
	defer s.stopMu.Unlock()
	delete(s.stopping, p)
}

// reload changes the seeds in the settings of an instance and sends SIGHUP, which would end
// a process that has just started.
func (s *stopSoak) reload() {
	s.stopMu.Lock()
	defer s.stopMu.Unlock()
	p, seed := s.processes[s.intN(len(s.processes))], s.processes[s.intN(len(s.processes))]
	if s.stopping[p] {
		return
	}
	text, err := os.ReadFile(p.path)
	if err != nil {
		s.t.Error(err)
	}
	text = regexp.MustCompile(`seeds = .*`).ReplaceAll(text, fmt.Appendf(nil, "seeds = [%q]", net.JoinHostPort(seed.ip, strconv.Itoa(s.deployment.port+3))))
	if err := os.WriteFile(p.path, text, 0o600); err != nil {
		s.t.Error(err)
	}
	p.signal(syscall.SIGHUP)
	s.reloads++
}

// burst lets many clients send to an instance, one that stops if there is any, while it has
// little processor time, as under a quota.
func (s *stopSoak) burst() {
	s.stopMu.Lock()
	p, _ := s.pick()
	for q := range s.stopping {
		p = q
	}
	s.stopMu.Unlock()
	n := s.bursts.Add(1)
	c := s.startClients(&soakClients{Name: fmt.Sprint("burst", n), Seed: uint64(n), Addresses: []string{p.address}, Conns: clientsOfBurst})
	for end := time.Now().Add(time.Second + time.Duration(s.intN(int(maxFaultDuration)))); time.Now().Before(end); {
		p.signal(syscall.SIGSTOP)
		time.Sleep(throttlePeriod - throttledRun)
		p.signal(syscall.SIGCONT)
		time.Sleep(throttledRun)
	}
	_ = c.stdin.Close()
}

// report fails the test for each request that was lost.
func (s *stopSoak) report() {
	statuses, verdicts, notWritten, stops := map[int]int{}, map[string]int{}, 0, 0
	var unanswered []unansweredRequest
	for _, c := range s.clients {
		err, out := c.cmd.Wait(), clientOutcome{}
		if err == nil {
			err = json.Unmarshal(c.out.Bytes(), &out)
		}
		if err != nil {
			s.t.Errorf("process of clients: %v", err)
		}
		notWritten += out.NotWritten
		for status, n := range out.Statuses {
			statuses[status] += n
		}
		unanswered = append(unanswered, out.Unanswered...)
	}
	s.stopMu.Lock()
	defer s.stopMu.Unlock()
	for _, r := range unanswered {
		verdict := s.verdict(r)
		if verdicts[verdict]++; strings.HasPrefix(verdict, "lost") {
			s.reportViolation(r.ID, verdict+": %+v, stops %v, runs %v", r, s.stops[r.Address], s.runs[r.ID])
		} else if verdict == "open" {
			s.t.Logf("open: %+v", r)
		}
	}
	for _, times := range s.stops {
		stops += len(times)
	}
	s.t.Logf("%d stops, %d reloads, %d versions, %d bursts; answers %v; not written %d; without an answer %v",
		stops, s.reloads, s.deployment.version/3, s.bursts.Load(), statuses, notWritten, verdicts)
}

// verdict says why a request has no answer. stopMu is held.
func (s *stopSoak) verdict(r unansweredRequest) string {
	runs, lost := s.runs[r.ID], "lost"
	for _, stop := range s.stops[r.Address] {
		if (r.Ended.Sub(stop) - soakGrace).Abs() < lossSlack {
			lost = "lost at the end of the grace period"
		}
		for _, run := range runs {
			late := stop.Add(soakGrace * 5 / 6)
			if !r.Sent.After(stop.Add(lateAfterStop)) && run[0].Before(stop.Add(soakGrace)) && run[1].After(late) && r.Ended.After(late) {
				return "at work until the end"
			}
		}
	}
	switch {
	case r.Ended.Sub(r.Sent) > clientLimit-kernelTick: // limits are in milliseconds
		return "time limit passed"
	case len(runs) == 0 && r.MaxGap <= lossSlack:
		return "crossed the close"
	case len(runs) == 0 && r.MinGap <= lossSlack:
		return "open"
	}
	return lost
}
