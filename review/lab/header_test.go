//go:build review

package lab

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

func init() { cases["header"] = headerCase }

// headerCase: replicas name the clerk of a booking in a header of their answers, in
// ISO 8859-1. A configuration adds a route whose home is one region. Clients of the two
// other regions book on it and on the first route.
func headerCase(l *lab) int {
	services := []map[string]any{service("desk")}
	first, added := route("r-desk", "/desk/", "unsafe", "desk", 1), route("r-home", "/home/", "unsafe", "desk", 1, "curepipe")
	l.configure(1, services, first)
	clerk := "Ren\xe9e"
	if os.Getenv("LAB_ASCII") != "" {
		clerk = "Renee" // the control: all is the same but for this byte
	}
	places := []place{{"pl-a", "port-louis"}, {"cp-a", "curepipe"}, {"mb-a", "mahebourg"}}
	for i, p := range places {
		r := l.newReplica("desk", p.zone, p.region, 50+i, 8308, 6, 15*time.Millisecond)
		r.extra = http.Header{"X-Clerk": {clerk}}
	}
	l.startMachines(places, 284)
	time.Sleep(3 * time.Second)
	if l.trouble {
		l.configure(2, services, first, added)
	}
	time.Sleep(6 * time.Second) // longer than config_apply_ms and contact_ms

	served, asked, statuses := map[string]int{}, map[string]int{}, map[string]map[int]int{"/desk/": {}, "/home/": {}}
	prefixOf := map[string]string{}
	for i := range 60 {
		for _, prefix := range []string{"/desk/", "/home/"} {
			m := l.machines[2*(i%2)]
			c, err := dial(m.front())
			if err != nil {
				panic(err)
			}
			q := &request{id: l.newID(), method: "POST", host: host, target: fmt.Sprint(prefix, i), key: apiKey, deadline: 4 * time.Second, body: []byte("a booking")}
			a := c.ask(q)
			c.close()
			l.log("sent %s POST %s to %s, answered %d (%v) %q", q.id, q.target, m.name, a.status, a.err, a.body)
			prefixOf[q.id] = prefix
			statuses[prefix][a.status]++
			asked[prefix]++
			if a.err == nil && a.status == http.StatusOK && a.signature != "" {
				served[prefix]++
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	ran := map[string]int{}
	for _, r := range l.allRuns() {
		ran[prefixOf[r.id]]++
	}
	for _, prefix := range []string{"/desk/", "/home/"} {
		l.note("%s: %d asked, %d run, %d served; answers by status %v", prefix, asked[prefix], ran[prefix], served[prefix], statuses[prefix])
	}
	switch {
	case served["/desk/"] == 0:
		return couldNot
	case l.trouble && 4*served["/home/"] < served["/desk/"]:
		return ruleBroken
	}
	return ruleHeld
}
