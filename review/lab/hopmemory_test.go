//go:build review

package lab

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["hopmemory"] = hopMemoryCase }

const (
	// usualForwarded are the long bodies in progress at each of four machines on a
	// usual day, forwardedBurst how many times as many in the burst.
	usualForwarded = 6
	forwardedBurst = 2.5
)

// hopMemoryCase: clients of two regions upload bodies of the allowed size on a route
// whose home is a third region, so that its machine gets them from the four others. It
// has clients of its own that book on kept channels. The platform kills a process that
// exceeds memory_mb.
func hopMemoryCase(l *lab) int {
	services := []map[string]any{service("files"), service("desk")}
	files := route("r-files", "/files/", "safe", "files", 2, "curepipe")
	files["target_latency_ms"] = 5000
	l.configure(1, services, files, route("r-desk", "/desk/", "unsafe", "desk", 1))
	places := []place{{"pl-a", "port-louis"}, {"cp-a", "curepipe"}, {"mb-a", "mahebourg"}}
	for i, p := range places {
		l.newReplica("files", p.zone, p.region, 50+i, 8308, 64, 1500*time.Millisecond)
		l.newReplica("desk", p.zone, p.region, 60+i, 8308, 16, 100*time.Millisecond)
	}
	l.startMachines(append(places, places[0], places[2]), 284)
	time.Sleep(7 * time.Second) // all are in touch
	home := l.machines[1]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var watchers sync.WaitGroup
	for _, m := range l.machines {
		watchers.Go(func() { m.watchMemory(ctx) })
	}

	var lost, booked atomic.Int64
	var lostIDs sync.Map
	var clients sync.WaitGroup
	end := time.Now().Add(20 * time.Second)
	for range 12 {
		clients.Go(func() { l.book(home, end, &lost, &booked, &lostIDs) })
	}
	time.Sleep(2 * time.Second)
	perMachine := usualForwarded
	if l.trouble {
		perMachine = int(usualForwarded * forwardedBurst)
	}
	body := make([]byte, uploadBytes)
	var statusMu sync.Mutex
	statuses := map[int]int{}
	for i, entry := range []*machine{l.machines[0], l.machines[2], l.machines[3], l.machines[4]} {
		for n := range perMachine {
			clients.Go(func() {
				// The clients come one after the other.
				time.Sleep(time.Duration(n*4+i) * 40 * time.Millisecond)
				for time.Now().Before(end.Add(-8 * time.Second)) {
					c, err := dial(entry.front())
					if err != nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
					q := &request{id: l.newID(), method: "PUT", host: host, target: "/files/1", key: apiKey, deadline: 8 * time.Second, body: body, bytesPerSecond: linkBytesPerSecond / 2}
					a := c.ask(q)
					c.close()
					l.log("sent %s PUT %s with %d bytes to %s, answered %d (%v)", q.id, q.target, len(body), entry.name, a.status, a.err)
					statusMu.Lock()
					statuses[a.status]++
					statusMu.Unlock()
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
	cancel()
	watchers.Wait()

	ran := 0
	for _, r := range l.allRuns() {
		if _, ok := lostIDs.Load(r.id); ok {
			ran++
		}
	}
	l.note("%d clients with long bodies at each of four machines; uploads by status (0: no answer) %v", perMachine, statuses)
	for _, m := range l.machines {
		l.note("%s: peak memory %d MB of %d, killed for it %d times", m.name, m.peakKB.Load()>>10, m.memoryMB, m.memoryKills.Load())
	}
	l.note("%d bookings at %s answered 200; %d on kept channels ended without an answer, of which replicas had run %d (more than 3 break the rule)", booked.Load(), home.name, lost.Load(), ran)
	switch {
	case booked.Load() == 0:
		return couldNot
	case ran > 3:
		return ruleBroken
	}
	return ruleHeld
}

// book sends bookings on kept channels to a machine until end.
func (l *lab) book(m *machine, end time.Time, lost, booked *atomic.Int64, lostIDs *sync.Map) {
	for time.Now().Before(end) {
		c, err := dial(m.front())
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for time.Now().Before(end) {
			q := &request{id: l.newID(), method: "POST", host: host, target: "/desk/1", key: apiKey, deadline: 4 * time.Second, body: []byte("a booking")}
			kept := c.used > 0
			a := c.ask(q)
			l.log("sent %s POST %s to %s, answered %d (%v)", q.id, q.target, m.name, a.status, a.err)
			if a.err != nil && !isTimeout(a.err) && kept {
				lost.Add(1)
				lostIDs.Store(q.id, true)
			}
			if a.status == 200 {
				booked.Add(1)
			}
			if a.err != nil || a.status != 200 {
				break
			}
		}
		c.close()
	}
}
