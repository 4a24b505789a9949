package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/placement"
)

const (
	// assumedRoundTrip is the round trip assumed between regions, which is not
	// measured yet; it is the largest of the current deployments.
	assumedRoundTrip = 120 * time.Millisecond
)

// remoteRegions returns the other regions in which a call may run, each as its
// most recently seen instance describes it.
func (g *Gateway) remoteRegions(c *call, team *deployment.Team, exclude map[string]bool) []placement.RegionView {
	newest := map[string]placement.RegionView{}
	lastSeen := map[string]time.Time{}
	for _, m := range g.Members.Members() {
		region := m.Region()
		if !m.Reachable || !m.Heartbeat.GetReady() || region == g.Settings.Region || exclude[region] || !deployment.RegionAllowed(c.route, team, region) || m.LastSeen.Before(lastSeen[region]) {
			continue
		}
		r := placement.RegionView{Name: region, RoundTrip: assumedRoundTrip}
		for _, p := range m.Heartbeat.GetPools() {
			if p.GetService() == c.service {
				r.Delay = time.Duration(p.GetDelayMs()) * time.Millisecond
				r.FreeSlots = int(p.GetCapacity()) - int(p.GetRunning())
			}
		}
		newest[region], lastSeen[region] = r, m.LastSeen
	}
	out := make([]placement.RegionView, 0, len(newest))
	for _, r := range newest {
		out = append(out, r)
	}
	return out
}

// pickInstance returns the address of a random instance of a region, out of those
// that are reachable and ready, without the one at except.
func (g *Gateway) pickInstance(region, except string) (address string, ok bool) {
	n := 0
	for _, m := range g.Members.Members() {
		if m.Reachable && m.Region() == region && m.Heartbeat.GetReady() && m.Address() != except {
			if n++; rand.IntN(n) == 0 {
				address = m.Address()
			}
		}
	}
	return address, n > 0
}
