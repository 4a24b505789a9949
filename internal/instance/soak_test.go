package instance

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// Environment variables of the soak test: the settings file of an instance that
// the test binary is to run, the seeds ("1-50"; empty for ciSeeds), and the
// duration in seconds.
const (
	soakInstanceEnv  = "WIGEONHILL_SOAK_INSTANCE"
	soakSeedsEnv     = "WIGEONHILL_SOAK_SEEDS"
	soakSecondsEnv   = "WIGEONHILL_SOAK_SECONDS"
	soakPerDomainEnv = "WIGEONHILL_SOAK_PER_DOMAIN" // instances per failure domain
)

// ciSeeds run in CI. Seeds that ever failed are added here with their cause.
var ciSeeds = []uint64{1, 2}

const (
	defaultSoakDuration = 5 * time.Second
	meanFaultInterval   = 250 * time.Millisecond
	maxFaultDuration    = 3 * time.Second
	soakCallers         = 12
	burstCallers        = 40
	burstPause          = 50 * time.Millisecond // between two requests of a caller of a burst
	eventsPerStream     = 5
	soakTimeout         = 3 * time.Second
	boundRegion         = "east" // the only region that the route "bound" allows
	boundDomain         = "a"
	defaultPerDomain    = 3 // one instance of each capacity
)

// TestMain runs an instance instead of the tests if soakInstanceEnv is set, so
// that each instance of a soak test is a process of its own.
func TestMain(m *testing.M) {
	if parameters := os.Getenv(soakClientEnv); parameters != "" {
		if err := runSoakClients(parameters); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	path := os.Getenv(soakInstanceEnv)
	if path == "" {
		code := m.Run()
		if programDir != "" {
			_ = os.RemoveAll(programDir)
		}
		os.Exit(code)
	}
	log, lines, err := event.BuildAsync(os.Stdout, "info")
	if err == nil {
		var i *Instance
		if i, err = New(path, log, lines); err == nil {
			stop := make(chan os.Signal, 1)
			reloads := make(chan os.Signal, 1)
			signal.Notify(stop, syscall.SIGTERM)
			signal.Notify(reloads, syscall.SIGHUP)
			ctx, cancel := context.WithCancel(context.Background())
			go func() { <-stop; cancel() }()
			err = i.Run(ctx, reloads)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// TestSoak runs instances as processes, with proxies in front of the store and
// the targets, injects random faults into all of them, and checks what callers and
// targets see. The instances are of unequal capacity. Among the faults are bursts of
// callers and crowds of clients outside the limits at one instance.
//   - a request that must run at most once does so;
//   - a request that was refused as not run has not run and does not run later;
//   - a success is the complete response of a target that ran this very request;
//   - a stream has every event once and in order;
//   - a response that a target broke off does not look complete, whatever its framing;
//   - the team is that of the API key, the key reaches no target, and a request that
//     is restricted to a region runs nowhere else;
//   - once the faults have ended, every instance serves again;
//   - the memory and the descriptors of a process stay within its settings.
func TestSoak(t *testing.T) {
	seeds, duration := soakSeeds(ciSeeds), defaultSoakDuration
	if s, err := strconv.Atoi(os.Getenv(soakSecondsEnv)); err == nil {
		duration = time.Duration(s) * time.Second
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { newSoak(t, seed).run(duration) })
	}
}

// soakSeeds returns the seeds to run; inCI if none are given.
func soakSeeds(inCI []uint64) (seeds []uint64) {
	from, to, ok := strings.Cut(os.Getenv(soakSeedsEnv), "-")
	if !ok {
		return inCI
	}
	lo, _ := strconv.ParseUint(from, 10, 64)
	for hi, _ := strconv.ParseUint(to, 10, 64); lo <= hi; lo++ {
		seeds = append(seeds, lo)
	}
	return seeds
}

// soak is one run of the soak test.
type soak struct {
	t          *testing.T
	deployment *testDeployment
	dir        string
	targets    []*soakTarget
	storeProxy *proxy
	processes  []*instanceProcess
	// onlyProgram is set if all processes run the program, each on one core.
	onlyProgram bool
	// minDescriptors is what a process has at least, for bursts below the bound of its
	// connections.
	minDescriptors int
	mu             sync.Mutex // guards rng and responses
	rng            *rand.Rand
	responses      []soakResponse
	// bursts and crowds count those that were started.
	bursts, crowds atomic.Int32
}

// soakResponse is the response to one request, as the caller received it.
type soakResponse struct {
	id, kind string
	callerResponse
}

// newSoak starts the processes of a soak. change modifies it first.
func newSoak(t *testing.T, seed uint64, change ...func(*soak)) *soak {
	s := &soak{t: t, deployment: newTestDeployment(t), dir: t.TempDir(), rng: rand.New(rand.NewPCG(seed, 7))}
	for _, f := range change {
		f(s)
	}
	s.storeProxy = newProxy(t, s.deployment.store.Listener.Addr().String())
	s.deployment.storeProxyAddress = s.storeProxy.Addr().String()
	for domain := range regionByDomain {
		for n := range 2 {
			target := &soakTarget{fakeTarget: newFakeTarget(t, fmt.Sprint("t-", domain, n)), domain: domain}
			target.proxy = newProxy(t, target.address())
			target.setHandler(s.handle)
			s.targets = append(s.targets, target)
			s.listTarget(target, "ready")
		}
	}
	s.publishConfig()
	perDomain := defaultPerDomain
	if n, err := strconv.Atoi(os.Getenv(soakPerDomainEnv)); err == nil {
		perDomain = n
	}
	for n := range perDomain {
		capacity := soakCapacities[n%len(soakCapacities)]
		s.deployment.cpuShare, s.deployment.memoryMB, s.deployment.maxDescriptors = capacity.cpuShare, capacity.memoryMB, max(capacity.maxDescriptors, s.minDescriptors)
		for domain := range regionByDomain {
			path, ip := s.deployment.writeSettings(domain)
			p := &instanceProcess{s: s, path: path, ip: ip, domain: domain, address: net.JoinHostPort(ip, strconv.Itoa(s.deployment.port)), capacity: capacity}
			p.start()
			s.processes = append(s.processes, p)
		}
	}
	t.Cleanup(func() {
		for _, p := range s.processes {
			p.kill()
		}
	})
	return s
}

// publishConfig publishes a new version of the configuration, with the route
// "bound" added.
func (s *soak) publishConfig() {
	s.deployment.publishConfig(func(config map[string]any) {
		routes := config["routes"].([]any)
		bound := map[string]any{}
		for k, v := range routes[0].(map[string]any) {
			bound[k] = v
		}
		bound["name"], bound["prefix"], bound["home_regions"] = "bound", "/bound/", []string{boundRegion}
		config["routes"] = append(routes, bound)
	})
}

func (s *soak) listTarget(target *soakTarget, state string) {
	entry := target.storeEntry("orders", target.domain, state, int(target.sequence.Add(1)))
	entry["address"] = target.proxy.Addr().String()
	s.deployment.store.put("servers/"+target.id, entry)
}

func (s *soak) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *soak) run(duration time.Duration) {
	for _, p := range s.processes {
		s.waitUntilServing(p)
	}
	usageCtx, stopUsage := context.WithCancel(context.Background())
	defer stopUsage()
	var usage sync.WaitGroup
	for _, p := range s.processes {
		usage.Go(func() { p.recordUsage(usageCtx) })
	}
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var wg sync.WaitGroup
	for range soakCallers {
		wg.Go(func() { s.runCaller(ctx, func() *instanceProcess { return s.processes[s.intN(len(s.processes))] }, 0) })
	}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(s.intN(int(2 * meanFaultInterval))))
		wg.Go(s.injectFault)
	}
	wg.Wait()
	for _, p := range s.processes {
		s.waitUntilServing(p)
	}
	stopUsage()
	usage.Wait()
	for _, p := range s.processes {
		p.verifyUsage()
	}
	s.verify()
}

