//go:build review

package lab

import (
	"fmt"
	"time"
)

func init() { cases["path"] = pathCase }

// pathCase: a configuration adds a route with the prefix "/". Clients send paths with
// one and with two slashes at the start. Replicas compare the path that they receive
// with the one that the client sent.
func pathCase(l *lab) int {
	services := []map[string]any{service("desk")}
	named := route("r-desk", "/desk/", "unsafe", "desk", 1)
	l.configure(1, services, named)
	places := []place{{"pl-a", "port-louis"}, {"cp-a", "curepipe"}, {"mb-a", "mahebourg"}}
	for i, p := range places {
		l.newReplica("desk", p.zone, p.region, 50+i, 8308, 6, 15*time.Millisecond)
	}
	l.startMachines(places, 284)
	time.Sleep(6 * time.Second) // all are in touch
	if l.trouble {
		l.configure(2, services, named, route("r-rest", "/", "unsafe", "desk", 1))
	}
	time.Sleep(4 * time.Second) // longer than config_apply_ms

	sentTargets, answered := map[string]string{}, map[int]int{}
	for i := range 30 {
		for _, target := range []string{"/desk/%d?x=%d", "//desk/%d?x=%d"} {
			m := l.machines[i%len(l.machines)]
			c, err := dial(m.front())
			if err != nil {
				panic(err)
			}
			q := &request{id: l.newID(), method: "POST", host: host, target: fmt.Sprintf(target, i, i), key: apiKey, deadline: 4 * time.Second, body: []byte("a booking")}
			a := c.ask(q)
			c.close()
			sentTargets[q.id] = q.target
			answered[a.status]++
			l.log("sent %s POST %s to %s, answered %d (%v)", q.id, q.target, m.name, a.status, a.err)
		}
	}
	whole, changed, example := 0, 0, ""
	for _, r := range l.allRuns() {
		if r.target == sentTargets[r.id] {
			whole++
			continue
		}
		changed++
		example = fmt.Sprintf("sent %s, run as %s", sentTargets[r.id], r.target)
		l.log("broken: request %s %s", r.id, example)
	}
	l.note("answers by status: %v; %d requests run with the path that was sent, %d with another one %s", answered, whole, changed, example)
	switch {
	case whole == 0:
		return couldNot
	case changed > 0:
		return ruleBroken
	}
	return ruleHeld
}
