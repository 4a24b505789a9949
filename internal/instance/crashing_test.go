package instance

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/crash"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// crashingTarget is a target that ends when it begins to answer a request with one
// of the poisoned parts in its prompt, and starts again under another id.
type crashingTarget struct {
	d        *testDeployment
	name     string
	domain   string
	address  string
	poisoned []string
	stats    *crashStats

	mu       sync.Mutex
	lifetime int
	target   *fakeTarget // of the current lifetime
	server   *http.Server
	conns    *connSet
	down     bool // between a crash and the next start
	stopped  bool
}

// connSet holds the open connections of one lifetime of a target.
type connSet struct {
	mu   sync.Mutex
	open map[net.Conn]bool
}

func (s *connSet) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[conn] = state != http.StateClosed && state != http.StateHijacked
}

// reset resets all connections.
func (s *connSet) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, open := range s.open {
		if tcp, ok := conn.(*net.TCPConn); ok && open {
			_ = tcp.SetLinger(0)
			_ = conn.Close()
		}
	}
}

// crashStats counts what all crashing targets of a test have seen.
type crashStats struct {
	crashes atomic.Int64
	// arrivals counts the requests with a poisoned part.
	arrivals atomic.Int64
}

const (
	// restartDelay is how long a crashed target is down.
	restartDelay = 300 * time.Millisecond
	// contactTime is the bound of the platform for what instances learn of each
	// other.
	contactTime = 5 * time.Second
)

func (d *testDeployment) startCrashingTarget(name, domain string, stats *crashStats, poisoned ...string) *crashingTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	c := &crashingTarget{d: d, name: name, domain: domain, address: l.Addr().String(), poisoned: poisoned, stats: stats}
	d.t.Cleanup(func() {
		c.mu.Lock()
		c.stopped = true
		server := c.server
		c.mu.Unlock()
		_ = server.Close()
	})
	c.start(l)
	return c
}

func (c *crashingTarget) start(l net.Listener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lifetime++
	c.down = false
	c.target = &fakeTarget{id: fmt.Sprintf("%s.%d", c.name, c.lifetime)}
	c.target.handler = c.handle
	c.conns = &connSet{open: map[net.Conn]bool{}}
	c.server = &http.Server{Handler: c.target, ConnState: c.conns.track}
	server := c.server
	go func() { _ = server.Serve(l) }()
	c.d.store.put("servers/"+c.target.id, storeEntryAt(c.address, "orders", c.domain, "ready", 1))
}

// crash ends the target with the given id like a process that was killed.
func (c *crashingTarget) crash(id string) {
	c.mu.Lock()
	server, conns := c.server, c.conns
	current := !c.stopped && c.target.id == id && !c.down
	c.down = true
	c.mu.Unlock()
	if !current {
		return // another request has crashed it already
	}
	c.stats.crashes.Add(1)
	_ = server.Close()
	conns.reset()
	time.AfterFunc(restartDelay, func() {
		c.d.store.remove("servers/" + id)
		for !c.isStopped() {
			if l, err := net.Listen("tcp", c.address); err == nil {
				c.start(l)
				return
			}
			time.Sleep(restartDelay)
		}
	})
}

func (c *crashingTarget) isStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped
}

func (c *crashingTarget) handle(w http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get("X-Expect-Instance")
	parts := strings.Split(r.Header.Get("X-Prompt-Prefix"), ",")
	for _, p := range parts[:len(parts)-1] {
		part, _, _ := strings.Cut(p, ":")
		if slices.Contains(c.poisoned, part) {
			c.stats.arrivals.Add(1)
			time.Sleep(5 * time.Millisecond)
			_, _ = fmt.Fprint(w, "id: 1\nda")
			_ = http.NewResponseController(w).Flush()
			c.crash(id)
			panic(http.ErrAbortHandler)
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= 4; i++ {
		time.Sleep(10 * time.Millisecond)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil {
			return true
		}
		_ = http.NewResponseController(w).Flush()
	}
	return true
}

// promptCaller sends requests whose prompts share all parts but the last.
type promptCaller struct {
	instances []*testInstance
	sent      atomic.Int64
	begun     atomic.Int64
}

func (p *promptCaller) send(parts ...string) {
	inst := p.instances[rand.IntN(len(p.instances))]
	p.sent.Add(1)
	own := fmt.Sprintf("own%d", requestCount.Add(1))
	got := sendRequest("POST", inst.url("/stream/ask?"+own), func(h http.Header) {
		h.Set("X-Prompt-Prefix", strings.Join(parts, ":40,")+":40,"+own+":20")
	})
	if got.status == http.StatusOK {
		p.begun.Add(1)
	}
}

// keepSending sends sound requests from several goroutines until stop is called.
func (p *promptCaller) keepSending() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					p.send("system", fmt.Sprintf("document%d", i%3))
					time.Sleep(5 * time.Millisecond)
				}
			}
		})
	}
	return func() { close(done); wg.Wait() }
}

