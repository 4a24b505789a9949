package auth

import (
	"crypto/sha256"
	"net/http"
	"slices"
	"sort"
	"strings"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// Team home has a residency rule and lists of models and routes; team wide has
// none of these.
const (
	homeKey = "key-of-team-home"
	wideKey = "key-of-team-wide"
)

func testConfig() *config.Config {
	set := func(names ...string) map[string]bool {
		m := map[string]bool{}
		for _, n := range names {
			m[n] = true
		}
		return m
	}
	cfg := &config.Config{
		Regions:   map[string]*config.Region{"a": {}, "b": {}, "c": {}},
		Residency: map[string]*config.Residency{"ab": {Regions: set("a", "b")}, "bc": {Regions: set("b", "c")}, "c": {Regions: set("c")}},
		Teams: map[string]*config.Team{"home": {Name: "home", Residency: "ab", Models: set("m", "far"), Routes: set("stock")},
			"wide": {Name: "wide"}},
		Keys:   map[config.KeyHash]*config.Key{},
		Models: map[string]*config.Model{"m": {Name: "m", Residency: "bc"}, "far": {Name: "far", Residency: "c"}, "free": {Name: "free"}, "lost": {Name: "lost", Residency: "unknown"}},
		Routes: []*config.Route{
			{Name: "stock", Prefix: "/stock", Service: "s", Methods: set("GET", "POST"), Idempotent: set("GET"), Tokens: 2},
			{Name: "open", Prefix: "/open", Service: "s", Methods: set("GET"), Open: true},
		},
	}
	for key, team := range map[string]string{homeKey: "home", wideKey: "wide"} {
		h := config.KeyHash(sha256.Sum256([]byte(key)))
		cfg.Keys[h] = &config.Key{Team: team, Hash: h}
	}
	return cfg
}

func regionNames(p Permit) string {
	var out []string
	for r := range p.AllowedRegions {
		out = append(out, r)
	}
	sort.Strings(out)
	return strings.Join(out, "")
}

// Guards against a permit for a region that only one of the two residency rules
// allows, and against a permit by a rule, team or key that is not in the
// configuration.
func TestAuthorize(t *testing.T) {
	cfg := testConfig()
	model := func(key, m string) func() (Permit, error) {
		return func() (Permit, error) { return AuthorizeModel(cfg, key, m) }
	}
	route := func(key, method, path string) func() (Permit, error) {
		return func() (Permit, error) { return AuthorizeRoute(cfg, key, method, path) }
	}
	for name, c := range map[string]struct {
		authorize func() (Permit, error)
		code      result.Code
		regions   string
	}{
		"both rules":          {model(homeKey, "m"), 0, "b"},
		"one rule":            {model(wideKey, "m"), 0, "bc"},
		"no rule":             {model(wideKey, "free"), 0, "abc"},
		"no common region":    {model(homeKey, "far"), result.NoRegionAllowed, ""},
		"unknown rule":        {model(wideKey, "lost"), result.NoRegionAllowed, ""},
		"model not allowed":   {model(homeKey, "free"), result.RouteNotAllowed, ""},
		"unknown model":       {model(wideKey, "none"), result.UnknownModel, ""},
		"unknown key":         {model("other", "m"), result.UnknownKey, ""},
		"no key":              {model("", "m"), result.UnknownKey, ""},
		"route":               {route(homeKey, "POST", "/stock/1"), 0, "ab"},
		"route needs a key":   {route("", "GET", "/stock/1"), result.UnknownKey, ""},
		"open route":          {route("", "GET", "/open"), 0, "abc"},
		"open route, bad key": {route("other", "GET", "/open"), result.UnknownKey, ""},
		"open, not allowed":   {route(homeKey, "GET", "/open"), result.RouteNotAllowed, ""},
		"method":              {route(homeKey, "PUT", "/stock/1"), result.UnknownRoute, ""},
		"dot segment":         {route(homeKey, "GET", "/stock/../open"), result.BadRequest, ""},
		"encoded slash":       {route(homeKey, "GET", "/stock/..%2Fopen"), result.BadRequest, ""},
	} {
		p, err := c.authorize()
		if c.code == 0 && (err != nil || regionNames(p) != c.regions) || c.code != 0 && (err == nil || result.FromError(err).Code != c.code) {
			t.Errorf("%s: %v %v, want %v %q", name, regionNames(p), err, c.code, c.regions)
		}
	}
	p, _ := AuthorizeRoute(cfg, homeKey, "POST", "/stock/1")
	if p.Idempotent || p.TokenCost != 2 {
		t.Errorf("%+v", p)
	}
	// The key now belongs to another team.
	cfg.Keys[p.KeyHash].Team = "wide"
	if _, err := Recheck(cfg, p); err == nil || result.FromError(err).Code != result.KeyWithdrawn {
		t.Error(err)
	}
}

// Guards against a caller's key or a hop-by-hop or reserved header that is passed
// on to a target.
func TestKeyIsRemoved(t *testing.T) {
	h := http.Header{"Authorization": {"Bearer " + homeKey}, "Connection": {"close, X-Mine", "X-Other"}, "X-Mine": {"1"}, "X-Other": {"1"}, "Te": {"trailers"},
		"Cookie": {"a=1", "k=" + homeKey}, "X-Attempt": {"9"}, "X-Short": {"abc"}, "Accept": {"text/plain"}}
	got := EndToEndHeaders(h, homeKey)
	var names []string
	for name := range got {
		names = append(names, name)
	}
	sort.Strings(names)
	if !slices.Equal(names, []string{"Accept", "X-Short"}) || len(h) != 9 {
		t.Errorf("%v", names)
	}
	if got := EndToEndHeaders(h, "abc"); got.Get("X-Short") != "" || got.Get("Accept") == "" {
		t.Errorf("a short key: %v", got)
	}
	if got := StripKeyFromQuery("a=1&k="+homeKey+"&b=%20", homeKey); got != "a=1&b=%20" {
		t.Error(got)
	}
	if CheckNoKey("/x/key-of%2Dteam-home", nil, homeKey) == nil || CheckNoKey("/x", []byte("..."+homeKey), homeKey) == nil || CheckNoKey("/x", []byte("y"), homeKey) != nil {
		t.Error("a key in the path or body was not found")
	}
}
