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
)

// Environment of the soak: the settings of an instance that the test binary is to
// run, the seeds ("1-50", empty for those of CI), and the length in seconds.
const (
	soakInstance = "WIGEONHILL_SOAK_INSTANCE"
	soakSeeds    = "WIGEONHILL_SOAK_SEEDS"
	soakSeconds  = "WIGEONHILL_SOAK_SECONDS"
	soakPer      = "WIGEONHILL_SOAK_PER_DOMAIN" // instances in each failure domain
)

// ciSeeds run in CI; seeds that ever failed are added here with their cause.
var ciSeeds = []uint64{1, 2}

const (
	soakLength   = 5 * time.Second
	faultPause   = 250 * time.Millisecond // mean pause between two faults
	longestFault = 3 * time.Second
	soakClients  = 12
	soakEvents   = 5
	soakPatience = 3 * time.Second
	homesOfBound = "east" // where requests of the route "bound" may run
	zoneOfBound  = "a"
	perDomain    = 2
)

// TestMain runs an instance instead of the tests if the soak says so, so that the
// instances of a soak are processes.
func TestMain(m *testing.M) {
	path := os.Getenv(soakInstance)
	if path == "" {
		os.Exit(m.Run())
	}
	log, lines, err := event.BuildAsync(os.Stdout, "info")
	if err == nil {
		var i *Instance
		if i, err = New(path, log, lines); err == nil {
			stop := make(chan os.Signal, 1)
			hangups := make(chan os.Signal, 1)
			signal.Notify(stop, syscall.SIGTERM)
			signal.Notify(hangups, syscall.SIGHUP)
			ctx, cancel := context.WithCancel(context.Background())
			go func() { <-stop; cancel() }()
			err = i.Run(ctx, hangups)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// TestSoak runs instances as processes behind proxies, disturbs all of them at
// random, and checks what callers and targets see:
//   - a request that must run once runs at most once;
//   - a refusal that says "not run" is true, also later;
//   - a success is the whole answer of a target that ran this very request;
//   - a stream has every event once and in order;
//   - the team is that of the key, the key reaches no target, and a request that
//     is bound to a region runs nowhere else;
//   - once the faults are over, every instance serves again.
func TestSoak(t *testing.T) {
	seeds, length := ciSeeds, soakLength
	if from, to, ok := strings.Cut(os.Getenv(soakSeeds), "-"); ok {
		seeds = nil
		lo, _ := strconv.ParseUint(from, 10, 64)
		for hi, _ := strconv.ParseUint(to, 10, 64); lo <= hi; lo++ {
			seeds = append(seeds, lo)
		}
	}
	if s, err := strconv.Atoi(os.Getenv(soakSeconds)); err == nil {
		length = time.Duration(s) * time.Second
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { newSoak(t, seed).run(length) })
	}
}

// soak is one run.
type soak struct {
	t       *testing.T
	w       *world
	dir     string
	targets []*soakTarget
	store   *proxy
	procs   []*proc
	mu      sync.Mutex // guards rng and answers
	rng     *rand.Rand
	answers []soakAnswer
}

// soakTarget is a target behind a proxy.
type soakTarget struct {
	*target
	zone  string
	front *proxy
	seq   atomic.Int64
}

// soakAnswer is what a caller got.
type soakAnswer struct {
	id, kind string
	reply
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{t: t, w: newWorld(t), dir: t.TempDir(), rng: rand.New(rand.NewPCG(seed, 7))}
	s.store = newProxy(t, s.w.store.Listener.Addr().String())
	s.w.behind = s.store.Addr().String()
	for zone := range zones {
		for n := range 2 {
			x := &soakTarget{target: newTarget(t, fmt.Sprint("t-", zone, n)), zone: zone}
			x.front = newProxy(t, x.address())
			x.set(s.handle)
			s.targets = append(s.targets, x)
			s.list(x, "ready")
		}
	}
	s.publish()
	per := perDomain
	if n, err := strconv.Atoi(os.Getenv(soakPer)); err == nil {
		per = n
	}
	for range per {
		for zone := range zones {
			path, ip := s.w.settings(zone)
			p := &proc{s: s, path: path, ip: ip, address: net.JoinHostPort(ip, strconv.Itoa(s.w.port))}
			p.start()
			s.procs = append(s.procs, p)
		}
	}
	t.Cleanup(func() {
		for _, p := range s.procs {
			p.kill()
		}
	})
	return s
}

// publish writes a new version of the configuration.
func (s *soak) publish() {
	s.w.operator(func(c map[string]any) {
		routes := c["routes"].([]any)
		bound := map[string]any{}
		for k, v := range routes[0].(map[string]any) {
			bound[k] = v
		}
		bound["name"], bound["prefix"], bound["home_regions"] = "bound", "/bound/", []string{homesOfBound}
		c["routes"] = append(routes, bound)
	})
}

func (s *soak) list(x *soakTarget, state string) {
	e := x.entry("orders", x.zone, state, int(x.seq.Add(1)))
	e["address"] = x.front.Addr().String()
	s.w.store.put("servers/"+x.id, e)
}

// handle answers at a target: with events on the stream's path, and now and then
// after a pause.
func (s *soak) handle(w http.ResponseWriter, r *http.Request) bool {
	time.Sleep(time.Duration(s.intN(30)) * time.Millisecond)
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		return events(soakEvents, soakEvents)(w, r)
	}
	return false
}

func (s *soak) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *soak) run(length time.Duration) {
	for _, p := range s.procs {
		s.serves(p)
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var work sync.WaitGroup
	for range soakClients {
		work.Go(func() { s.client(ctx) })
	}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(s.intN(int(2 * faultPause))))
		work.Go(s.fault)
	}
	work.Wait()
	for _, p := range s.procs {
		s.serves(p)
	}
	s.check()
}

