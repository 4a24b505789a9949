package server

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/peerapi"
	"github.com/wigeonhill/wigeonhill/internal/settings"
	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// network opens connections between the instances of a test and can partition
// instances from each other and from the configuration service. A partitioned
// connection drops all data and stays open, like a failed link: nothing arrives
// and nothing is refused.
type network struct {
	mu            sync.Mutex
	nameByAddress map[string]string // by peer address
	isolated      map[string]bool   // instances that reach only instances of their own group
	group         map[string]string
	connections   map[*partitionableConn]struct{}
}

func newNetwork() *network {
	return &network{nameByAddress: map[string]string{}, isolated: map[string]bool{}, group: map[string]string{}, connections: map[*partitionableConn]struct{}{}}
}

func (n *network) partitionedLocked(a, b string) bool {
	return (n.isolated[a] || n.isolated[b]) && n.group[a] != n.group[b]
}

// isolate puts instances into a group that reaches nothing else.
func (n *network) isolate(group string, instances ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range instances {
		n.isolated[name], n.group[name] = true, group
	}
	for c := range n.connections {
		if n.partitionedLocked(c.from, c.to) {
			c.partition()
		}
	}
}

// heal ends all partitions. Connections that were partitioned have lost data and
// are closed.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.isolated)
	clear(n.group)
	for c := range n.connections {
		if c.partitioned() {
			_ = c.Conn.Close()
			delete(n.connections, c)
		}
	}
}

// dialFrom returns the dial function of an instance. A dial to a partitioned
// instance blocks until its context ends.
func (n *network) dialFrom(from string) peerapi.DialFunc {
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.nameByAddress[address]
		partitioned := n.partitionedLocked(from, to)
		n.mu.Unlock()
		if partitioned {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, kind, address)
		if err != nil {
			return nil, err
		}
		c := &partitionableConn{Conn: conn, from: from, to: to, partitionedC: make(chan struct{})}
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.partitionedLocked(from, to) {
			c.partition()
		}
		n.connections[c] = struct{}{}
		return c, nil
	}
}

// reachesService reports whether an instance reaches the configuration service.
func (n *network) reachesService(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.isolated[name]
}

// partitionableConn is a connection that can be partitioned: it then drops what is
// written and what arrives.
type partitionableConn struct {
	net.Conn
	from, to     string
	once         sync.Once
	partitionedC chan struct{}
}

func (c *partitionableConn) partition() { c.once.Do(func() { close(c.partitionedC) }) }

func (c *partitionableConn) partitioned() bool {
	select {
	case <-c.partitionedC:
		return true
	default:
		return false
	}
}

func (c *partitionableConn) Write(p []byte) (int, error) {
	if c.partitioned() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *partitionableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.partitioned() {
			return n, err
		}
	}
}

// cluster is a set of instances in this process, with stand-ins for the engines
// and the configuration service.
type cluster struct {
	t             *testing.T
	net           *network
	configService *standin.ConfigService
	instances     map[string]*Server
	// stop begins the stop of an instance.
	stop map[string]context.CancelFunc
	// beforeRun, if set, changes an instance before it runs.
	beforeRun func(*Server)
	names     []string
	engines   []*standin.Engine
	rate      float64
	started   time.Time
	// poisonPrompt, if set, makes an engine drop the connection of each request that
	// contains it, like an engine that crashes and restarts at once.
	poisonPrompt string
	crashes      atomic.Int64
}

const (
	testKey   = "secret-of-team-one"
	testBurst = 4000
)

// newCluster starts regions with the given numbers of instances and one engine
// each.
func newCluster(t *testing.T, rate float64, regions map[string]int) *cluster {
	t.Helper()
	return newClusterWithPeers(t, rate, regions, settings.Peers{Insecure: true})
}

// newClusterWithPeers is newCluster with the given peer settings.
func newClusterWithPeers(t *testing.T, rate float64, regions map[string]int, peers settings.Peers) *cluster {
	t.Helper()
	return newClusterWithHook(t, rate, regions, peers, nil)
}