// waitUntilServing waits until a request to p succeeds.
func (s *soak) waitUntilServing(p *instanceProcess) {
	served := false
	defer func() {
		if !served {
			s.t.Logf("exited: %v, end of the log of %s:\n%s", p.exited(), p.ip, p.logTail())
		}
	}()
	eventually(s.t, "served by "+p.ip, func() bool {
		response := s.send(&http.Client{Transport: callerTransport}, p.address, "safe")
		return response.status == http.StatusOK
	})
	served = true
}

// runCaller sends requests to the instances that pick returns until ctx is done, with
// a pause after each. It reuses connections until they are closed.
func (s *soak) runCaller(ctx context.Context, pick func() *instanceProcess, pause time.Duration) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	kinds := []string{"safe", "unsafe", "stream", "bound"}
	for ; ctx.Err() == nil; time.Sleep(pause) {
		s.send(&http.Client{Transport: transport, Timeout: 2 * soakTimeout}, pick().address, kinds[s.intN(len(kinds))])
	}
}

// runBurst lets many callers send requests to p for a while.
func (s *soak) runBurst(p *instanceProcess, duration time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var wg sync.WaitGroup
	for range burstCallers {
		wg.Go(func() { s.runCaller(ctx, func() *instanceProcess { return p }, burstPause) })
	}
	wg.Wait()
}

// runCrowd connects clients of a random kind outside the limits to a port of p for a
// while.
func (s *soak) runCrowd(p *instanceProcess, duration time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	port := s.deployment.port
	kinds := append(standin.BodyClients(crowdHead, crowdMaxBody), standin.HeadClients(crowdHead)...)
	if s.intN(3) == 0 { // readiness, directory or instances
		port, kinds = port+1+s.intN(3), standin.HeadClients("GET / HTTP/1.1\r\nHost: shop.example\r\n")
	}
	client := kinds[s.intN(len(kinds))]
	standin.Crowd(ctx, net.JoinHostPort(p.ip, strconv.Itoa(port)), crowdCount(client), client)
}