// A part of prompts that crashes every target is stopped everywhere soon after its
// fifth crash, and requests that share the caller, the route and all other parts
// are not.
func TestPromptPartThatCrashesTargetsIsStopped(t *testing.T) {
	for name, prompts := range map[string][][]string{
		"middle":  {{"system", "bad1", "document1"}},
		"first":   {{"bad1", "system", "document2"}},
		"several": {{"system", "bad1"}, {"bad2", "document1"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, stats := newTestDeployment(t), &crashStats{}
			d.publishConfig(nil)
			// The instance of region a has no target and forwards all requests.
			for _, target := range []string{"b1", "b2", "b3", "c1", "c2", "c3"} {
				d.startCrashingTarget(target, target[:1], stats, "bad1", "bad2")
			}
			instances := []*testInstance{d.startInstance("a"), d.startInstance("b"), d.startInstance("b"), d.startInstance("c")}
			eventually(t, "all instances serve", func() bool {
				return !slices.ContainsFunc(instances, func(i *testInstance) bool {
					return sendRequest("POST", i.url("/stream/ask"), nil).status != http.StatusOK
				})
			})
			sound, bad := &promptCaller{instances: instances}, &promptCaller{instances: instances}
			stop := sound.keepSending()
			eventually(t, "sound requests are served", func() bool { return sound.begun.Load() > 50 })
			for i := 0; stats.crashes.Load() < 5*int64(len(prompts)) && i < 80; i++ {
				bad.send(prompts[i%len(prompts)]...)
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(contactTime)
			arrived := stats.arrivals.Load()
			sent, begun := sound.sent.Load(), sound.begun.Load()
			for i := range 60 {
				bad.send(prompts[i%len(prompts)]...)
				time.Sleep(50 * time.Millisecond)
			}
			stop()
			if n := stats.arrivals.Load() - arrived; n > 3 {
				t.Errorf("%d more requests reached targets, %d crashes in all", n, stats.crashes.Load())
			}
			sent, begun = sound.sent.Load()-sent, sound.begun.Load()-begun
			if sent < 20 || 2*begun < sent {
				t.Errorf("%d of %d sound requests began", begun, sent)
			}
		})
	}
}

// A block reaches instances in other regions and those that start later, also when
// no target crashes any more.
func TestBlockReachesEveryInstance(t *testing.T) {
	d := newTestDeployment(t)
	d.publishConfig(nil)
	target := newFakeTarget(t, "t-1")
	d.listTarget(target, "a", "ready", 1)
	first, remote := d.startInstance("a"), d.startInstance("b")
	part := crash.Suspects(crash.Fingerprint{}, []string{"bad"})[1].Fingerprint
	first.crashes.Merge(&peerv1.CrashNews{Blocks: []*peerv1.CrashBlock{{Parts: [][]byte{part[:]}, Version: 1, RemainingMs: 60_000, Crashes: 5}}})
	for name, inst := range map[string]*testInstance{"remote": remote, "late": d.startInstance("c")} {
		eventually(t, name+" blocks the part and serves others", func() bool {
			ask := func(parts string) int {
				return sendRequest("GET", inst.url("/safe/x"), func(h http.Header) { h.Set("X-Prompt-Prefix", parts) }).status
			}
			return inst.crashes.Blocks() == 1 && ask("system:10,own:1") == http.StatusOK && ask("system:10,bad:5,own:1") == http.StatusServiceUnavailable
		})
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	for _, h := range target.headers {
		if strings.Contains(h.Get("X-Prompt-Prefix"), "bad") {
			t.Error("a blocked request reached the target after the block")
		}
	}
}
