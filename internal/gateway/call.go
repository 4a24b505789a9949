package gateway

import (
	"encoding/hex"
	"math/rand/v2"
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
	team     string
	arrived  time.Time
	deadline time.Time

	route   *deployment.Route
	service string
	// possibleRuns counts the targets that may have run the request, and
	// failedAttempts the failed attempts at targets and remote regions, without
	// those that failure.uncounted excepts.
	possibleRuns, failedAttempts int
	// forwarded is set if another instance forwarded the request; it is then not
	// forwarded again.
	forwarded bool
	// queued is set once the call has waited for a place, and waitedBefore is how long
	// it waited at the instance that forwarded it.
	queued       bool
	waitedBefore time.Duration
	// windowService is the service at whose targets the current attempt counts.
	windowService string
	// late is set if the response is expected after the objective.
	late bool
	// rejectedBy are the places that rejected the call because they were full, and
	// regionRefusals counts the regions among them over the whole call.
	rejectedBy     []string
	regionRefusals int
	// releaseReservation is set while the queue reserves a place; see placed.
	releaseReservation func()
	cachedReturnKey    uint64 // see returnKey
	// scheduled is set once the queue has promised a time for the caller's return.
	scheduled bool
	// unloaded and work are what requestWork returned for workService.
	workService    string
	unloaded, work time.Duration
	// counted is set once the work of the call has been counted as arrived.
	counted bool

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

const (
	// minStreamPatience, and streamPatienceObjectives times the objective for the first
	// event or streamPatienceGaps times that for gaps, whichever is longest, is how long
	// callers wait for the next event of a stream, the first one included.
	minStreamPatience        = 2 * time.Second
	streamPatienceObjectives = 4
	streamPatienceGaps       = 8
	// streamPatienceMargin is the part of it in which the first event must arrive: the
	// rest covers the ways between the caller and the target.
	streamPatienceMargin = 0.9
)

// firstByteDeadline returns when the caller gives up if the response has not begun.
func (c *call) firstByteDeadline() time.Time {
	if c.route.Kind != deployment.Stream {
		return c.deadline
	}
	patience := max(minStreamPatience, streamPatienceObjectives*c.route.FirstByteObjective, streamPatienceGaps*c.route.GapObjective)
	by := c.arrived.Add(time.Duration(streamPatienceMargin*float64(patience)) - c.waitedBefore)
	if by.Before(c.deadline) {
		return by
	}
	return c.deadline
}

// placementQuery returns what placement.Choose needs to know about the call in the
// local region.
func (c *call) placementQuery(region string, team *deployment.Team, now time.Time) *placement.Query {
	key, tokens := placement.SharedPrefix(c.PromptParts)
	return &placement.Query{
		PromptTokens: c.PromptTokens, PrefixKey: key, PrefixTokens: tokens, Objective: c.route.FirstByteObjective,
		Remaining: c.firstByteDeadline().Sub(now), CallerRemaining: c.deadline.Sub(now), LocalAllowed: deployment.RegionAllowed(c.route, team, region), Jitter: rand.Float64(),
	}
}
