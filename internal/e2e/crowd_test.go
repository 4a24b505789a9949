package e2e

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/fleet"
	"github.com/wigeonhill/wigeonhill/internal/load"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1/peerv1connect"
	"github.com/wigeonhill/wigeonhill/internal/standin"
)

const (
	// crowdMemory and crowdDescriptors bound an instance with crowdSettings.
	crowdMemory      = 88 << 20
	crowdDescriptors = 600
	// crowdMaxBody is max_body in crowdSettings.
	crowdMaxBody = 1 << 20
	// crowdClients is the number of clients outside the limits that are connected at
	// the same time; silentClients is the number of those that send nothing.
	crowdClients  = 200
	silentClients = 700
	// crowdTime is how long the clients go on.
	crowdTime = 3 * time.Second

	crowdSettings = `
[bounds]
max_body = 1MiB
max_header = 16KiB
max_streams = 100
stream_buffer = 256KiB
team_buffer = 16MiB
process_buffer = 16MiB
intake_buffer = 16MiB
max_peer_connections = 128
`
)

// crowdTest runs one instance of a fleet beside clients outside the limits.
type crowdTest struct {
	*harness
	in  *fleet.Proc
	key string
}

func newCrowdTest(t *testing.T) *crowdTest {
	h := startAlone(t, func(s *fleet.Spec) {
		s.Regions, s.InstancesPerRegion, s.VotersPerRegion, s.EnginesPerRegion = s.Regions[:1], 2, 1, 1
		s.Teams = s.Teams[:1]
		s.Teams[0].Regions = nil
		s.ExtraSettings = crowdSettings
	})
	c := &crowdTest{h, h.Instances[0], h.Teams[0].Key}
	h.eventually(startTimeout, "an ordinary request is answered", c.ordinaryRequest)
	return c
}

func (c *crowdTest) ordinaryRequest() bool {
	status, _ := c.send(c.in, c.key, "GET", load.StockPath+"oil", "")
	return status == http.StatusOK
}

// run runs crowd for crowdTime and checks that the process lives, that its memory and
// descriptors stay in bounds, and that an ordinary request is answered afterwards.
func (c *crowdTest) run(name string, crowd func(ctx context.Context)) {
	c.t.Helper()
	c.must(fleet.ResetPeakRSS(c.in.PID()))
	ctx, cancel := context.WithTimeout(c.ctx, crowdTime)
	defer cancel()
	var peakDescriptors atomic.Int64
	var sampler sync.WaitGroup
	sampler.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
			if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.in.PID())); err == nil {
				peakDescriptors.Store(max(peakDescriptors.Load(), int64(len(entries))))
			}
		}
	})
	crowd(ctx)
	sampler.Wait()
	peak, err := fleet.PeakRSS(c.in.PID())
	c.must(err)
	c.t.Logf("%s: peak memory %d KB, peak descriptors %d", name, peak>>10, peakDescriptors.Load())
	if peak > crowdMemory {
		c.t.Errorf("%s: the instance took %d MB, bound %d", name, peak>>20, crowdMemory>>20)
	}
	if n := peakDescriptors.Load(); n > crowdDescriptors {
		c.t.Errorf("%s: the instance had %d descriptors, bound %d", name, n, crowdDescriptors)
	}
	c.eventually(startTimeout, "an ordinary request is answered after "+name, c.ordinaryRequest)
}

func (c *crowdTest) head() string {
	return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + c.key + "\r\n"
}

func crowdCount(client standin.CrowdClient) int {
	if client.Begin == "" && client.Repeat == "" {
		return silentClients
	}
	return crowdClients
}

// Guards against a process that exhausts its memory because the bodies of many
// clients arrive at the same time and none of them ends, or each is over the limit.
func TestServeBodiesOutsideTheLimits(t *testing.T) {
	c := newCrowdTest(t)
	for _, client := range standin.BodyClients(c.head(), crowdMaxBody) {
		c.run(client.Name, func(ctx context.Context) { standin.Crowd(ctx, c.in.Address, crowdClients, client) })
	}
	unknown := strings.Replace(c.head(), c.key, "unknown", 1) + "Content-Length: 1000\r\n\r\n"
	c.run("refused request without end of body", func(ctx context.Context) {
		standin.Crowd(ctx, c.in.Address, silentClients, standin.CrowdClient{Begin: unknown})
	})
}

// Guards against heads that are over the limit or never end, empty lines without end,
// and connections without a request, at every port.
func TestServeHeadsOutsideTheLimits(t *testing.T) {
	c := newCrowdTest(t)
	for _, client := range standin.HeadClients(c.head()) {
		c.run(client.Name, func(ctx context.Context) { standin.Crowd(ctx, c.in.Address, crowdCount(client), client) })
	}
	for port, address := range map[string]string{"instances": c.in.PeerAddress, "operators": c.in.OperatorAddress} {
		c.run("all kinds at the port for "+port, func(ctx context.Context) {
			var all sync.WaitGroup
			for _, client := range standin.HeadClients("GET / HTTP/1.1\r\nHost: x\r\n") {
				all.Go(func() { standin.Crowd(ctx, address, crowdCount(client), client) })
			}
			all.Wait()
		})
	}
}

// Guards against messages of other instances, such as forwarded bodies, that arrive at
// the same time and never end.
func TestServeMessagesOutsideTheLimits(t *testing.T) {
	c := newCrowdTest(t)
	url := "http://" + c.in.PeerAddress + peerv1connect.PeerForwardProcedure
	c.run("messages of instances without end", func(ctx context.Context) {
		standin.MessageCrowd(ctx, newPeerTransport, url, crowdClients, crowdMaxBody)
	})
}

// Guards against responses that stay in memory because their callers stop reading.
func TestServeReadersThatStop(t *testing.T) {
	c := newCrowdTest(t)
	for _, request := range []struct{ name, address, path string }{
		{"readers that stop, callers", c.in.Address, "/v1/models"}, {"readers that stop, operators", c.in.OperatorAddress, "/metrics"},
	} {
		text := "GET " + request.path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + c.key + "\r\n\r\n"
		client := standin.CrowdClient{Begin: text, Repeat: text, RepeatBytes: int64(400 * len(text)), StopsReading: true}
		c.run(request.name, func(ctx context.Context) { standin.Crowd(ctx, request.address, crowdClients, client) })
	}
}

// Guards against clients of all kinds that together take what each kind alone does
// not, beside ordinary callers.
func TestServeMixOutsideTheLimitsBesideOrdinaryCallers(t *testing.T) {
	c := newCrowdTest(t)
	kinds := append(standin.BodyClients(c.head(), crowdMaxBody), standin.HeadClients(c.head())...)
	var answered, other atomic.Int64
	c.run("mix", func(ctx context.Context) {
		var all sync.WaitGroup
		for _, client := range kinds {
			all.Go(func() { standin.Crowd(ctx, c.in.Address, 2*crowdClients/len(kinds), client) })
		}
		all.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
				if c.ordinaryRequest() {
					answered.Add(1)
				} else {
					other.Add(1)
				}
			}
		})
		all.Wait()
	})
	t.Logf("ordinary requests: %d answered, %d not", answered.Load(), other.Load())
}

func newPeerTransport() http.RoundTripper {
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	return transport
}
