package deployment

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Validate reports every fault of a configuration that would keep requests from
// being served as its author intends, joined into one error. An instance still
// applies a faulty configuration and serves the parts that are usable.
func (c *Config) Validate() error {
	var faults error
	fault := func(format string, args ...any) { faults = errors.Join(faults, errors.Newf(format, args...)) }
	if c.Version <= 0 {
		fault("the version is %d, it must be above 0", c.Version)
	}
	routeByHostAndPrefix := map[string]string{}
	for _, r := range c.Routes {
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			fault("route %s: the prefix %q must begin and end with a slash", r.Name, r.Prefix)
		}
		if r.Host == "" {
			fault("route %s: no host", r.Name)
		}
		if other, ok := routeByHostAndPrefix[r.Host+r.Prefix]; ok {
			fault("route %s: host and prefix are those of route %s", r.Name, other)
		}
		routeByHostAndPrefix[r.Host+r.Prefix] = r.Name
		weight := 0.0
		for _, s := range r.Split {
			if weight += s.Weight; c.Services[s.Service] == nil {
				fault("route %s: there is no service %q", r.Name, s.Service)
			}
		}
		if weight <= 0 {
			fault("route %s: the weights of its services add up to %g", r.Name, weight)
		}
		if r.Timeout <= 0 || r.FirstByteObjective <= 0 {
			fault("route %s: timeout %s and objective %s must be positive", r.Name, r.Timeout, r.FirstByteObjective)
		}
	}
	teamsWithKey := map[string]bool{}
	for _, team := range c.TeamByKeyHash {
		teamsWithKey[team] = true
	}
	for name, t := range c.Teams {
		if t.Rate < 0 || t.Burst < 0 {
			fault("team %s: rate %g and burst %g must not be negative", name, t.Rate, t.Burst)
		}
		if !teamsWithKey[name] {
			fault("team %s: no key, or its keys are another team's too", name)
		}
	}
	return faults
}