// serves waits until an instance serves.
func (s *soak) serves(p *proc) {
	eventually(s.t, "served by "+p.ip, func() bool {
		a := s.ask(&http.Client{Transport: callerTransport}, p.address, "safe")
		return a.status == http.StatusOK
	})
}

// client keeps its connections over many requests, until they are closed.
func (s *soak) client(ctx context.Context) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	kinds := []string{"safe", "unsafe", "stream", "bound"}
	for ctx.Err() == nil {
		p := s.procs[s.intN(len(s.procs))]
		s.ask(&http.Client{Transport: transport, Timeout: 2 * soakPatience}, p.address, kinds[s.intN(len(kinds))])
	}
}

// ask sends a request and keeps the answer.
func (s *soak) ask(c *http.Client, address, kind string) soakAnswer {
	a := soakAnswer{id: fmt.Sprint("soak-", requests.Add(1)), kind: kind}
	req, err := http.NewRequest("POST", "http://"+address+"/"+kind+"/"+a.id, io.NopCloser(strings.NewReader(a.id)))
	if err != nil {
		s.t.Error(err)
		return a
	}
	req.Host = "shop.example"
	for name, value := range map[string]string{
		"X-Request-Id": a.id, "X-Deadline-Ms": strconv.FormatInt(soakPatience.Milliseconds(), 10), "Api-Key": "key-of-the-hotel", "X-Tenant": "another",
	} {
		req.Header.Set(name, value)
	}
	if res, err := c.Do(req); err != nil {
		a.err = err
	} else {
		var body []byte
		body, a.err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		a.status, a.header, a.body = res.StatusCode, res.Header, string(body)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, a)
	return a
}

// fault causes one fault and ends it. Faults overlap, also on one process.
func (s *soak) fault() {
	lasts := time.Duration(s.intN(int(longestFault)))
	x, p := s.targets[s.intN(len(s.targets))], s.procs[s.intN(len(s.procs))]
	switch s.intN(10) {
	case 0:
		p.kill()
		time.Sleep(lasts / 4)
		p.start()
	case 1:
		p.signal(syscall.SIGTERM)
		p.wait()
		p.start()
	case 2:
		p.signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		p.signal(syscall.SIGCONT)
	case 3:
		p.signal(syscall.SIGHUP)
	case 4:
		s.mu.Lock()
		s.publish()
		s.mu.Unlock()
	case 5:
		s.store.set(trouble(1 + s.intN(int(troubles)-1)))
		time.Sleep(lasts)
		s.store.set(none)
	case 6:
		s.w.store.refuse.Store(true)
		time.Sleep(lasts)
		s.w.store.refuse.Store(false)
	case 7:
		s.list(x, "draining")
		time.Sleep(lasts)
		s.list(x, "ready")
	default:
		x.front.set(trouble(1 + s.intN(int(troubles)-1)))
		time.Sleep(lasts)
		x.front.set(none)
	}
}

// check compares what callers got with what targets ran.
func (s *soak) check() {
	ran := map[string]int{}
	for _, x := range s.targets {
		x.mu.Lock()
		for i, id := range x.runs {
			ran[id]++
			h := x.seen[i]
			if h.Get("X-Tenant") != "hotel" || h.Get("Api-Key") != "" {
				s.fail(id, "reached %s with team %q and key %q", x.id, h.Get("X-Tenant"), h.Get("Api-Key"))
			}
			if strings.HasPrefix(x.paths[i], "/bound/") && x.zone != zoneOfBound {
				s.fail(id, "bound to %s, ran in failure domain %s", homesOfBound, x.zone)
			}
		}
		x.mu.Unlock()
	}
	served := map[string]int{}
	for _, a := range s.answers {
		if a.kind == "unsafe" && ran[a.id] > 1 {
			s.fail(a.id, "ran %d times", ran[a.id])
		}
		switch a.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if ran[a.id] > 0 && !a.repeatable() {
				s.fail(a.id, "answered %d and ran", a.status)
			}
		case http.StatusOK:
			if a.err == nil {
				served[a.kind]++
				s.checkSuccess(a, ran[a.id])
			}
		}
	}
	s.t.Logf("%d requests, served %v", len(s.answers), served)
}

// fail reports a broken promise with what the instances logged about the request.
func (s *soak) fail(id, format string, args ...any) {
	s.t.Errorf("%s: %s", id, fmt.Sprintf(format, args...))
	for _, p := range s.procs {
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

func (a *soakAnswer) repeatable() bool { return a.kind != "unsafe" }

func (s *soak) checkSuccess(a soakAnswer, ran int) {
	signer := strings.TrimPrefix(a.header.Get("X-Response-Signature"), "signed-by-")
	want := fmt.Sprintf("%s /%s/%s %s", signer, a.kind, a.id, a.id)
	if a.kind == "stream" {
		want = ""
		for i := 1; i <= soakEvents; i++ {
			want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		}
	}
	if signer == "" || ran == 0 || a.body != want || a.header.Get("X-Request-Id") != a.id {
		s.fail(a.id, "%s: ran %d times, header %v, body %q, want %q", a.kind, ran, a.header, a.body, want)
	}
}
