package instance

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/fleet"
	"github.com/wigeonhill/wigeonhill/internal/standin"
)

const (
	// maxMemoryGrowth is how much more memory an instance may take beside targets
	// that send without end, in bytes.
	maxMemoryGrowth = 32 << 20
	// smallestMemoryMB is the memory of the smallest instances.
	smallestMemoryMB = 160
	// endlessCallers is the number of requests that run at once at such targets.
	endlessCallers = 64
	// endlessTimeout is the timeout of these requests.
	endlessTimeout = 1500 * time.Millisecond
)

// endlessTarget responds to health checks and requests without end, or, until
// endless is set, closes the connections of requests and fails health checks.
type endlessTarget struct {
	net.Listener
	id      string
	endless atomic.Bool
	// startAt is closed when the responses to requests may begin.
	startAt chan struct{}
	// requests and checks count what arrived, checksEnded the health checks that
	// the instance ended.
	requests, checks, checksEnded atomic.Int64
}

const endlessHeaders = "X-Request-Id: %s\r\nX-Response-Signature: s\r\n"

// newEndlessTarget starts a target that responds like the response number kind.
func newEndlessTarget(t testing.TB, id string, kind int) *endlessTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &endlessTarget{Listener: l, id: id, startAt: make(chan struct{})}
	t.Cleanup(func() { _ = l.Close() })
	go standin.ServeConns(l, func(conn net.Conn) { target.serve(conn, kind) })
	return target
}

func (e *endlessTarget) serve(conn net.Conn, kind int) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	isCheck := r.URL.Path == "/health"
	if isCheck {
		e.checks.Add(1)
		defer e.checksEnded.Add(1)
	} else {
		e.requests.Add(1)
	}
	if !e.endless.Load() {
		if isCheck {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}
		return
	}
	if !isCheck {
		select {
		case <-e.startAt:
		case <-time.After(endlessTimeout / 3):
		}
	}
	responses := standin.EndlessResponses(fmt.Sprintf(endlessHeaders, r.Header.Get("X-Request-Id")))
	_, _ = responses[kind].WriteTo(conn)
}

// memoryTest measures instances that run as processes of the program: the race
// detector of a test binary would take memory of its own.
type memoryTest struct {
	*testDeployment
	binary string
	sound  *fakeTarget
}

func newMemoryTest(t *testing.T) *memoryTest {
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	binary := filepath.Join(t.TempDir(), "wigeonhill")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/wigeonhill").CombinedOutput(); err != nil {
		t.Fatalf("build the program: %v\n%s", err, out)
	}
	m := &memoryTest{testDeployment: newTestDeployment(t), binary: binary, sound: newFakeTarget(t, "t-sound")}
	m.memoryMB = smallestMemoryMB
	m.publishConfig(func(config map[string]any) {
		routes, services := config["routes"].([]any), config["services"].([]any)
		sound := map[string]any{}
		for k, v := range routes[0].(map[string]any) {
			sound[k] = v
		}
		sound["name"], sound["prefix"], sound["service"] = "sound", "/sound/", "sound"
		config["routes"] = append(routes, sound)
		config["services"] = append(services, map[string]any{"name": "sound", "health_path": "/health", "max_conns": 100, "warmup_s": 0, "warmup_per_s": 0})
	})
	return m
}

// memoryProcess is an instance whose memory is measured.
type memoryProcess struct {
	t        testing.TB
	pid      int
	address  string
	baseline int64
}

func (m *memoryTest) start(domain string) *memoryProcess {
	path, ip := m.writeSettings(domain)
	log, err := os.Create(filepath.Join(m.t.TempDir(), ip+".log"))
	if err != nil {
		m.t.Fatal(err)
	}
	cmd := exec.Command(m.binary, "platform", "--config", path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if text, err := os.ReadFile(log.Name()); err == nil && m.t.Failed() {
			m.t.Logf("end of the log of %s:\n%s", ip, text[max(0, len(text)-4<<10):])
		}
		_ = log.Close()
	})
	return &memoryProcess{t: m.t, pid: cmd.Process.Pid, address: fmt.Sprintf("%s:%d", ip, m.port)}
}

