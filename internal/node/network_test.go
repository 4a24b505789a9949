package node

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

// network opens connections between the nodes of a test and can cut them off
// from each other and from the configuration service. A cut connection is
// silent, as a lost link is: nothing arrives and nothing is refused.
type network struct {
	mu    sync.Mutex
	names map[string]string // by peer address
	apart map[string]bool   // nodes that reach only nodes of their own group
	group map[string]string
	conns map[*cuttable]struct{}
}

func newNetwork() *network {
	return &network{names: map[string]string{}, apart: map[string]bool{}, group: map[string]string{}, conns: map[*cuttable]struct{}{}}
}

func (n *network) cutLocked(a, b string) bool {
	return (n.apart[a] || n.apart[b]) && n.group[a] != n.group[b]
}

// isolate puts nodes into a group that reaches nothing else.
func (n *network) isolate(group string, nodes ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range nodes {
		n.apart[name], n.group[name] = true, group
	}
	for c := range n.conns {
		if n.cutLocked(c.from, c.to) {
			c.silence()
		}
	}
}

// heal connects all nodes again. Connections that were cut have lost data and
// are closed.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.apart)
	clear(n.group)
	for c := range n.conns {
		if c.silent() {
			_ = c.Conn.Close()
			delete(n.conns, c)
		}
	}
}

func (n *network) dialFrom(from string) peerapi.Dial {
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.names[address]
		cut := n.cutLocked(from, to)
		n.mu.Unlock()
		if cut {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, kind, address)
		if err != nil {
			return nil, err
		}
		c := &cuttable{Conn: conn, from: from, to: to, cut: make(chan struct{})}
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.cutLocked(from, to) {
			c.silence()
		}
		n.conns[c] = struct{}{}
		return c, nil
	}
}

// reachesService reports whether a node reaches the configuration service.
func (n *network) reachesService(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.apart[name]
}

// cuttable is a connection that can fall silent.
type cuttable struct {
	net.Conn
	from, to string
	once     sync.Once
	cut      chan struct{}
}

func (c *cuttable) silence() { c.once.Do(func() { close(c.cut) }) }

func (c *cuttable) silent() bool {
	select {
	case <-c.cut:
		return true
	default:
		return false
	}
}

func (c *cuttable) Write(p []byte) (int, error) {
	if c.silent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *cuttable) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent() {
			return n, err
		}
	}
}

// world is a set of nodes in this process with stand-ins around them.
type world struct {
	t       *testing.T
	net     *network
	config  *standin.Config
	nodes   map[string]*Node
	names   []string
	engines []*standin.Engine
	rate    float64
	started time.Time
	// poison, if set, makes an engine drop the connection of each request that
	// contains it, as one does that crashes and is restarted at once.
	poison  string
	crashes atomic.Int64
}

const (
	testKey   = "secret-of-team-one"
	testBurst = 4000
)

// newWorld starts regions with the given numbers of nodes, one engine each.
func newWorld(t *testing.T, rate float64, regions map[string]int) *world {
	t.Helper()
	return newWorldWith(t, rate, regions, settings.Peers{Insecure: true})
}

