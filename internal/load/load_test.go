package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// fakeGateway is an instance that forwards to stand-ins and injects one fault.
type fakeGateway struct {
	fault          string
	engine, orders string // URLs
	requests       atomic.Int64
}

func (g *fakeGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/directory" {
		_, _ = fmt.Fprintf(w, `{"lifetime_ms":60000,"instances":[{"address":%q,"idempotency_key_prefix":"a.0123456789abcdef.1."},{"address":%q,"idempotency_key_prefix":"a.0123456789abcdef.1."}]}`, r.Host, r.Host)
		return
	}
	body, _ := io.ReadAll(r.Body)
	url, booking := g.engine, strings.HasPrefix(r.URL.Path, BookingPath)
	if strings.HasPrefix(r.URL.Path, "/orders") {
		url = g.orders
	}
	first := g.requests.Add(1) == 1
	switch g.fault {
	case "lost":
		http.Error(w, "no reason given", http.StatusBadGateway)
		return
	case "false not_run":
		g.forward(httptest.NewRecorder(), r, url, body)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"error":{"code":404,"ran":"not_run","message":"no target"}}`)
		return
	case "doubled":
		if booking {
			g.forward(httptest.NewRecorder(), r, url, body)
		}
	case "crossed":
		body = []byte(strings.Replace(string(body), "#s1-", "#s2-", 1))
	case "connection":
		if first {
			g.forward(httptest.NewRecorder(), r, url, body)
			panic(http.ErrAbortHandler)
		}
	}
	if g.fault != "key" {
		r.Header.Del("Authorization")
	}
	if g.fault == "truncated" {
		rec := httptest.NewRecorder()
		g.forward(rec, r, url, body)
		_, _ = w.Write(rec.Body.Bytes()[:rec.Body.Len()*2/3])
		return
	}
	g.forward(w, r, url, body)
}

func (g *fakeGateway) forward(w http.ResponseWriter, r *http.Request, url string, body []byte) {
	req, _ := http.NewRequest(r.Method, url+r.URL.Path, strings.NewReader(string(body)))
	req.Header = r.Header.Clone()
	if g.fault != "key" {
		req.Header.Del("Authorization")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		panic(err)
	}
	defer func() { _ = resp.Body.Close() }()
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

// runLoad runs a load against one fake gateway and two stand-ins.
func runLoad(t *testing.T, fault string, change func(*Plan, *Options)) *Result {
	t.Helper()
	e, err := standin.NewEngine(standin.EngineOptions{Name: "e", Region: "away", Capacity: 50})
	if err != nil {
		t.Fatal(err)
	}
	orders, err := standin.NewOrderService(standin.OrderOptions{Name: "o", Region: "away", Capacity: 50})
	if err != nil {
		t.Fatal(err)
	}
	engineServer, ordersServer := httptest.NewServer(e.Handler()), httptest.NewServer(orders.Handler())
	gatewayServer := httptest.NewServer(&fakeGateway{fault: fault, engine: engineServer.URL, orders: ordersServer.URL})
	defer engineServer.Close()
	defer ordersServer.Close()
	defer gatewayServer.Close()
	address := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	p := &Plan{
		Instances: []Instance{{Name: "a", Region: "home", Callers: address(gatewayServer)}},
		Targets:   []Target{{Name: "e", Address: address(engineServer)}, {Name: "o", Address: address(ordersServer)}},
		Teams:     []Team{{Name: "care", Key: standin.KeyMarker + "secret", Rate: 1, Burst: 1e6, LoadWeight: 1}},
	}
	o := Options{Seed: 1, Rate: 200, Duration: 200 * time.Millisecond, Timeout: 10 * time.Second, Mix: DefaultMix()}
	if change != nil {
		change(p, &o)
	}
	rep, err := RunAndCheck(context.Background(), p, o)
	if err != nil {
		t.Fatal(err)
	}
	return rep.Result
}

// Guards against a checker that misses a fault of the gateway, or reports one
// for a gateway without faults.
func TestCheckerFindsEachFault(t *testing.T) {
	for _, c := range []struct{ fault, want string }{
		{"", ""},
		{"lost", "lost"},
		{"false not_run", "refused as not_run but run"},
		{"doubled", "doubled bookings"},
		{"crossed", "crossed"},
		{"truncated", "truncated"},
		{"key", "saw a key"},
	} {
		res := runLoad(t, c.fault, nil)
		faults := strings.Join(res.Violations(), "; ")
		if (c.want == "") != (faults == "") || !strings.Contains(faults, c.want) {
			t.Errorf("fault %q: reported %q, want %q; notes %q", c.fault, faults, c.want, res.Notes)
		}
		if c.fault == "" && (res.Classes[Answered] != res.Sent || res.RemoteFraction != 1 || res.TimeToFirstToken.Count == 0) {
			t.Errorf("without a fault: %+v", res)
		}
	}
}

// Guards against a checker that ignores a team's residency or its token limit.
func TestCheckerFindsResidencyAndTokenViolations(t *testing.T) {
	res := runLoad(t, "", func(p *Plan, _ *Options) {
		p.Teams[0].Regions, p.Teams[0].Burst = []string{"home"}, 100
	})
	faults := strings.Join(res.Violations(), "; ")
	if res.OutOfRegion != res.Sent || !strings.Contains(faults, "tokens above its rate") {
		t.Fatalf("reported %q", faults)
	}
}

// Guards against a caller that retries a booking without a key, and one that
// gives up on an idempotent request after one connection failure.
func TestCallerRetriesOnlySafeRequests(t *testing.T) {
	checked := map[Kind]int{}
	for seed := uint64(1); seed <= 30; seed++ {
		for _, kind := range []Kind{Question, Booking} {
			var requests []*Request
			res := runLoad(t, "connection", func(p *Plan, o *Options) {
				// A short run, which gives only a few requests.
				o.Seed, o.Mix, o.Rate, o.Duration = seed, Mix{kind: 1}, 100, 20*time.Millisecond
				requests = Generate(p, *o)
			})
			// Any of the requests may be the one whose connection fails, and the
			// fake gateway keeps no idempotency records, so runs with a keyed
			// booking are skipped.
			if len(requests) == 0 || slices.ContainsFunc(requests, func(r *Request) bool { return r.Kind == Booking && r.Keyed }) {
				continue
			}
			checked[kind]++
			want := map[Kind]int{Question: 0, Booking: 1}[kind]
			if res.Classes[InDoubt] != want || res.DuplicateBookings != 0 || res.Classes[Lost] != 0 {
				t.Errorf("seed %d, %s: classes %v, doubled %d, notes %q", seed, kind, res.Classes, res.DuplicateBookings, res.Notes)
			}
		}
	}
	t.Logf("runs checked: %v", checked)
	if checked[Question] == 0 || checked[Booking] == 0 {
		t.Errorf("no run without a keyed booking for some kind: %v", checked)
	}
}

// Guards against a generator that gives different requests for the same seed.
func TestGenerateIsDeterministic(t *testing.T) {
	p := &Plan{Instances: []Instance{{Region: "a"}, {Region: "b"}}, Teams: []Team{{Name: "x", LoadWeight: 1}, {Name: "y", LoadWeight: 2}}}
	o := Options{Seed: 7, Rate: 100, Duration: time.Second, Mix: DefaultMix()}
	one, two := Generate(p, o), Generate(p, o)
	if len(one) < 50 || !reflect.DeepEqual(one, two) {
		t.Fatalf("%d and %d requests differ", len(one), len(two))
	}
	o.Seed = 8
	if reflect.DeepEqual(one, Generate(p, o)) {
		t.Fatal("another seed gave the same requests")
	}
}

// Guards against bursts that are missing from the load or change it outside their time.
func TestBurstsRaiseTheRate(t *testing.T) {
	p := &Plan{Instances: []Instance{{Region: "a"}}, Teams: []Team{{Name: "x", LoadWeight: 1}}}
	o := Options{Seed: 7, Rate: 100, Duration: 30 * time.Second, Mix: DefaultMix(), Bursts: []Burst{{At: 10 * time.Second, Duration: 10 * time.Second, Factor: 4}}}
	var counts [3]int
	for _, r := range Generate(p, o) {
		counts[r.At/(10*time.Second)]++
	}
	for i, want := range []int{1000, 4000, 1000} {
		if float64(counts[i]) < 0.9*float64(want) || float64(counts[i]) > 1.1*float64(want) {
			t.Errorf("%v requests in each 10 s, want about 1000, 4000 and 1000", counts)
			break
		}
	}
	before := Generate(p, Options{Seed: 7, Rate: 100, Duration: 30 * time.Second, Mix: DefaultMix()})
	for i, r := range Generate(p, o) {
		if r.At >= 10*time.Second {
			break
		}
		if !reflect.DeepEqual(r, before[i]) {
			t.Fatalf("request %d before the burst differs", i)
		}
	}
}