// measureBaseline records the memory that the process has taken beside sound targets.
// Later calls have no effect.
func (p *memoryProcess) measureBaseline() {
	p.t.Helper()
	if p.baseline > 0 {
		return
	}
	var err error
	if p.baseline, err = fleet.PeakRSS(p.pid); err != nil {
		p.t.Fatal(err)
	}
}

// verifyGrowth fails the test if the process took too much memory since the last
// call, compared to the baseline.
func (p *memoryProcess) verifyGrowth(what string) {
	p.t.Helper()
	peak, err := fleet.PeakRSS(p.pid)
	if err != nil {
		p.t.Fatalf("%s: %v", what, err)
	}
	p.t.Logf("%s: memory of %s grew from %d to at most %d KB", what, p.address, p.baseline>>10, peak>>10)
	if peak-p.baseline > maxMemoryGrowth || peak >= smallestMemoryMB<<20 {
		p.t.Errorf("%s: memory of %s grew from %d to %d MB", what, p.address, p.baseline>>20, peak>>20)
	}
	if err := fleet.ResetPeakRSS(p.pid); err != nil {
		p.t.Fatal(err)
	}
}

// sendSoundRequests sends requests to the sound target until the returned function
// is called, which fails the test if one of them was not served.
func (m *memoryTest) sendSoundRequests(address string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var served, failed atomic.Int64
	wg.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
			if got := sendRequest("GET", "http://"+address+"/sound/x", nil); got.status == http.StatusOK && got.err == nil {
				served.Add(1)
			} else if failed.Add(1) == 1 {
				m.t.Errorf("sound request: %+v", got)
			}
		}
	})
	return func() {
		m.t.Helper()
		cancel()
		wg.Wait()
		if failed.Load() > 0 || served.Load() == 0 {
			m.t.Errorf("%d sound requests failed, %d were served", failed.Load(), served.Load())
		}
	}
}

func (m *memoryTest) list(id, address, service, domain string) {
	entry := storeEntryAt(address, service, domain, "ready", 1)
	entry["slots"] = endlessCallers
	m.store.put("servers/"+id, entry)
}

// Targets that are down come back and respond to health checks without end, all at
// the same time.
func TestHealthChecksWithoutEndDoNotFillMemory(t *testing.T) {
	m := newMemoryTest(t)
	m.list(m.sound.id, m.sound.address(), "sound", "a")
	const targetsPerKind = 24
	kinds := standin.EndlessResponses("")
	p := m.start("a")
	eventually(t, "the sound target is served", func() bool {
		return sendRequest("GET", "http://"+p.address+"/sound/x", nil).status == http.StatusOK
	})
	for kind, response := range kinds {
		if response.InBody && response.Name != "body without length" {
			continue // bodies of health checks are not read
		}
		var targets []*endlessTarget
		for n := range targetsPerKind {
			target := newEndlessTarget(t, fmt.Sprintf("t-%d-%d", kind, n), kind)
			m.list(target.id, target.Addr().String(), "orders", "a")
			targets = append(targets, target)
		}
		all := func(count func(e *endlessTarget) bool) func() bool {
			return func() bool {
				for _, target := range targets {
					if !count(target) {
						return false
					}
				}
				return true
			}
		}
		eventually(t, "all targets are down", func() bool {
			sendRequest("GET", "http://"+p.address+"/safe/x", nil)
			return all(func(e *endlessTarget) bool { return e.checks.Load() > 0 })()
		})
		p.measureBaseline()
		stop := m.sendSoundRequests(p.address)
		for _, target := range targets {
			target.checksEnded.Store(0)
			target.endless.Store(true)
		}
		eventually(t, "all targets were checked again", all(func(e *endlessTarget) bool { return e.checksEnded.Load() > 2 }))
		stop()
		p.verifyGrowth(response.Name)
		for _, target := range targets {
			m.store.remove("servers/" + target.id)
			_ = target.Close()
		}
	}
}