// newWorldWith is newWorld with the settings of peers.
func newWorldWith(t *testing.T, rate float64, regions map[string]int, peers settings.Peers) *world {
	t.Helper()
	w := &world{t: t, net: newNetwork(), config: standin.NewConfig(), nodes: map[string]*Node{}, rate: rate, started: time.Now()}
	var table, list strings.Builder
	all := map[string]*settings.Settings{}
	for region, count := range regions {
		var seats []string
		for i := range count {
			name := fmt.Sprintf("%s-%d", region, i+1)
			s := w.settings(name, region)
			s.Peers = peers
			all[name] = s
			w.names = append(w.names, name)
			w.net.names[s.Listen.Peers] = name
			seats = append(seats, s.Listen.Peers)
			fmt.Fprintf(&list, `,{"name":%q,"callers":%q,"peers":%q,"region":%q,"domain":"d","state":"live"}`, name, s.Listen.Callers, s.Listen.Peers, region)
		}
		e, err := standin.NewEngine(standin.EngineOptions{Name: "engine-" + region, Region: region, Capacity: 8, OutputPerToken: time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		srv := httptest.NewServer(w.fragile(e.Handler()))
		t.Cleanup(srv.Close)
		w.engines = append(w.engines, e)
		fmt.Fprintf(&table, "[region %s]\nseats = %s\n", region, strings.Join(seats, ", "))
		fmt.Fprintf(&table, "[target engine-%s]\nkind = engine\naddress = %s\nregion = %s\ndomain = d\nmodels = m\ncapacity = 8\n", region, srv.Listener.Addr(), region)
	}
	sum := settingsKeyHash(testKey)
	fmt.Fprintf(&table, "[model m]\nmax_output = 100\nmax_run = 5s\n[team one]\nweight = 1\nrate = %g\nburst = %d\n[key one]\nteam = one\nsha256 = %s\n[policy]\nqueue_wait = 1s\n", rate, testBurst, sum)
	w.config.Apply(standin.ConfigControl{Put: map[string]string{
		"table": table.String(), "instances": `{"instances":[` + list.String()[1:] + `],"targets":[]}`,
	}})
	for name, s := range all {
		w.start(name, s)
	}
	return w
}

func (w *world) fragile(engine http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil && w.poison != "" && bytes.Contains(body, []byte(w.poison)) {
			w.crashes.Add(1)
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		engine.ServeHTTP(rw, r)
	})
}

func (w *world) settings(name, region string) *settings.Settings {
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if !w.net.reachesService(name) {
			<-r.Context().Done() // silent
			return
		}
		w.config.Handler().ServeHTTP(rw, r)
	}))
	w.t.Cleanup(srv.CloseClientConnections)
	text := fmt.Sprintf("[instance]\nname = %s\nregion = %s\ndomain = d\n[listen]\ncallers = %s\npeers = %s\noperators = %s\n[platform]\nconfig = %s\n[peers]\ninsecure = true\n",
		name, region, freeAddress(w.t), freeAddress(w.t), freeAddress(w.t), srv.URL)
	s, err := settings.Parse([]byte(text))
	if err != nil {
		w.t.Fatal(err)
	}
	return s
}

// testHost is a loopback address of this process alone, so that no connection
// of another test takes a port between its choice and its use.
var testHost = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

// chosen holds the addresses that freeAddress has returned.
var chosen = map[string]bool{}

func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		l, err := net.Listen("tcp", testHost+":0")
		if err != nil {
			t.Fatal(err)
		}
		address := l.Addr().String()
		_ = l.Close()
		if !chosen[address] {
			chosen[address] = true
			return address
		}
	}
}

func (w *world) start(name string, s *settings.Settings) {
	clients, err := peerapi.NewClientsWithDial(s.Peers, w.net.dialFrom(name))
	if err != nil {
		w.t.Fatal(err)
	}
	n, err := newNode(s, "test", event.Nop(), clients)
	if err != nil {
		w.t.Fatal(err)
	}
	w.nodes[name] = n
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = n.Run(ctx)
	}()
	w.t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// eventually waits for a condition; the limit only ends a failed test.
func (w *world) eventually(what string, ok func() bool) {
	w.t.Helper()
	const limit = time.Minute
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	w.t.Fatalf("never: %s", what)
}

func (w *world) ready() {
	w.t.Helper()
	for name, n := range w.nodes {
		w.eventually(name+" is ready", func() bool { return n.ready() == nil })
	}
}

// ask sends one short request to a node and returns the status and the body.
func (w *world) ask(name, prompt string) (int, string) {
	w.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+w.nodes[name].settings.Listen.Callers+"/v1/chat/completions",
		strings.NewReader(`{"model":"m","max_tokens":20,"messages":[{"role":"user","content":"`+prompt+`"}]}`))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		w.t.Fatal(err)
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
