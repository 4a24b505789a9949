package instance

import (
	"context"
	"fmt"
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
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1/peerv1connect"
	"github.com/wigeonhill/wigeonhill/internal/standin"
	"github.com/wigeonhill/wigeonhill/platform"
)

const (
	// crowdMemoryMB and crowdDescriptors are the limits of the instance in its
	// settings, and the bounds that the tests check.
	crowdMemoryMB    = 72
	crowdDescriptors = 480
	// crowdMaxBody is the published limit of a body in bytes.
	crowdMaxBody = 1 << 20
	// crowdClients is the number of clients outside the limits that are connected at
	// the same time; silentClients is the number of those that send nothing, more than
	// the instance has descriptors.
	crowdClients  = 200
	silentClients = 600
	// crowdTime is how long the clients go on.
	crowdTime = 3 * time.Second
)

// crowdTest runs one instance as a process beside clients outside the limits. Tests
// with it do not call t.Parallel: memory and descriptors of the clients and of other
// tests must not add up.
type crowdTest struct {
	*memoryTest
	*memoryProcess
	ip string
}

// programDir holds the program that buildProgram has built; TestMain removes it.
var programDir string

var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "wigeonhill-crowd-")
	if err != nil {
		return "", err
	}
	programDir = dir
	binary := filepath.Join(dir, "wigeonhill")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/wigeonhill").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the program: %w\n%s", err, out)
	}
	return binary, nil
})

func newCrowdTest(t *testing.T) *crowdTest {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	m := &memoryTest{testDeployment: newTestDeployment(t), binary: binary, sound: newFakeTarget(t, "t-sound")}
	m.memoryMB, m.maxDescriptors = crowdMemoryMB, crowdDescriptors
	m.publishConfig(func(config map[string]any) {
		config["limits"].(map[string]any)["max_body_bytes"] = crowdMaxBody
	})
	m.list(m.sound.id, m.sound.address(), "orders", "a")
	c := &crowdTest{memoryTest: m, memoryProcess: m.start("a")}
	c.ip, _, _ = net.SplitHostPort(c.address)
	eventually(t, "an ordinary request is answered", c.ordinaryRequest)
	return c
}

// ordinaryRequest reports whether a request inside the limits is answered.
func (c *crowdTest) ordinaryRequest() bool {
	return sendRequest("POST", "http://"+c.address+"/safe/x", nil).status == http.StatusOK
}

// ports returns the addresses at which the instance listens.
func (c *crowdTest) ports() map[string]string {
	at := func(offset int) string { return fmt.Sprintf("%s:%d", c.ip, c.port+offset) }
	return map[string]string{
		"callers": at(0), "readiness": at(1), "directory": at(2), "instances": at(3), "metrics": fmt.Sprintf("%s:%d", c.ip, metricsPort),
	}
}

