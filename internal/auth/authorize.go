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

// Permit states what one configuration allows a request to do.
type Permit struct {
	// Team is empty if an open route is called without a key.
	Team string
	// KeyHash identifies the caller's key if HasKey is set; a forwarded
	// request carries no key.
	KeyHash config.KeyHash
	HasKey  bool
	// Model is set for requests to engines, Route and Service for requests
	// to plain services.
	Model, Route, Service string
	// Method is the HTTP method of a request to a plain service.
	Method string
	// Idempotent requests may be retried.
	Idempotent bool
	// TokenCost is the fixed number of tokens that a request to a route
	// debits.
	TokenCost float64
	// AllowedRegions are the regions that the residency rules allow.
	AllowedRegions map[string]bool
	// Revision is that of the configuration that the decision is based on.
	Revision int64
}

// BearerKey returns the bearer token of the Authorization header, or "".
func BearerKey(h http.Header) string {
	scheme, key, ok := strings.Cut(h.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// Authenticate returns the team to which a caller's key belongs, and the hash of
// the key.
func Authenticate(cfg *config.Config, key string) (*config.Team, config.KeyHash, error) {
	hash := config.KeyHash(sha256.Sum256([]byte(key)))
	team := teamByKeyHash(cfg, hash)
	if key == "" || team == nil {
		return nil, hash, result.New(result.UnknownKey, result.NotRun, "the key is missing or unknown")
	}
	return team, hash, nil
}

// teamByKeyHash returns the team of the key with this hash, or nil. The timing of
// the map lookup can reveal something about hashes only, not about keys; the
// comparison itself takes constant time.
func teamByKeyHash(cfg *config.Config, hash config.KeyHash) *config.Team {
	k := cfg.Keys[hash]
	if k == nil || subtle.ConstantTimeCompare(k.Hash[:], hash[:]) != 1 {
		return nil
	}
	return cfg.Teams[k.Team]
}

// AuthorizeModel authorizes a request to a model.
func AuthorizeModel(cfg *config.Config, key, model string) (Permit, error) {
	team, hash, err := Authenticate(cfg, key)
	if err != nil {
		return Permit{}, err
	}
	p := Permit{Team: team.Name, KeyHash: hash, HasKey: true, Model: model, Idempotent: true}
	return Recheck(cfg, p)
}

// AuthorizeRoute authorizes a request to a plain service. An open route needs no
// key, but a key that is sent must be valid: otherwise the residency rule of its
// team would be ignored without notice.
func AuthorizeRoute(cfg *config.Config, key, method, path string) (Permit, error) {
	r, err := findRoute(cfg, method, path)
	if err != nil {
		return Permit{}, err
	}
	p := Permit{Route: r.Name, Method: method}
	if key != "" || !r.Open {
		team, hash, err := Authenticate(cfg, key)
		if err != nil {
			return Permit{}, err
		}
		p.Team, p.KeyHash, p.HasKey = team.Name, hash, true
	}
	return Recheck(cfg, p)
}

func findRoute(cfg *config.Config, method, path string) (*config.Route, error) {
	if !isUnambiguousPath(path) {
		return nil, result.New(result.BadRequest, result.NotRun, "the path has dot segments or encoded separators")
	}
	r := cfg.RouteFor(path)
	if r == nil || !r.Methods[method] {
		return nil, result.New(result.UnknownRoute, result.NotRun, "no route for %s on this path", method)
	}
	return r, nil
}

// isUnambiguousPath reports whether path cannot be resolved by a service to
// another route than the one whose rules were checked.
func isUnambiguousPath(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	lower := strings.ToLower(path)
	for _, sequence := range []string{"%2e", "%2f", "%5c", "\\", "//"} {
		if strings.Contains(lower, sequence) {
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

// Recheck repeats the authorization of a request with permit p, based on cfg.
// The returned permit contains the regions that cfg allows.
func Recheck(cfg *config.Config, p Permit) (Permit, error) {
	var teamRule string
	if p.HasKey || p.Team != "" {
		team, err := recheckTeam(cfg, p)
		if err != nil {
			return p, err
		}
		teamRule = team.Residency
	}
	otherRule, err := recheckModelOrRoute(cfg, &p)
	if err != nil {
		return p, err
	}
	p.AllowedRegions, p.Revision = cfg.AllowedRegions(teamRule, otherRule), cfg.Revision
	if len(p.AllowedRegions) == 0 {
		return p, result.New(result.NoRegionAllowed, result.NotRun, "the residency rules allow no region")
	}
	return p, nil
}

func recheckTeam(cfg *config.Config, p Permit) (*config.Team, error) {
	team := cfg.Teams[p.Team]
	if p.HasKey {
		if owner := teamByKeyHash(cfg, p.KeyHash); owner == nil || owner.Name != p.Team {
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

// recheckModelOrRoute returns the residency rule of the permit's model or route.
// For a route, it also updates the fields that the permit copies from the route.
func recheckModelOrRoute(cfg *config.Config, p *Permit) (string, error) {
	if p.Model != "" {
		if p.Team == "" {
			return "", result.New(result.UnknownKey, result.NotRun, "engines need a key")
		}
		m := cfg.Models[p.Model]
		if m == nil {
			return "", result.New(result.UnknownModel, result.NotRun, "no model has this name")
		}
		return m.Residency, nil
	}
	for _, r := range cfg.Routes {
		if r.Name != p.Route {
			continue
		}
		if p.Team == "" && !r.Open {
			return "", result.New(result.UnknownKey, result.NotRun, "the route needs a key")
		}
		p.Service, p.TokenCost, p.Idempotent = r.Service, r.Tokens, r.Idempotent[p.Method]
		return r.Residency, nil
	}
	return "", result.New(result.UnknownRoute, result.NotRun, "the route is not in the table")
}

// AllowedModels returns the models that team may use, in no particular order.
func AllowedModels(cfg *config.Config, team *config.Team) []*config.Model {
	var out []*config.Model
	for _, m := range cfg.Models {
		if len(team.Models) == 0 || team.Models[m.Name] {
			out = append(out, m)
		}
	}
	return out
}

// HopClaims is what the sender of a forwarded request claims about it.
type HopClaims struct {
	Team, Model, Route, Method, Path string
	AllowedRegions                   []string
}

// AuthorizeForwarded authorizes a request that another instance has forwarded to
// region, the receiver's own, based on the receiver's configuration. The permit
// allows this region only.
func AuthorizeForwarded(cfg *config.Config, region string, claims HopClaims) (Permit, error) {
	p := Permit{Team: claims.Team, Model: claims.Model, Route: claims.Route, Method: claims.Method, Idempotent: claims.Model != ""}
	if (claims.Model == "") == (claims.Route == "") {
		return p, result.New(result.HopRefused, result.NotRun, "a forwarded request needs either a model or a route")
	}
	if claims.Route != "" {
		r, err := findRoute(cfg, claims.Method, claims.Path)
		if err != nil || r.Name != claims.Route {
			return p, result.New(result.HopRefused, result.NotRun, "the path belongs to another route here")
		}
	}
	p, err := Recheck(cfg, p)
	if err != nil {
		return p, result.New(result.HopRefused, result.NotRun, "refused by the edition of the receiver").WithCause(err)
	}
	if !p.AllowedRegions[region] || !slices.Contains(claims.AllowedRegions, region) {
		return p, result.New(result.HopRefused, result.NotRun, "residency does not allow the region of the receiver")
	}
	p.AllowedRegions = map[string]bool{region: true}
	return p, nil
}