// newClusterWithHook is newClusterWithPeers with instances that beforeRun changes.
func newClusterWithHook(t *testing.T, rate float64, regions map[string]int, peers settings.Peers, beforeRun func(*Server)) *cluster {
	t.Helper()
	c := &cluster{t: t, net: newNetwork(), configService: standin.NewConfigService(), instances: map[string]*Server{}, stop: map[string]context.CancelFunc{}, rate: rate, started: time.Now(), beforeRun: beforeRun}
	var configText, instanceList strings.Builder
	allSettings := map[string]*settings.Settings{}
	for region, count := range regions {
		var voters []string
		for i := range count {
			name := fmt.Sprintf("%s-%d", region, i+1)
			s := c.settings(name, region)
			s.Peers = peers
			allSettings[name] = s
			c.names = append(c.names, name)
			c.net.nameByAddress[s.Listen.Peers] = name
			voters = append(voters, s.Listen.Peers)
			fmt.Fprintf(&instanceList, `,{"name":%q,"callers":%q,"peers":%q,"region":%q,"domain":"d","state":"live"}`, name, s.Listen.Callers, s.Listen.Peers, region)
		}
		e, err := standin.NewEngine(standin.EngineOptions{Name: "engine-" + region, Region: region, Capacity: 8, OutputPerToken: time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		srv := httptest.NewServer(c.crashOnPoison(e.Handler()))
		t.Cleanup(srv.Close)
		c.engines = append(c.engines, e)
		fmt.Fprintf(&configText, "[region %s]\nseats = %s\n", region, strings.Join(voters, ", "))
		fmt.Fprintf(&configText, "[target engine-%s]\nkind = engine\naddress = %s\nregion = %s\ndomain = d\nmodels = m\ncapacity = 8\n", region, srv.Listener.Addr(), region)
	}
	keyHash := hashAPIKey(testKey)
	fmt.Fprintf(&configText, "[model m]\nmax_output = 100\nmax_run = 5s\n[team one]\nweight = 1\nrate = %g\nburst = %d\n[key one]\nteam = one\nsha256 = %s\n[policy]\nqueue_wait = 1s\n", rate, testBurst, keyHash)
	c.configService.Apply(standin.ConfigControl{Put: map[string]string{
		"table": configText.String(), "instances": `{"instances":[` + instanceList.String()[1:] + `],"targets":[]}`,
	}})
	for name, s := range allSettings {
		c.start(name, s)
	}
	return c
}

// crashOnPoison makes an engine drop the connection of requests with poisonPrompt.
func (c *cluster) crashOnPoison(engine http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil && c.poisonPrompt != "" && bytes.Contains(body, []byte(c.poisonPrompt)) {
			c.crashes.Add(1)
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		engine.ServeHTTP(rw, r)
	})
}

func (c *cluster) settings(name, region string) *settings.Settings {
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if !c.net.reachesService(name) {
			<-r.Context().Done() // no response across a partition
			return
		}
		c.configService.Handler().ServeHTTP(rw, r)
	}))
	c.t.Cleanup(srv.CloseClientConnections)
	text := fmt.Sprintf("[instance]\nname = %s\nregion = %s\ndomain = d\n[listen]\ncallers = %s\npeers = %s\noperators = %s\n[platform]\nconfig = %s\n[peers]\ninsecure = true\n",
		name, region, freeAddress(c.t), freeAddress(c.t), freeAddress(c.t), srv.URL)
	s, err := settings.Parse([]byte(text))
	if err != nil {
		c.t.Fatal(err)
	}
	return s
}

// testHost is a loopback address used by this process only. Otherwise a
// connection of another test process could take a port between its choice by
// freeAddress and its use.
var testHost = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

// usedAddresses holds the addresses that freeAddress has returned.
var usedAddresses = map[string]bool{}

func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		l, err := net.Listen("tcp", testHost+":0")
		if err != nil {
			t.Fatal(err)
		}
		address := l.Addr().String()
		_ = l.Close()
		if !usedAddresses[address] {
			usedAddresses[address] = true
			return address
		}
	}
}

func (c *cluster) start(name string, s *settings.Settings) {
	clients, err := peerapi.NewClientsWithDial(s.Peers, c.net.dialFrom(name))
	if err != nil {
		c.t.Fatal(err)
	}
	srv, err := newServer(s, "test", event.Nop(), clients)
	if err != nil {
		c.t.Fatal(err)
	}
	c.instances[name] = srv
	if c.beforeRun != nil {
		c.beforeRun(srv)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.stop[name] = cancel
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = srv.Run(ctx)
	}()
	c.t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// eventually waits until ok returns true. The limit only ends tests that fail.
func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	const limit = time.Minute
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	c.t.Fatalf("still not true after a minute: %s", what)
}

func (c *cluster) waitReady() {
	c.t.Helper()
	for name, srv := range c.instances {
		c.eventually(name+" is ready", func() bool { return srv.ready() == nil })
	}
}

// sendChat sends one short chat completion request to an instance and returns the
// status and the body of the response.
func (c *cluster) sendChat(name, prompt string) (int, string) {
	c.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+c.instances[name].settings.Listen.Callers+"/v1/chat/completions",
		strings.NewReader(`{"model":"m","max_tokens":20,"messages":[{"role":"user","content":"`+prompt+`"}]}`))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	var b strings.Builder
	buf := make([]byte, 4096)
	for {
		k, err := resp.Body.Read(buf)
		b.Write(buf[:k])
		if err != nil {
			return resp.StatusCode, b.String()
		}
	}
}
