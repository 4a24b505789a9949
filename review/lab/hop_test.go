//go:build review

package lab

import (
	"sync"
	"time"
)

func init() { cases["hop"] = hopCase }

const downgradeSlack = 250 * time.Millisecond

// sent is a request of a client with its answer.
type sent struct {
	id, target string
	at         time.Time
	answer     answer
}

// hopCase: the store turns one of four machines away just before a configuration
// moves a route to another service. Clients use a machine of another region, which
// follows the store all the while. The route has its home in the region of the first
// machine and of one more that follows the store.
func hopCase(l *lab) int {
	services := []map[string]any{service("desk-old"), service("desk-new")}
	l.configure(1, services,
		route("r-home", "/home/", "unsafe", "desk-old", 1, "curepipe"))
	for i, p := range []place{{"pl-a", "port-louis"}, {"cp-a", "curepipe"}, {"mb-a", "mahebourg"}} {
		l.newReplica("desk-old", p.zone, p.region, 50+i, 8308, 6, 15*time.Millisecond)
		l.newReplica("desk-new", p.zone, p.region, 60+i, 8308, 6, 15*time.Millisecond)
	}
	l.startMachines([]place{{"pl-a", "port-louis"}, {"cp-a", "curepipe"}, {"mb-a", "mahebourg"}, {"cp-a", "curepipe"}}, 284)
	entry, away := l.machines[0], l.machines[3]
	time.Sleep(7 * time.Second) // all are in touch

	var mu sync.Mutex
	var all []sent
	var clients sync.WaitGroup
	end := time.Now().Add(9 * time.Second)
	for range 4 {
		clients.Go(func() {
			c, err := dial(entry.front())
			if err != nil {
				panic(err)
			}
			defer c.close()
			for time.Now().Before(end) {
				q := &request{id: l.newID(), method: "POST", host: host, target: "/home/1", key: apiKey, deadline: 3 * time.Second, body: []byte("a booking")}
				a := c.ask(q)
				l.log("sent %s POST %s to %s, answered %d (%v) %s", q.id, q.target, entry.name, a.status, a.err, a.body)
				mu.Lock()
				all = append(all, sent{q.id, q.target, a.sentAt, a})
				mu.Unlock()
				if a.err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if l.trouble {
		away.door.silent.Store(true)
		l.log("the store turns %s away: no response", away.name)
	}
	time.Sleep(200 * time.Millisecond)
	l.configure(2, services,
		route("r-home", "/home/", "unsafe", "desk-new", 1, "curepipe"))
	confirmed := time.Now()
	clients.Wait()
	away.door.silent.Store(false)

	sentAt := map[string]time.Time{}
	for _, s := range all {
		sentAt[s.id] = s.at
	}
	var effect time.Time
	before, after, broken := 0, 0, 0
	var last time.Duration
	for _, r := range l.allRuns() {
		at, ok := sentAt[r.id]
		switch {
		case !ok:
		case r.service == "desk-new":
			after++
			if effect.IsZero() {
				effect = r.at
				l.note("a replica of the new service first ran a request of %s %s after the confirmation", entry.name, r.at.Sub(confirmed).Round(time.Millisecond))
			}
		case effect.IsZero() || at.Sub(effect) <= downgradeSlack:
			before++
		default:
			broken++
			last = at.Sub(effect)
			l.log("broken: request %s was sent to %s %s after the effect and run by %s", r.id, entry.name, at.Sub(effect).Round(time.Millisecond), r.service)
		}
	}
	l.note("%d requests run by the old service in time, %d by the new one, %d by the old one too late (the last was sent %s after the effect; allowed are %s)", before, after, broken, last.Round(time.Millisecond), downgradeSlack)
	switch {
	case effect.IsZero() || before == 0:
		return couldNot
	case broken > 0:
		return ruleBroken
	}
	return ruleHeld
}
