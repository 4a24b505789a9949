//go:build review

package lab

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = memoryCase }

const (
	uploadBytes = 4 << 20 // max_body_bytes is 4,194,304
	// usualUploads are the clients that send a long body at the same time on a usual
	// day, burstFactor how many times as many come at once.
	usualUploads = 16
	burstFactor  = 2.5
	// linkBytesPerSecond is link_mbps, which the clients share.
	linkBytesPerSecond = 1000e6 / 8
)

// memoryCase: many clients upload bodies of the allowed size to one machine at once.
// Others book on kept channels all the while. The platform kills a process that
// exceeds memory_mb.
func memoryCase(l *lab) int {
	services := []map[string]any{service("files"), service("desk")}
	l.configure(1, services, route("r-files", "/files/", "safe", "files", 2), route("r-desk", "/desk/", "unsafe", "desk", 1))
	places := []place{{"pl-a", "port-louis"}, {"cp-a", "curepipe"}, {"mb-a", "mahebourg"}}
	for i, p := range places {
		l.newReplica("files", p.zone, p.region, 50+i, 8308, 64, 200*time.Millisecond)
		l.newReplica("desk", p.zone, p.region, 60+i, 8308, 16, 100*time.Millisecond)
	}
	l.startMachines(places, 284)
	time.Sleep(7 * time.Second) // all are in touch
	entry := l.machines[0]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var watchers sync.WaitGroup
	watchers.Go(func() { entry.watchMemory(ctx) })

	var lost, booked atomic.Int64
	var lostIDs sync.Map
	var clients sync.WaitGroup
	end := time.Now().Add(20 * time.Second)
	for range 12 {
		clients.Go(func() {
			for time.Now().Before(end) {
				c, err := dial(entry.front())
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				for time.Now().Before(end) {
					q := &request{id: l.newID(), method: "POST", host: host, target: "/desk/1", key: apiKey, deadline: 4 * time.Second, body: []byte("a booking")}
					kept := c.used > 0
					a := c.ask(q)
					l.log("sent %s POST %s to %s, answered %d (%v)", q.id, q.target, entry.name, a.status, a.err)
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
		})
	}
	time.Sleep(2 * time.Second)
	uploads := usualUploads
	if l.trouble {
		uploads = int(usualUploads * burstFactor)
	}
	body := make([]byte, uploadBytes)
	var statusMu sync.Mutex
	statuses := map[int]int{}
	for time.Now().Before(end.Add(-8 * time.Second)) {
		var wave sync.WaitGroup
		for range uploads {
			wave.Go(func() {
				c, err := dial(entry.front())
				if err != nil {
					return
				}
				defer c.close()
				q := &request{id: l.newID(), method: "PUT", host: host, target: "/files/1", key: apiKey, deadline: 8 * time.Second, body: body, bytesPerSecond: linkBytesPerSecond / uploads}
				a := c.ask(q)
				l.log("sent %s PUT %s with %d bytes to %s, answered %d (%v)", q.id, q.target, len(body), entry.name, a.status, a.err)
				statusMu.Lock()
				statuses[a.status]++
				statusMu.Unlock()
			})
		}
		wave.Wait()
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
	l.note("%d uploads at once; peak memory %d MB of %d; killed for its memory %d times; uploads by status (0: no answer) %v", uploads, entry.peakKB.Load()>>10, entry.memoryMB, entry.memoryKills.Load(), statuses)
	l.note("%d bookings answered 200; %d on kept channels ended without an answer, of which replicas had run %d (more than 3 break the rule)", booked.Load(), lost.Load(), ran)
	switch {
	case booked.Load() == 0:
		return couldNot
	case ran > 3:
		return ruleBroken
	}
	return ruleHeld
}
