package gateway

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
)

// urgency holds the least objective of the requests of each service and priority, for
// one configuration.
type urgency struct {
	config     *deployment.Config
	objectives map[string]map[int]time.Duration
}

func newUrgency(config *deployment.Config) *urgency {
	u := &urgency{config, map[string]map[int]time.Duration{}}
	for _, r := range config.Routes {
		for _, s := range r.Split {
			if r.FirstByteObjective <= 0 || s.Weight <= 0 {
				continue
			}
			of := u.objectives[s.Service]
			if of == nil {
				of = map[int]time.Duration{}
				u.objectives[s.Service] = of
			}
			if o, ok := of[r.Priority]; !ok || r.FirstByteObjective < o {
				of[r.Priority] = r.FirstByteObjective
			}
		}
	}
	return u
}

// moreUrgent returns the least objective among the requests of a service whose routes
// have a more urgent priority; 0 if there are none. Priorities of teams do not count:
// they order requests at a target, and a team must not close targets to others.
// Regions in which the urgent routes may not run count, too: long prompts that such a
// region takes without this limit fill its targets until they time out there.
func (u *urgency) moreUrgent(service string, priority int) time.Duration {
	least := time.Duration(0)
	for p, o := range u.objectives[service] {
		if p < priority && (least == 0 || o < least) {
			least = o
		}
	}
	return least
}

// urgencyOf returns the urgency of a configuration, which is computed once.
func (g *Gateway) urgencyOf(config *deployment.Config) *urgency {
	u := g.urgency.Load()
	if u == nil || u.config != config {
		u = newUrgency(config)
		g.urgency.Store(u)
	}
	return u
}
