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

func init() { cases["cold-again"] = coldAgain }

// Figures of the configuration and of the rule, as the platform's pages show them.
const (
	warmup         = 3 * time.Second
	warmupPerS     = 5.0
	warmupOverage  = 1.5
	warmupSlack    = 3.0
	coldRequests   = 150 // a second, of all clients
	coldReplicas   = 5
	coldRequestIDs = "c"
)

// coldReplica is a replica that becomes cold again while it runs.
type coldReplica struct {
	*replica
	mu        sync.Mutex
	coldUntil time.Time
}

func (c *coldReplica) left(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.coldUntil.Sub(now), 0)
}

// coldAgain lets one of five replicas become cold again while clients send their usual
// requests. The replica reports it to the store at once.
func coldAgain(l *lab) (broken bool, err error) {
	if err := l.startStore(); err != nil {
		return false, err
	}
	l.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{"name": "r-ask", "host": "ficu95.example", "prefix": "/pufi791/", "kind": "streaming", "timeout_ms": 5000,
			"target_latency_ms": 800, "priority": 0, "service": "huvo11a", "max_attempts": 2, "public": false, "sticky": true, "resumable": true,
			"gap_aim_ms": 400, "home_regions": []string{}}},
		"services": []any{map[string]any{"name": "huvo11a", "health_path": "/health", "max_conns": 370, "warmup_s": warmup.Seconds(), "warmup_per_s": warmupPerS,
			"engine": map[string]any{"slots": 64, "kv_capacity": 298051, "kv_token_bytes": 18432, "link_mbps": 370000.0}}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "api_keys": []string{"i9n73hh2b9wu3fexd9dn"}, "priority": 1, "unit": "tokens",
			"plain_tokens": 200, "rate_per_s": 308167, "burst": 308167, "home_regions": []string{}}},
	})
	var mu sync.Mutex
	var sentAt sync.Map
	type seen struct{ sent, at time.Time }
	arrivals := make([][]seen, coldReplicas)
	replicas := make([]*coldReplica, coldReplicas)
	for n := range coldReplicas {
		c := &coldReplica{}
		p, err := l.startReplica(0, n+1, "huvo11a", 64, func(w http.ResponseWriter, r *http.Request, _ []byte) {
			sent, _ := sentAt.Load(r.Header.Get("X-Request-Id"))
			mu.Lock()
			arrivals[n] = append(arrivals[n], seen{sent.(time.Time), time.Now()})
			mu.Unlock()
			w.Header().Set("Content-Type", "text/event-stream")
			for n := 1; n <= 9; n++ {
				time.Sleep(30 * time.Millisecond)
				fmt.Fprintf(w, "id: %d\ndata: piece\n\n", n)
				w.(http.Flusher).Flush()
			}
		})
		if err != nil {
			return false, err
		}
		c.replica, replicas[n] = p, c
		p.warmupLeft = func() time.Duration { return c.left(time.Now()) }
	}
	for number := 1; number <= 3; number++ {
		l.addInstance(0, number, false)
	}
	if err := l.startAll(284); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	var stop atomic.Bool
	var wg sync.WaitGroup
	answers := map[int]int{}
	wg.Go(func() {
		tick := time.NewTicker(time.Second / coldRequests)
		defer tick.Stop()
		for n := 0; !stop.Load(); n++ {
			<-tick.C
			wg.Go(func() {
				id := coldRequestIDs + strconv.Itoa(n)
				req, _ := http.NewRequest(http.MethodPost, "http://"+l.instances[n%3].front()+"/pufi791/2f", strings.NewReader(strings.Repeat("x", 770)))
				req.Host = "ficu95.example"
				req.Header.Set("X-Request-Id", id)
				req.Header.Set("X-Model", "m")
				req.Header.Set("X-Token-Usage", "383,45")
				req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%x:55,%x:37,%x:291", 0x5c1e0700+n%40, 0x6c1e0700+n%626, 0x100000+n))
				req.Header.Set("X-Deadline-Ms", "5000")
				req.Header.Set("Api-Key", "i9n73hh2b9wu3fexd9dn")
				sentAt.Store(id, time.Now())
				status := 0
				if resp, err := client.Do(req); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					status = resp.StatusCode
				}
				mu.Lock()
				answers[status]++
				mu.Unlock()
			})
		}
	})
	time.Sleep(8 * time.Second)
	cold := replicas[0]
	from := time.Now()
	if l.trouble {
		cold.mu.Lock()
		cold.coldUntil = from.Add(warmup)
		cold.mu.Unlock()
		l.list(cold.replica)
		l.note("replica %s is cold from now on for %s, and has told the store", cold.id, warmup)
	}
	time.Sleep(warmup + time.Second)
	stop.Store(true)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	for n, a := range arrivals {
		l.note("replica %s ran %d requests", replicas[n].id, len(a))
	}
	l.note("answers by status: %v", answers)
	if !l.trouble {
		return false, nil
	}
	inCold := []seen{}
	for _, a := range arrivals[0] {
		if a.sent.After(from) && a.at.Before(from.Add(warmup)) {
			inCold = append(inCold, a)
			l.note("at the cold replica: sent %.3f s and arrived %.3f s after it became cold", a.sent.Sub(from).Seconds(), a.at.Sub(from).Seconds())
		}
	}
	sort.Slice(inCold, func(a, b int) bool { return inCold[a].at.Before(inCold[b].at) })
	most := 0
	for i, first := range inCold {
		n := 0
		for _, a := range inCold[i:] {
			if a.at.Sub(first.sent) <= time.Second && !a.sent.Before(first.sent) {
				n++
			}
		}
		most = max(most, n)
	}
	bound := warmupPerS*warmupOverage + warmupSlack
	l.note("the cold replica got %d requests in one second that were sent and arrived in it; the bound is %.1f", most, bound)
	return float64(most) > bound, nil
}
