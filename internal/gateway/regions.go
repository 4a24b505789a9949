package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
	"github.com/wigeonhill/wigeonhill/internal/placement"
)

const (
	// assumedRoundTrip is the round trip assumed between regions, which is not
	// measured yet; it is the largest of the current deployments.
	assumedRoundTrip = 120 * time.Millisecond
	// residencyRule excludes regions, and the targets of the own one.
	residencyRule = "the route or the team does not allow the region"
)

// regionReport is what one instance reports about its region.
type regionReport struct {
	view   placement.RegionView
	source string // name of the instance
	seen   time.Time
}

// remoteRegions returns the other regions in which a call may run, each as its
// most recently seen instance describes it.
func (g *Gateway) remoteRegions(c *call, team *deployment.Team, exclude map[string]bool, members []heartbeat.Member) []placement.RegionView {
	newest := g.regionReports(c, team, exclude, members)
	out := make([]placement.RegionView, 0, len(newest))
	for _, r := range newest {
		out = append(out, r.view)
	}
	return out
}

// regionReports returns the newest reports about the other regions in which a call may
// run.
func (g *Gateway) regionReports(c *call, team *deployment.Team, exclude map[string]bool, members []heartbeat.Member) map[string]regionReport {
	newest := map[string]regionReport{}
	for i := range members {
		m := &members[i]
		region := m.Region()
		if memberRule(m) != "" || g.regionRule(c, team, exclude, region) != "" || m.LastSeen.Before(newest[region].seen) {
			continue
		}
		r := placement.RegionView{Name: region, RoundTrip: assumedRoundTrip}
		for _, p := range m.Heartbeat.GetPools() {
			if p.GetService() == c.service {
				r.Delay = time.Duration(p.GetDelayMs()) * time.Millisecond
				r.FreeSlots = int(p.GetCapacity()) - int(p.GetRunning())
			}
		}
		newest[region] = regionReport{r, m.Name(), m.LastSeen}
	}
	return newest
}

// memberRule returns the rule by which no request is forwarded to an instance; empty
// if there is none.
func memberRule(m *heartbeat.Member) string {
	switch {
	case !m.Reachable:
		return "its heartbeats do not arrive"
	case !m.Heartbeat.GetReady():
		return "it is not ready: it is draining or has no configuration"
	}
	return ""
}

// regionRule returns the rule by which a call is not forwarded to a region; empty if
// there is none.
func (g *Gateway) regionRule(c *call, team *deployment.Team, exclude map[string]bool, region string) string {
	switch {
	case region == g.Settings.Region:
		return "requests are not forwarded within a region"
	case exclude[region]:
		return "an attempt of the request was made there"
	case !deployment.RegionAllowed(c.route, team, region):
		return residencyRule
	}
	return ""
}

// pickInstance returns the address of a random instance of a region, out of those
// that are reachable and ready, without the one at except.
func (g *Gateway) pickInstance(region, except string) (address string, ok bool) {
	n := 0
	for _, m := range g.Members.Members() {
		if m.Region() == region && memberRule(&m) == "" && m.Address() != except {
			if n++; rand.IntN(n) == 0 {
				address = m.Address()
			}
		}
	}
	return address, n > 0
}