// send sends a request and records the response.
func (s *soak) send(client *http.Client, address, kind string) soakResponse {
	response := soakResponse{id: fmt.Sprint("soak-", requestCount.Add(1)), kind: kind}
	req, err := http.NewRequest("POST", "http://"+address+"/"+kind+"/"+response.id, io.NopCloser(strings.NewReader(response.id)))
	if err != nil {
		s.t.Error(err)
		return response
	}
	req.Host = "shop.example"
	for name, value := range map[string]string{
		"X-Request-Id": response.id, "X-Deadline-Ms": strconv.FormatInt(soakTimeout.Milliseconds(), 10), "Api-Key": "key-of-the-hotel", "X-Tenant": "another",
	} {
		req.Header.Set(name, value)
	}
	if res, err := client.Do(req); err != nil {
		response.err = err
	} else {
		var body []byte
		body, response.err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		response.status, response.header, response.body = res.StatusCode, res.Header, string(body)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responses = append(s.responses, response)
	return response
}

// injectFault starts one fault and ends it. Faults overlap, also on one
// process.
func (s *soak) injectFault() {
	duration := time.Duration(s.intN(int(maxFaultDuration)))
	target, p := s.targets[s.intN(len(s.targets))], s.processes[s.intN(len(s.processes))]
	switch s.intN(12) {
	case 0:
		p.kill()
		time.Sleep(duration / 4)
		p.start()
	case 1:
		p.signal(syscall.SIGTERM)
		p.wait()
		p.start()
	case 2:
		p.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		p.signal(syscall.SIGCONT)
	case 3:
		p.signal(syscall.SIGHUP)
	case 4:
		s.mu.Lock()
		s.publishConfig()
		s.mu.Unlock()
	case 5:
		s.storeProxy.setFault(networkFault(1 + s.intN(int(faultKinds)-1)))
		time.Sleep(duration)
		s.storeProxy.setFault(noFault)
	case 6:
		s.deployment.store.refuse.Store(true)
		time.Sleep(duration)
		s.deployment.store.refuse.Store(false)
	case 7:
		s.listTarget(target, "draining")
		time.Sleep(duration)
		s.listTarget(target, "ready")
	case 8:
		s.bursts.Add(1)
		s.runBurst(p, duration)
	case 9:
		s.crowds.Add(1)
		s.runCrowd(p, duration)
	default:
		target.proxy.setFault(networkFault(1 + s.intN(int(faultKinds)-1)))
		time.Sleep(duration)
		target.proxy.setFault(noFault)
	}
}

// verify compares the responses that callers received with the requests that
// targets ran.
func (s *soak) verify() {
	runs := map[string]int{}
	for _, target := range s.targets {
		target.mu.Lock()
		for i, id := range target.requestIDs {
			runs[id]++
			header := target.headers[i]
			if header.Get("X-Tenant") != "hotel" || header.Get("Api-Key") != "" {
				s.reportViolation(id, "reached %s with team %q and key %q", target.id, header.Get("X-Tenant"), header.Get("Api-Key"))
			}
			if strings.HasPrefix(target.paths[i], "/bound/") && target.domain != boundDomain {
				s.reportViolation(id, "restricted to %s, ran in failure domain %s", boundRegion, target.domain)
			}
		}
		target.mu.Unlock()
	}
	served := map[string]int{}
	for _, response := range s.responses {
		if response.kind == "unsafe" && runs[response.id] > 1 {
			s.reportViolation(response.id, "ran %d times", runs[response.id])
		}
		switch response.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if runs[response.id] > 0 && !response.retryable() {
				s.reportViolation(response.id, "response %d, but it ran", response.status)
			}
		case http.StatusOK:
			if response.err == nil {
				served[response.kind]++
				s.verifySuccess(response, runs[response.id])
			}
		}
	}
	s.t.Logf("%d requests, served %v, %d bursts, %d crowds", len(s.responses), served, s.bursts.Load(), s.crowds.Load())
}

// reportViolation fails the test and prints what the instances logged about the
// request.
func (s *soak) reportViolation(id, format string, args ...any) {
	s.t.Errorf("%s: %s", id, fmt.Sprintf(format, args...))
	for _, p := range s.processes {
		text, err := os.ReadFile(filepath.Join(s.dir, p.ip+".log"))
		if err != nil {
			s.t.Error(err)
		}
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, `"`+id+`"`) {
				s.t.Logf("%s: %s", p.ip, line)
			}
		}
	}
}

func (r *soakResponse) retryable() bool { return r.kind != "unsafe" }

func (s *soak) verifySuccess(response soakResponse, runs int) {
	targetID := strings.TrimPrefix(response.header.Get("X-Response-Signature"), "signed-by-")
	want := fmt.Sprintf("%s /%s/%s %s", targetID, response.kind, response.id, response.id)
	if response.kind == "stream" {
		want = ""
		for i := 1; i <= eventsPerStream; i++ {
			want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		}
	}
	if targetID == "" || runs == 0 || response.body != want || response.header.Get("X-Request-Id") != response.id {
		s.reportViolation(response.id, "%s: ran %d times, header %v, body %q, want %q", response.kind, runs, response.header, response.body, want)
	}
}
