package config

import (
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/strictini"
)

func readExample(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile("../../examples/" + name + "/table.ini")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func mustParse(t testing.TB, text []byte) *Config {
	t.Helper()
	cfg, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// Guards against example configurations that an instance would reject, and
// against a route prefix that matches within a path segment.
func TestExamples(t *testing.T) {
	for _, name := range []string{"ramdin", "peachtree"} {
		cfg := mustParse(t, readExample(t, name))
		if len(cfg.Regions) != 3 || len(cfg.Teams) != 5 || len(cfg.Keys) != 5 || len(cfg.Targets) != 15 || len(cfg.Links) != 3 {
			t.Errorf("%s: %d regions, %d teams, %d keys, %d targets, %d links", name, len(cfg.Regions), len(cfg.Teams), len(cfg.Keys), len(cfg.Targets), len(cfg.Links))
		}
		if r := cfg.RouteFor("/orders/bookings/7"); r == nil || r.Service != "orders" || r.Idempotent["POST"] || !r.Idempotent["GET"] {
			t.Errorf("%s: bookings are routed to %+v", name, r)
		}
		if cfg.RouteFor("/orders/bookings-internal") != nil {
			t.Errorf("%s: a prefix matches within a path segment", name)
		}
	}
}

const smallConfig = `[region a]
seats = 10.0.0.1:1
[region b]
seats = 10.0.0.2:1
[model m]
max_output = 10
[team t]
rate = 1
burst = 100
`

// Guards against faults that are accepted silently or reported without their
// line. Each case appends a fault to smallConfig; want is the line number and
// the start of the message.
func TestFaults(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	for name, c := range map[string]struct{ text, want string }{
		"unknown section":         {"[zone a]\n", "10: unknown section [zone a]; accepted: [region N]"},
		"unknown key":             {"[service s]\nrate = 1\n", "11: [service s] has no key rate; accepted: max_run"},
		"duplicate section":       {"[team t]\nrate = 5\n", "10: section [team t] is a duplicate of line 7"},
		"duplicate key":           {"[service s]\nmax_run = 1s\nmax_run = 2s\n", "12: key max_run of [service s] is a duplicate of line 11"},
		"unit missing":            {"[service s]\nmax_run = 5\n", "11: [service s] max_run: \"5\" is not accepted; accepted: a duration with a unit"},
		"not a number":            {"[policy]\ncost_weight = NaN\n", "11: [policy] cost_weight: \"NaN\" is not accepted; accepted: a number from 0"},
		"inline comment":          {"[policy]\nhop_slots = 5 # five\n", "11: [policy] hop_slots"},
		"quoted":                  {"[policy]\nhop_slots = \"5\"\n", "11: key hop_slots: quotes"},
		"interpolation":           {"[policy]\nhop_slots = %(cost_weight)s\n", "11: [policy] hop_slots"},
		"unknown team":            {"[key k]\nteam = nobody\nsha256 = " + hash + "\n", "11: [key k] team: there is no section [team nobody]"},
		"hash twice":              {"[key k]\nteam = t\nsha256 = " + hash + "\n[key l]\nteam = t\nsha256 = " + hash + "\n", "15: [key l] sha256: the same hash"},
		"hash too short":          {"[key k]\nteam = t\nsha256 = abcd\n", "12: [key k] sha256: accepted: 64"},
		"unknown region":          {"[target x]\nkind = engine\naddress = 10.1.0.1:1\nregion = c\ndomain = d\ncapacity = 1\nmodels = m\n", "13: [target x] region: there is no section [region c]"},
		"address of a voter":      {"[target x]\nkind = engine\naddress = 10.0.0.1:1\nregion = a\ndomain = d\ncapacity = 1\nmodels = m\n", "12: [target x] address: 10.0.0.1:1 is the address of [region a] too"},
		"host name":               {"[target x]\nkind = engine\naddress = host:1\nregion = a\ndomain = d\ncapacity = 1\nmodels = m\n", "12: [target x] address: \"host:1\" is not accepted"},
		"service of an engine":    {"[service s]\n[target x]\nkind = engine\naddress = 10.1.0.1:1\nregion = a\ndomain = d\ncapacity = 1\nmodels = m\nservice = s\n", "18: [target x] service: a target of kind engine"},
		"no region allowed":       {"[residency r]\nregions = c\n", "11: [residency r] regions: the rule allows no region"},
		"rules without overlap":   {"[residency ra]\nregions = a\n[residency rb]\nregions = b\n[model n]\nmax_output = 1\nresidency = rb\n[team u]\nrate = 1\nburst = 100\nresidency = ra\nmodels = n\n", "21: [team u] models: the residency rules of the team and of [model n] allow no common region"},
		"burst too small":         {"[team u]\nrate = 1\nburst = 21\n", "12: [team u] burst: one request to [model m] may need 11 tokens"},
		"shares":                  {"[region c]\nshare = 0.4\nseats = 10.0.0.3:1\n", "1: [region a] share: other regions state a share"},
		"seats empty":             {"[region c]\nseats = ,\n", "11: [region c] seats: empty item"},
		"seats missing":           {"[region c]\n", "10: [region c] needs the key seats"},
		"voter of two regions":    {"[region c]\nseats = 10.0.0.1:1\n", "11: [region c] seats: 10.0.0.1:1 is the address of [region a] too"},
		"link twice":              {"[link a b]\nbandwidth = 1Mbit\ndelay = 1ms\n[link b a]\nbandwidth = 1Mbit\ndelay = 1ms\n", "13: [link b a]: the link between a and b is published twice"},
		"bandwidth unit":          {"[link a b]\nbandwidth = 1Mb\ndelay = 1ms\n", "11: [link a b] bandwidth"},
		"prefix of the instance":  {"[service s]\n[route r]\nprefix = /v1/chat\nservice = s\nmethods = GET\n", "12: [route r] prefix: \"/v1/chat\" would cover"},
		"prefix twice":            {"[service s]\n[route r]\nprefix = /x\nservice = s\nmethods = GET\n[route q]\nprefix = /x/\nservice = s\nmethods = GET\n", "16: [route q] prefix: the same prefix"},
		"idempotent not a method": {"[service s]\n[route r]\nprefix = /x\nservice = s\nmethods = GET\nidempotent = POST\n", "15: [route r] idempotent: POST is not listed"},
		"open route with tokens":  {"[service s]\n[route r]\nprefix = /x\nservice = s\nmethods = GET\nopen = true\ntokens = 1\n", "16: [route r] tokens: an open route"},
	} {
		_, err := Parse([]byte(smallConfig + c.text))
		if err == nil || !strings.Contains("\n"+err.Error(), "\nline "+c.want) {
			t.Errorf("%s: got %v, want %q", name, err, c.want)
		}
	}
}

// Guards against shares with which the regions together exceed a team's rate.
func TestSharesSum(t *testing.T) {
	text := "[region a]\nshare = 0.6\nseats = 10.0.0.1:1\n[region b]\nshare = 0.5\nprevious_share = 0.4\nseats = 10.0.0.2:1\n"
	if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), "line 2: [region a] share: the shares of all regions sum to 1.1") {
		t.Fatalf("got %v", err)
	}
	cfg := mustParse(t, []byte(strings.Replace(text, "0.6", "0.5", 1)))
	if got := cfg.Regions["b"].EffectiveShare(); got != 0.4 {
		t.Fatalf("effective share %g, want the smaller of 0.5 and 0.4", got)
	}
}

// Guards against a parser that stops at the first fault, and against faults
// whose order depends on map iteration.
func TestAllFaultsAtOnce(t *testing.T) {
	text := []byte("x = 1\n[region a\n[region b]\nshards = 0\nseats = 1.2.3.4:1\n[team t]\nrate = -1\nburst = 5\nmodels = none\n[odd]\n")
	_, first := Parse(text)
	var faults strictini.Faults
	if !errors.As(first, &faults) || len(faults) != 6 {
		t.Fatalf("want 6 faults, got:\n%v", first)
	}
	for range 50 {
		if _, err := Parse(text); err.Error() != first.Error() {
			t.Fatalf("faults differ between two runs:\n%v\n%v", first, err)
		}
	}
}

// Guards against unbounded work on a text over the size limit.
func TestTooLarge(t *testing.T) {
	if _, err := Parse(make([]byte, MaxTextBytes+1)); err == nil || !strings.Contains(err.Error(), "at most 1000000") {
		t.Fatal(err)
	}
}