// Many requests run at once at targets that respond without end, directly and
// behind a hop. Half of the callers do not read the response.
func TestResponsesWithoutEndDoNotFillMemory(t *testing.T) {
	for _, domain := range []string{"a", "b"} {
		t.Run(map[string]string{"a": "direct", "b": "behind a hop"}[domain], func(t *testing.T) {
			m := newMemoryTest(t)
			m.list(m.sound.id, m.sound.address(), "sound", "a")
			processes := []*memoryProcess{m.start("a")}
			if domain != "a" {
				processes = append(processes, m.start(domain))
			}
			entry := processes[0].address
			eventually(t, "the sound target is served", func() bool {
				return sendRequest("GET", "http://"+entry+"/sound/x", nil).status == http.StatusOK
			})
			// As many sound requests at once.
			var wg sync.WaitGroup
			for range endlessCallers {
				wg.Go(func() { sendRequest("GET", "http://"+entry+"/sound/x", nil) })
			}
			wg.Wait()
			for kind, response := range standin.EndlessResponses("") {
				m.runEndlessRequests(processes, domain, kind, response.Name)
			}
		})
	}
}

func (m *memoryTest) runEndlessRequests(processes []*memoryProcess, domain string, kind int, name string) {
	entry := processes[0].address
	var targets []*endlessTarget
	for n := range 4 {
		target := newEndlessTarget(m.t, fmt.Sprintf("t-%d-%d", kind, n), kind)
		target.endless.Store(true)
		m.list(target.id, target.Addr().String(), "orders", domain)
		targets = append(targets, target)
	}
	requests := func() (sum int64) {
		for _, target := range targets {
			sum += target.requests.Load()
		}
		return sum
	}
	eventually(m.t, "the targets are known", func() bool {
		sendRequest("GET", "http://"+entry+"/safe/x", func(h http.Header) { h.Set("X-Deadline-Ms", "500") })
		return requests() > 0
	})
	for _, p := range processes {
		p.measureBaseline()
	}
	stop := m.sendSoundRequests(entry)
	before := requests()
	var callers sync.WaitGroup
	for n := range endlessCallers {
		callers.Go(func() { sendEndlessRequest(m.t, entry, n) })
	}
	// The responses begin when all requests have arrived, as far as they do.
	for range 50 {
		if time.Sleep(10 * time.Millisecond); requests()-before >= endlessCallers {
			break
		}
	}
	for _, target := range targets {
		close(target.startAt)
	}
	callers.Wait()
	stop()
	for _, p := range processes {
		p.verifyGrowth(name)
	}
	for _, target := range targets {
		m.store.remove("servers/" + target.id)
		_ = target.Close()
	}
}

// sendEndlessRequest sends a request and waits for the end of the response. Every
// second caller does not read it.
func sendEndlessRequest(t testing.TB, address string, n int) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	path := "/safe/x"
	if n%4 < 2 {
		path = "/stream/x"
	}
	headers := strings.Join([]string{
		"GET " + path + " HTTP/1.1", "Host: shop.example", fmt.Sprintf("X-Request-Id: endless-%d", requestCount.Add(1)),
		fmt.Sprintf("X-Deadline-Ms: %d", endlessTimeout.Milliseconds()), "Api-Key: key-of-the-hotel", "Connection: close", "", "",
	}, "\r\n")
	if _, err := io.WriteString(conn, headers); err != nil {
		t.Error(err)
		return
	}
	if n%2 == 0 {
		time.Sleep(endlessTimeout)
		return
	}
	_, _ = io.Copy(io.Discard, conn) // the instance may reset the connection
}