// run runs crowd for crowdTime and checks that the process lives, that its memory and
// descriptors stay in bounds, and that an ordinary request is answered afterwards.
func (c *crowdTest) run(crowd func(ctx context.Context)) {
	t := c.memoryTest.t
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), crowdTime)
	defer cancel()
	var peakDescriptors atomic.Int64
	var sampler sync.WaitGroup
	sampler.Go(func() {
		for ctx.Err() == nil {
			if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.pid)); err == nil {
				peakDescriptors.Store(max(peakDescriptors.Load(), int64(len(entries))))
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	crowd(ctx)
	sampler.Wait()
	peak, err := fleet.PeakRSS(c.pid)
	if err != nil {
		t.Fatalf("the process ended: %v", err)
	}
	t.Logf("peak memory %d KB, peak descriptors %d", peak>>10, peakDescriptors.Load())
	if peak > crowdMemoryMB<<20 {
		t.Errorf("the instance took %d MB, its settings allow %d", peak>>20, crowdMemoryMB)
	}
	if n := peakDescriptors.Load(); n > crowdDescriptors {
		t.Errorf("the instance had %d descriptors, its settings allow %d", n, crowdDescriptors)
	}
	eventually(t, "an ordinary request is answered", c.ordinaryRequest)
	for name, address := range c.ports() {
		if name != "readiness" && name != "directory" && name != "metrics" {
			continue
		}
		path := map[string]string{"readiness": platform.ReadyPath, "directory": platform.DirectoryPath + "?host=shop.example", "metrics": metricsPath}[name]
		eventually(t, "the port for "+name+" answers", func() bool {
			got := sendRequest("GET", "http://"+address+path, func(h http.Header) { h.Del("X-Deadline-Ms") })
			return got.err == nil && got.status == http.StatusOK
		})
	}
}

const crowdHead = "POST /safe/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 8000\r\nApi-Key: key-of-the-hotel\r\n"

// Guards against a process that exhausts its memory because the bodies of many
// clients arrive at the same time and none of them ends, or each is over the limit.
func TestBodiesOutsideTheLimits(t *testing.T) {
	for _, client := range standin.BodyClients(crowdHead, crowdMaxBody) {
		t.Run(client.Name, func(t *testing.T) {
			c := newCrowdTest(t)
			c.run(func(ctx context.Context) { standin.Crowd(ctx, c.address, crowdClients, client) })
		})
	}
}

// Guards against refused requests whose bodies never end: the response, the
// goroutine and the connection must not wait for the rest of the body.
func TestRefusedRequestsWithoutEndOfBody(t *testing.T) {
	c := newCrowdTest(t)
	head := strings.Replace(crowdHead, "key-of-the-hotel", "unknown", 1)
	c.run(func(ctx context.Context) {
		standin.Crowd(ctx, c.address, silentClients, standin.CrowdClient{Begin: head + "Content-Length: 1000\r\n\r\n"})
	})
}

// Guards the port for callers against heads that are over the limit or never end, empty
// lines without end, and more connections without a request than descriptors.
func TestHeadsOutsideTheLimits(t *testing.T) {
	for _, client := range standin.HeadClients(crowdHead) {
		t.Run(client.Name, func(t *testing.T) {
			c := newCrowdTest(t)
			c.run(func(ctx context.Context) { standin.Crowd(ctx, c.address, crowdCount(client), client) })
		})
	}
}

func crowdCount(client standin.CrowdClient) int {
	if client.Begin == "" && client.Repeat == "" {
		return silentClients
	}
	return crowdClients
}

// Guards the other ports against the same clients, which come all at the same time.
func TestHeadsOutsideTheLimitsAtOtherPorts(t *testing.T) {
	for _, port := range []string{"readiness", "directory", "instances", "metrics"} {
		t.Run(port, func(t *testing.T) {
			c := newCrowdTest(t)
			c.run(func(ctx context.Context) {
				var all sync.WaitGroup
				for _, client := range standin.HeadClients("GET / HTTP/1.1\r\nHost: shop.example\r\n") {
					all.Go(func() { standin.Crowd(ctx, c.ports()[port], crowdCount(client), client) })
				}
				all.Wait()
			})
		})
	}
}

// Guards against responses that stay in memory, and connections that stay open,
// because their callers stop reading.
func TestReadersThatStop(t *testing.T) {
	for port, path := range map[string]string{"callers": "/safe/x", "metrics": metricsPath} {
		t.Run(port, func(t *testing.T) {
			c := newCrowdTest(t)
			c.sound.setHandler(func(w http.ResponseWriter, _ *http.Request) bool {
				_, err := w.Write(make([]byte, 240<<10))
				_ = err // fails only if the instance has closed the connection
				return true
			})
			request := "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 8000\r\nApi-Key: key-of-the-hotel\r\n\r\n"
			client := standin.CrowdClient{Begin: request, Repeat: request, RepeatBytes: int64(400 * len(request)), StopsReading: true}
			c.run(func(ctx context.Context) { standin.Crowd(ctx, c.ports()[port], crowdClients, client) })
		})
	}
}

// Guards against a process that exhausts its memory because the messages of other
// instances, such as forwarded bodies, arrive at the same time and none of them ends.
func TestForwardedBodiesOutsideTheLimits(t *testing.T) {
	c := newCrowdTest(t)
	url := "http://" + c.ports()["instances"] + peerv1connect.PeerForwardProcedure
	c.run(func(ctx context.Context) {
		standin.MessageCrowd(ctx, newPeerTransport, url, crowdClients, crowdMaxBody)
	})
}

// Guards against clients of all kinds that together take what each kind alone does
// not, beside ordinary callers on connections that they keep.
func TestMixOutsideTheLimitsBesideOrdinaryCallers(t *testing.T) {
	c := newCrowdTest(t)
	kinds := append(standin.BodyClients(crowdHead, crowdMaxBody), standin.HeadClients(crowdHead)...)
	var answered, other atomic.Int64
	c.run(func(ctx context.Context) {
		var all sync.WaitGroup
		for _, client := range kinds {
			all.Go(func() { standin.Crowd(ctx, c.address, 2*crowdClients/len(kinds), client) })
		}
		for range 4 {
			all.Go(func() {
				for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
					if c.ordinaryRequest() {
						answered.Add(1)
					} else {
						other.Add(1)
					}
				}
			})
		}
		all.Wait()
	})
	t.Logf("ordinary requests: %d answered, %d not", answered.Load(), other.Load())
}

func newPeerTransport() http.RoundTripper {
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	return transport
}
