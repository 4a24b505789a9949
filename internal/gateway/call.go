package gateway

import (
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/dispatch"
	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// call is one request of a caller, at the instance that took it or at the one
// that got it over the hop.
type call struct {
	deployment.Request
	host   string
	method string
	// path is the path and query as the caller sent them.
	path string
	// header goes to the target; it holds no key.
	header  http.Header
	body    []byte
	keyHash string
	// team is set instead of a key for a request that came over the hop.
	team     string
	arrived  time.Time
	deadline time.Time

	route   *deployment.Route
	service string
	// sent counts the targets that may have run the request, and sends all
	// requests to targets and hops.
	sent, sends int
	// hop is set at the receiver of a hop, which sends the request no further.
	hop bool

	// print is the fingerprint for the team printTeam; see fingerprint.
	print     *dispatch.Fingerprint
	printTeam string
}

// fingerprint tells requests that come again from others. It hashes the whole
// body, so it is kept over the attempts.
func (c *call) fingerprint() dispatch.Fingerprint {
	if c.print == nil || c.printTeam != c.team {
		f := dispatch.FingerprintOf(c.body, c.team, c.host, c.path)
		c.print, c.printTeam = &f, c.team
	}
	return *c.print
}

// resolve finds the route and the team of a request by a state of the catalog.
// It is called again before each attempt, as keys and routes may be gone.
func (c *call) resolve(v *catalog.View) error {
	if v.Config == nil {
		return result.New(result.NotReady, result.NotRun, "no configuration is known yet").WithRetryAfter(notReadyPause)
	}
	r := v.Config.RouteFor(c.host, pathOnly(c.path))
	if r == nil {
		return result.New(result.UnknownRoute, result.NotRun, "no route has this host and path")
	}
	if !r.Open && len(v.Config.Teams) > 0 && !c.hop {
		team, ok := v.Config.TeamByKeyHash[c.keyHash]
		if !ok {
			return result.New(result.UnknownKey, result.NotRun, "the key is not known")
		}
		c.team = team
	}
	if c.route == nil || c.route.Name != r.Name || !serves(r, c.service) {
		c.service = pick(r.Split)
	}
	c.route = r
	return nil
}

func serves(r *deployment.Route, service string) bool {
	for _, s := range r.Split {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// pick draws a service by weight.
func pick(split []deployment.WeightedService) string {
	sum := 0.0
	for _, s := range split {
		sum += s.Weight
	}
	x := rand.Float64() * sum
	for _, s := range split {
		if x < s.Weight {
			return s.Service
		}
		x -= s.Weight
	}
	return split[len(split)-1].Service
}

func pathOnly(path string) string {
	for i := range len(path) {
		if path[i] == '?' {
			return path[:i]
		}
	}
	return path
}

func hashOf(key string) string {
	h := deployment.HashKey(key)
	return hex.EncodeToString(h[:])
}

// query is what a choice depends on.
func (c *call) query(region string, team *deployment.Team, now time.Time) *placement.Query {
	key, tokens := placement.SharedPrefix(c.PromptParts)
	return &placement.Query{
		PromptTokens: c.PromptTokens, PrefixKey: key, PrefixTokens: tokens, Objective: c.route.FirstByteObjective,
		Remaining: c.deadline.Sub(now), LocalAllowed: deployment.RegionAllowed(c.route, team, region), Jitter: rand.Float64(),
	}
}
