package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"slices"
	"strings"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// Permit states what a request was allowed to do by one edition.
type Permit struct {
	// Team is empty on an open route called without a key.
	Team string
	// Key identifies the caller's key if Keyed; a forwarded request has none.
	Key   config.KeyHash
	Keyed bool
	// Model is set for engines, Route and Service for plain services.
	Model, Route, Service string
	// Method of a request to a plain service.
	Method string
	// Idempotent requests may be repeated.
	Idempotent bool
	// Tokens is the fixed debit of a plain-service route.
	Tokens float64
	// Allowed regions by residency.
	Allowed map[string]bool
	// Revision of the edition that decided.
	Revision int64
}

// BearerKey returns the key of an Authorization header, or "".
func BearerKey(h http.Header) string {
	scheme, key, ok := strings.Cut(h.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// Identify returns the team of a caller's key.
func Identify(e *config.Config, key string) (*config.Team, config.KeyHash, error) {
	hash := config.KeyHash(sha256.Sum256([]byte(key)))
	team := teamOf(e, hash)
	if key == "" || team == nil {
		return nil, hash, result.New(result.UnknownKey, result.NotRun, "the key is missing or unknown")
	}
	return team, hash, nil
}

// teamOf looks a key up by its hash. The map lookup may leak timing about
// hashes only; the comparison itself takes constant time.
func teamOf(e *config.Config, hash config.KeyHash) *config.Team {
	k := e.Keys[hash]
	if k == nil || subtle.ConstantTimeCompare(k.Hash[:], hash[:]) != 1 {
		return nil
	}
	return e.Teams[k.Team]
}

// ForModel decides about a request to an engine.
func ForModel(e *config.Config, key, model string) (Permit, error) {
	team, hash, err := Identify(e, key)
	if err != nil {
		return Permit{}, err
	}
	p := Permit{Team: team.Name, Key: hash, Keyed: true, Model: model, Idempotent: true}
	return Recheck(e, p)
}

// ForRoute decides about a request to a plain service. A key on an open route
// is not needed, but one that is sent must be valid: the residency rule of its
// team would otherwise be dropped silently.
func ForRoute(e *config.Config, key, method, path string) (Permit, error) {
	r, err := findRoute(e, method, path)
	if err != nil {
		return Permit{}, err
	}
	p := Permit{Route: r.Name, Method: method}
	if key != "" || !r.Open {
		team, hash, err := Identify(e, key)
		if err != nil {
			return Permit{}, err
		}
		p.Team, p.Key, p.Keyed = team.Name, hash, true
	}
	return Recheck(e, p)
}

func findRoute(e *config.Config, method, path string) (*config.Route, error) {
	if !cleanPath(path) {
		return nil, result.New(result.BadRequest, result.NotRun, "the path has dot segments or encoded separators")
	}
	r := e.RouteFor(path)
	if r == nil || !r.Methods[method] {
		return nil, result.New(result.UnknownRoute, result.NotRun, "no route for %s on this path", method)
	}
	return r, nil
}

// cleanPath rejects paths that a service could resolve to another route than
// the one whose rules were checked.
func cleanPath(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	lower := strings.ToLower(path)
	for _, bad := range []string{"%2e", "%2f", "%5c", "\\", "//"} {
		if strings.Contains(lower, bad) {
			return false
		}
	}
	for _, segment := range strings.Split(path, "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

// Recheck decides again by edition e about a request that p admitted. The
// returned permit carries the regions that e allows.
func Recheck(e *config.Config, p Permit) (Permit, error) {
	var teamRule string
	if p.Keyed || p.Team != "" {
		team, err := recheckTeam(e, p)
		if err != nil {
			return p, err
		}
		teamRule = team.Residency
	}
	otherRule, err := recheckTarget(e, &p)
	if err != nil {
		return p, err
	}
	p.Allowed, p.Revision = e.Allowed(teamRule, otherRule), e.Revision
	if len(p.Allowed) == 0 {
		return p, result.New(result.NoRegionAllowed, result.NotRun, "the residency rules allow no region")
	}
	return p, nil
}

func recheckTeam(e *config.Config, p Permit) (*config.Team, error) {
	team := e.Teams[p.Team]
	if p.Keyed {
		if owner := teamOf(e, p.Key); owner == nil || owner.Name != p.Team {
			return nil, result.New(result.KeyWithdrawn, result.NotRun, "the key was withdrawn")
		}
	}
	if team == nil {
		return nil, result.New(result.RouteNotAllowed, result.NotRun, "the team is not in the table")
	}
	if p.Model != "" && len(team.Models) > 0 && !team.Models[p.Model] {
		return nil, result.New(result.RouteNotAllowed, result.NotRun, "the team may not use this model")
	}
	if p.Route != "" && len(team.Routes) > 0 && !team.Routes[p.Route] {
		return nil, result.New(result.RouteNotAllowed, result.NotRun, "the team may not use this route")
	}
	return team, nil
}

// recheckTarget returns the residency rule of the model or route and refreshes
// what the permit copies from them.
func recheckTarget(e *config.Config, p *Permit) (string, error) {
	if p.Model != "" {
		if p.Team == "" {
			return "", result.New(result.UnknownKey, result.NotRun, "engines need a key")
		}
		m := e.Models[p.Model]
		if m == nil {
			return "", result.New(result.UnknownModel, result.NotRun, "no model has this name")
		}
		return m.Residency, nil
	}
	for _, r := range e.Routes {
		if r.Name != p.Route {
			continue
		}
		if p.Team == "" && !r.Open {
			return "", result.New(result.UnknownKey, result.NotRun, "the route needs a key")
		}
		p.Service, p.Tokens, p.Idempotent = r.Service, r.Tokens, r.Idempotent[p.Method]
		return r.Residency, nil
	}
	return "", result.New(result.UnknownRoute, result.NotRun, "the route is not in the table")
}

// Models returns the models that team may use, in no particular order.
func Models(e *config.Config, team *config.Team) []*config.Model {
	var out []*config.Model
	for _, m := range e.Models {
		if len(team.Models) == 0 || team.Models[m.Name] {
			out = append(out, m)
		}
	}
	return out
}

// Hop is what the sender of a forwarded request claims.
type Hop struct {
	Team, Model, Route, Method, Path string
	Allowed                          []string
}

// Forwarded decides, by the receiver's own edition, about a request that
// another instance has forwarded to region. The permit allows this region only.
func Forwarded(e *config.Config, region string, h Hop) (Permit, error) {
	p := Permit{Team: h.Team, Model: h.Model, Route: h.Route, Method: h.Method, Idempotent: h.Model != ""}
	if (h.Model == "") == (h.Route == "") {
		return p, result.New(result.HopRefused, result.NotRun, "a forwarded request needs either a model or a route")
	}
	if h.Route != "" {
		r, err := findRoute(e, h.Method, h.Path)
		if err != nil || r.Name != h.Route {
			return p, result.New(result.HopRefused, result.NotRun, "the path belongs to another route here")
		}
	}
	p, err := Recheck(e, p)
	if err != nil {
		return p, result.New(result.HopRefused, result.NotRun, "refused by the edition of the receiver").WithCause(err)
	}
	if !p.Allowed[region] || !slices.Contains(h.Allowed, region) {
		return p, result.New(result.HopRefused, result.NotRun, "residency does not allow the region of the receiver")
	}
	p.Allowed = map[string]bool{region: true}
	return p, nil
}
