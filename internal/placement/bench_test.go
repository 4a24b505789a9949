package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// BenchmarkPlacement measures one decision, with Begin and End, in a region of 25
// instances. Small instances have a fifth of a core for 60 requests a second.
func BenchmarkPlacement(b *testing.B) {
	for _, targets := range []int{20, 40} {
		b.Run(fmt.Sprint(targets, " targets"), func(b *testing.B) {
			c := newCluster(1, targets)
			tr := c.trackers[0]
			q := &Query{PromptTokens: 17000, PrefixTokens: 13300, PrefixKey: "part-1", Objective: time.Second, Remaining: 5 * time.Second, LocalAllowed: true}
			tr.Targets(c.view, "model", q.PrefixKey, nil, c.now)
			rows := map[string]*peerv1.FleetRow{}
			for i := range 24 {
				row := &peerv1.FleetRow{}
				for j := range targets {
					row.Targets = append(row.Targets, &peerv1.TargetUse{Target: fmt.Sprint("t-", j), Running: uint32((i + j) % 2)})
				}
				rows[fmt.Sprint("10.0.1.", i, ":9")] = row
			}
			tr.SetPeerHeartbeats(rows, c.now)
			b.ReportAllocs()
			for b.Loop() {
				choice := Choose(q, tr.Targets(c.view, "model", q.PrefixKey, nil, c.now), nil, tr.Model(c.service))
				if choice.Target == "" {
					b.Fatal("no target")
				}
				a := tr.Begin(c.view, c.view.Targets[choice.Target], c.service, q, choice, c.now)
				a.Sent(c.now)
				a.FirstByte(c.now.Add(200 * time.Millisecond))
				a.End(Success, c.now.Add(300*time.Millisecond))
			}
		})
	}
}
