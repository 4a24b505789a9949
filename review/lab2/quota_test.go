//go:build review

package lab2

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["quota-pair-cut"] = quotaPairCut }

// Figures of the configuration and of the rule, as the platform's pages show them.
const (
	quotaRate   = 308167.0
	quotaBurst  = 308167.0
	quotaWindow = 8 * time.Second
	quotaOver   = 0.25
	quotaSlack  = 190000.0

	promptTokens, outputTokens = 2900, 100
	sharedTokens               = 1000
)

// arrival is a request that a replica runs.
type arrival struct {
	sent, at time.Time
	region   string
	tokens   float64
}

// quotaPairCut lets one tenant ask for more than its allotment: first in macon, then in
// the two other regions, which are cut off from each other for 5.9 s.
func quotaPairCut(l *lab) (broken bool, err error) {
	if err := l.startStore(); err != nil {
		return false, err
	}
	l.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{"name": "r-plan", "host": "ficu95.example", "prefix": "/lohu930/", "kind": "streaming", "timeout_ms": 10000,
			"target_latency_ms": 1200, "priority": 1, "service": "huvo11a", "max_attempts": 1, "public": false, "sticky": true, "resumable": false,
			"gap_aim_ms": 400, "home_regions": []string{}}},
		"services": []any{map[string]any{"name": "huvo11a", "health_path": "/health", "max_conns": 370, "warmup_s": 3.0, "warmup_per_s": 5.0,
			"engine": map[string]any{"slots": 64, "kv_capacity": 298051, "kv_token_bytes": 18432, "link_mbps": 370000.0}}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "api_keys": []string{"i9n73hh2b9wu3fexd9dn"}, "priority": 1, "unit": "tokens",
			"plain_tokens": 200, "rate_per_s": quotaRate, "burst": quotaBurst, "home_regions": []string{}}},
	})
	var mu sync.Mutex
	var arrivals []arrival
	var sentAt sync.Map // time at which a client sent a request, by id
	for zone := range zones {
		for number := 1; number <= 4; number++ {
			region := zones[zone].region
			if _, err := l.startReplica(zone, number, "huvo11a", 64, func(w http.ResponseWriter, r *http.Request, _ []byte) {
				id := r.Header.Get("X-Request-Id")
				sent, _ := sentAt.Load(id)
				a := arrival{sent: sent.(time.Time), at: time.Now(), region: region, tokens: tokensOf(r.Header.Get("X-Token-Usage"))}
				mu.Lock()
				arrivals = append(arrivals, a)
				mu.Unlock()
				w.Header().Set("Content-Type", "text/event-stream")
				for n := 1; n <= 3; n++ {
					time.Sleep(20 * time.Millisecond)
					fmt.Fprintf(w, "id: %d\ndata: piece\n\n", n)
					w.(http.Flusher).Flush()
				}
			}); err != nil {
				return false, err
			}
		}
	}
	for zone, n := range []int{3, 2, 3} {
		for number := 1; number <= n; number++ {
			l.addInstance(zone, number, true)
		}
	}
	net, err := l.startProxies()
	if err != nil {
		return false, err
	}
	if err := l.startAll(284); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	// demand is what the tenant asks for in each zone, as a multiple of its rate.
	demand := [3]atomic.Int64{}
	set := func(macon, savannah, dalton float64) {
		for i, d := range []float64{macon, savannah, dalton} {
			demand[i].Store(int64(d * 1000))
		}
		l.note("the tenant asks for %.2f, %.2f and %.2f times its rate in macon, savannah and dalton", macon, savannah, dalton)
	}
	set(0.5, 0.065, 0.065)
	var wg sync.WaitGroup
	var stop atomic.Bool
	for zone := range zones {
		wg.Go(func() { l.ask(zone, &demand[zone], &stop, &sentAt, &wg) })
	}
	time.Sleep(5 * time.Second)
	if l.trouble {
		l.note("savannah and dalton are cut off from each other")
		net.set("savannah", "dalton", true)
	}
	time.Sleep(500 * time.Millisecond)
	set(0.065, 2, 2)
	time.Sleep(5400 * time.Millisecond)
	if l.trouble {
		l.note("the cut ends")
		net.set("savannah", "dalton", false)
	}
	time.Sleep(time.Second)
	set(0.065, 0.5, 0.5)
	time.Sleep(4 * time.Second)
	stop.Store(true)
	wg.Wait()
	return l.judgeQuota(arrivals), nil
}

// ask sends requests in a zone at the rate that demand says.
func (l *lab) ask(zone int, demand *atomic.Int64, stop *atomic.Bool, sentAt *sync.Map, wg *sync.WaitGroup) {
	var fronts []string
	for _, i := range l.instances {
		if i.zone == zones[zone].zone {
			fronts = append(fronts, i.front())
		}
	}
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	for n := 0; !stop.Load(); n++ {
		wg.Go(func() {
			id := fmt.Sprintf("%d-%d", zone, n)
			req, _ := http.NewRequest(http.MethodPost, "http://"+fronts[n%len(fronts)]+"/lohu930/2f", strings.NewReader(strings.Repeat("x", 2000)))
			req.Host = "ficu95.example"
			req.Header.Set("X-Request-Id", id)
			req.Header.Set("X-Model", "m")
			req.Header.Set("X-Token-Usage", fmt.Sprintf("%d,%d", promptTokens, outputTokens))
			req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%x:%d,%x:%d", 0x5c1e0700+n%32, sharedTokens, 0x100000*(zone+1)+n, promptTokens-sharedTokens))
			req.Header.Set("X-Deadline-Ms", "10000")
			req.Header.Set("Api-Key", "i9n73hh2b9wu3fexd9dn")
			sentAt.Store(id, time.Now())
			resp, err := client.Do(req)
			if err != nil {
				l.note("%s: request %s: %v", zones[zone].region, id, err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			l.note("%s: request %s of %d tokens is answered %d", zones[zone].region, id, promptTokens+outputTokens, resp.StatusCode)
		})
		perSecond := max(float64(demand.Load())/1000*quotaRate/(promptTokens+outputTokens), 0.2)
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
}

func tokensOf(usage string) float64 {
	sum := 0.0
	for part := range strings.SplitSeq(usage, ",") {
		n, _ := strconv.ParseFloat(strings.TrimSpace(part), 64)
		sum += n
	}
	return sum
}

// judgeQuota compares the tokens of every window with the bound of the rule: requests
// that were both sent and arrived in it.
func (l *lab) judgeQuota(arrivals []arrival) bool {
	sort.Slice(arrivals, func(a, b int) bool { return arrivals[a].at.Before(arrivals[b].at) })
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	most, mostAt := 0.0, 0.0
	var mostBy map[string]float64
	for i, first := range arrivals {
		from, sum, by := first.sent, 0.0, map[string]float64{}
		for _, a := range arrivals[i:] {
			if a.at.Sub(from) > quotaWindow {
				break
			}
			if !a.sent.Before(from) {
				sum += a.tokens
				by[a.region] += a.tokens
			}
		}
		if sum > most {
			most, mostAt, mostBy = sum, from.Sub(l.start).Seconds(), by
		}
	}
	l.note("%d requests were run; the most in %s from %.3f s: %.0f tokens, the bound is %.0f; by region %v", len(arrivals), quotaWindow, mostAt, most, bound, mostBy)
	return most > bound
}
