package gateway

import (
	"encoding/hex"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/crash"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/dispatch"
	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// call is one request of a caller, at the instance that received it or at the one
// to which it was forwarded.
type call struct {
	deployment.Request
	host   string
	method string
	// path is the path and query as the caller sent them.
	path string
	// header goes to the target; it does not hold the API key.
	header  http.Header
	body    []byte
	keyHash string
	// team is set by the forwarding instance, instead of a key, if forwarded is set.
	team string
	// arrived is when the request arrived, which may be before it was read; deadline
	// counts from then.
	arrived  time.Time
	deadline time.Time
	// conn is the connection of the caller; nil if the request was forwarded.
	conn net.Conn
	// connCheckedAt is when the kernel was asked about conn before the first attempt.
	connCheckedAt time.Time

	route   *deployment.Route
	service string
	// possibleRuns counts the targets that may have run the request, and
	// failedAttempts the failed attempts at targets and remote regions, without
	// those that failure.uncounted excepts.
	possibleRuns, failedAttempts int
	// forwarded is set if another instance forwarded the request; it is then not
	// forwarded again.
	forwarded bool

	// cachedSuspects are the suspects for suspectsTeam; see suspects.
	cachedSuspects []crash.Suspect
	suspectsTeam   string
}

// suspects returns what may crash a target: the request, identified by its body,
// team, host and path, and the parts of its prompt without the last. It hashes the
// whole body, so the result is cached across attempts.
func (c *call) suspects() []crash.Suspect {
	if c.cachedSuspects == nil || c.suspectsTeam != c.team {
		parts := partIDs(c.PromptParts)
		c.cachedSuspects = crash.Suspects(dispatch.FingerprintOf(c.body, c.team, c.host, c.path), parts[:max(len(parts)-1, 0)])
		c.suspectsTeam = c.team
	}
	return c.cachedSuspects
}

// resolve sets the route, service and team of a call according to v. It is called
// again before each attempt, as keys and routes may have been removed.
func (c *call) resolve(v *catalog.View) error {
	if v.Config == nil {
		return result.New(result.NotReady, result.NotRun, "no configuration is known yet").WithRetryAfter(notReadyRetryAfter)
	}
	r := v.Config.RouteFor(c.host, stripQuery(c.path))
	if r == nil {
		return result.New(result.UnknownRoute, result.NotRun, "no route has this host and path")
	}
	if !r.Open && len(v.Config.Teams) > 0 && !c.forwarded {
		team, ok := v.Config.TeamByKeyHash[c.keyHash]
		if !ok {
			return result.New(result.UnknownKey, result.NotRun, "the key is not known")
		}
		c.team = team
	}
	if c.route == nil || c.route.Name != r.Name || !routeServes(r, c.service) {
		c.service = pickService(r.Split)
	}
	c.route = r
	return nil
}

func routeServes(r *deployment.Route, service string) bool {
	for _, s := range r.Split {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// pickService returns a random service, in proportion to the weights.
func pickService(split []deployment.WeightedService) string {
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

func stripQuery(path string) string {
	for i := range len(path) {
		if path[i] == '?' {
			return path[:i]
		}
	}
	return path
}

func hashAPIKey(key string) string {
	h := deployment.HashKey(key)
	return hex.EncodeToString(h[:])
}

// placementQuery returns what placement.Choose needs to know about the call in the
// local region.
func (g *Gateway) placementQuery(v *catalog.View, c *call, now time.Time) *placement.Query {
	team, region := v.Config.Teams[c.team], g.Settings.Region
	key, tokens := placement.SharedPrefix(c.PromptParts)
	return &placement.Query{
		PromptTokens: c.PromptTokens, PrefixKey: key, PrefixTokens: tokens, Objective: c.route.FirstByteObjective,
		Engine: v.Config.Services[c.service] != nil && v.Config.Services[c.service].Engine != nil, UrgentObjective: g.urgencyOf(v.Config).moreUrgent(c.service, c.route.Priority),
		Remaining: c.deadline.Sub(now), LocalAllowed: deployment.RegionAllowed(c.route, team, region), Jitter: rand.Float64(),
	}
}
