package gateway

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/crash"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/internal/quota"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/routereport"
)

const testKey = "a-key-that-nobody-may-see"

type wholeShare struct{}

func (wholeShare) Share(limit int, _ string) int { return limit }

// routeState is a gateway with a random state at a virtual time.
type routeState struct {
	g    *Gateway
	view *catalog.View
	now  time.Time
	req  *routereport.Request
}

// newRouteState returns the state of a seed; equal seeds give equal states.
func newRouteState(seed uint64) *routeState {
	rng := rand.New(rand.NewPCG(seed, 11))
	s := &routeState{now: time.Unix(50_000, 0)}
	pick := func(names ...string) string { return names[rng.IntN(len(names))] }
	engine := &deployment.Service{Name: "model", MaxConns: 500, Warmup: 3 * time.Second, WarmupRate: 3, Engine: &deployment.Engine{Slots: 8, KVCacheTokens: 290_000, KVBytesPerToken: 18432, LinkBytesPerSecond: 4.6e10}}
	plain := &deployment.Service{Name: "plain", MaxConns: 100}
	config := &deployment.Config{
		Version: 7, Services: map[string]*deployment.Service{"model": engine, "plain": plain},
		TeamByKeyHash: map[string]string{hashAPIKey(testKey): "hotel"},
		Teams:         map[string]*deployment.Team{"hotel": {Name: "hotel", Rate: float64(rng.IntN(3) * 10), Burst: 20}},
		Routes: []*deployment.Route{
			{Name: "long", Host: "h", Prefix: "/long", Kind: deployment.Idempotent, MaxTargets: 2, FirstByteObjective: 1500 * time.Millisecond, Timeout: 6 * time.Second, Priority: 2, Split: []deployment.WeightedService{{Service: "model", Weight: 1}}},
			{Name: "split", Host: "h", Prefix: "/split", Kind: deployment.Idempotent, MaxTargets: 2, FirstByteObjective: 300 * time.Millisecond, Timeout: 3 * time.Second, Split: []deployment.WeightedService{{Service: "model", Weight: 1}, {Service: "plain", Weight: 3}}},
		},
	}
	if rng.IntN(4) == 0 {
		config.Teams["hotel"].AllowedRegions = []string{pick("east", "west")}
	}
	s.view = &catalog.View{PublishedState: deployment.PublishedState{Config: config, Evacuated: map[string]bool{"a2": rng.IntN(3) == 0}}, Targets: map[string]*catalog.Entry{},
		TargetsReadAt: s.now.Add(-500 * time.Millisecond), TargetsSource: "store"}
	for i := range 3 + rng.IntN(8) {
		id := fmt.Sprint("t-", i)
		e := &catalog.Entry{Target: deployment.Target{ID: id, Service: pick("model", "model", "plain"), Domain: pick("a", "a", "a2", "b"), Slots: 8, StartedMS: 1, Leaving: rng.IntN(10) == 0}, ReadAt: s.now}
		if rng.IntN(6) == 0 {
			e.WarmupUntil = s.now.Add(time.Second)
		}
		s.view.Targets[id] = e
	}
	settings := &deployment.Settings{Instance: "entry-1", Region: "east", Domain: "a", RegionByDomain: map[string]string{"a": "east", "a2": "east", "b": "west", "c": "south"}, MemoryBytes: 256 << 20,
		Bounds: deployment.Bounds{WarmupRateFactor: 1.5, WarmupSlack: 3, DrainDelay: 3 * time.Second}}
	start := s.now
	tracker := placement.NewTracker(settings, wholeShare{}, s.now.Add(-time.Hour), func() time.Duration { return s.now.Sub(start) }, func(time.Duration) {})
	var members fixedMembers
	for i := range rng.IntN(6) {
		region := pick("east", "west", "south")
		domain := map[string]string{"east": "a", "west": "b", "south": "c"}[region]
		members = append(members, heartbeat.Member{Reachable: rng.IntN(5) > 0, LastSeen: s.now.Add(-time.Duration(i+1) * 10 * time.Millisecond), Heartbeat: &peerv1.FleetRow{
			Instance: &peerv1.Identity{Instance: fmt.Sprint("other-", i), PeerAddress: fmt.Sprint("10.0.0.", i), Region: region, Domain: domain}, Ready: rng.IntN(5) > 0,
			Pools: []*peerv1.PoolUse{{Service: "model", DelayMs: uint32(rng.IntN(900)), Running: uint32(rng.IntN(20)), Capacity: 16}},
		}})
	}
	catalogManager := catalog.New(nil, nil, event.Nop(), func() time.Time { return s.now })
	s.g = New(Config{Settings: settings, Self: &peerv1.Identity{}, Catalog: catalogManager, Members: members, Tracker: tracker, Quota: quota.New("a", []string{"a", "b", "c"}),
		Crashes: crash.New(crash.Config{Clock: &clock.Virtual{}}), Log: event.Nop()})
	s.g.draining.Store(rng.IntN(10) == 0)
	s.disturb(rng)
	path := pick("/long/x?secret="+testKey, "/split/"+testKey+"/y")
	s.req = &routereport.Request{Host: "h:80", Path: path, Method: "POST", Header: http.Header{"Api-Key": {testKey}, "X-Request-Id": {"r"}}}
	if rng.IntN(2) == 0 {
		s.req.Header.Set("X-Token-Usage", "14000,100")
		s.req.Header.Set("X-Prompt-Prefix", pick("part-1", "part-1", testKey)+":13000,own:1000")
	}
	return s
}

// disturb sends requests to targets, and charges the team, at random.
func (s *routeState) disturb(rng *rand.Rand) {
	ids := make([]string, 0, len(s.view.Targets))
	for id := range s.view.Targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var running []*placement.Attempt
	for range rng.IntN(120) {
		s.now = s.now.Add(time.Duration(rng.IntN(40)) * time.Millisecond)
		e := s.view.Targets[ids[rng.IntN(len(ids))]]
		switch k := rng.IntN(10); {
		case k < 6:
			q := &placement.Query{PromptTokens: 14000, PrefixKey: fmt.Sprint("part-", rng.IntN(3)), PrefixTokens: 13000, Objective: time.Second}
			if a := s.g.Tracker.Begin(s.view, e, s.view.Config.Services[e.Service], q, placement.Choice{Delay: time.Millisecond}, s.now); a != nil {
				a.Sent(s.now)
				running = append(running, a)
			}
		case k < 8 && len(running) > 0:
			i := rng.IntN(len(running))
			running[i].FirstByte(s.now)
			running[i].End(placement.Outcome(rng.IntN(int(placement.AddressReused)+1)), s.now)
			running = slices.Delete(running, i, i+1)
		case k == 8:
			s.g.Tracker.SetHealthy(e.ID, 0, s.now)
		case k == 9:
			s.g.Quota.Admit(s.view.Config.Teams["hotel"], float64(rng.IntN(4)), s.now)
		}
	}
}

// report returns the report about the request after a time.
func (s *routeState) report(after time.Duration) (*routereport.Report, error) {
	now := s.now.Add(after)
	return s.g.routeReport(s.req, s.view, now, func(c *call) *placement.Query { return s.query(c, now) })
}

// query returns the query for a call with a random part that depends on the state only.
func (s *routeState) query(c *call, now time.Time) *placement.Query {
	q := s.g.placementQuery(s.view, c, now)
	q.Jitter = float64(len(s.view.Targets)%7) / 7
	return q
}

// decideFor makes the decision for a request as choosePlacement does.
func (s *routeState) decideFor(t *testing.T, service string, exclude map[string]bool) decision {
	t.Helper()
	c := newCall(s.req.Header, s.req.Host, s.req.Method, s.req.Path, s.now)
	if err := c.resolve(s.view); err != nil {
		t.Fatal(err)
	}
	c.service = service
	c.setDeadline()
	d := s.g.decide(s.g.Tracker, s.view, c, s.query(c, s.now), exclude, s.g.Members.Members(), s.now)
	slices.SortFunc(d.targets, func(a, b placement.TargetView) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(d.regions, func(a, b placement.RegionView) int { return cmp.Compare(a.Name, b.Name) })
	return d
}

// Guards against a report that differs from the decision about a request in the same
// state, one that changes the state, and one that shows a key. Of two equal states, one
// is reported about before the decision; a thousand random states in virtual time.
func TestRouteReportIsWhatIsDecidedNext(t *testing.T) {
	count := map[string]int{}
	for seed := range uint64(1000) {
		asked, plain := newRouteState(seed), newRouteState(seed)
		var report *routereport.Report
		// By then windows have ended and caches have lapsed; that must not show earlier.
		if _, err := asked.report(20 * time.Second); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for range 1 + seed%3 {
			var err error
			if report, err = asked.report(0); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		checkNoKey(t, report)
		if report.Draining != plain.g.Draining() {
			t.Fatalf("seed %d: draining %t", seed, report.Draining)
		}
		for i := range report.Placements {
			p := &report.Placements[i]
			before, after := plain.decideFor(t, p.Service, nil), asked.decideFor(t, p.Service, nil)
			if !reflect.DeepEqual(before.targets, after.targets) || !reflect.DeepEqual(before.regions, after.regions) {
				t.Fatalf("seed %d: the state differs after a report:\n%+v\n%+v", seed, before, after)
			}
			checkChoice(t, seed, p, p.First, p.Refusal, &before)
			checkCandidates(t, seed, p, plain.view)
			if p.First != nil {
				second := plain.decideFor(t, p.Service, map[string]bool{p.First.Target + p.First.Region: true})
				checkChoice(t, seed, p, p.Second, p.SecondRefusal, &second)
				count[fmt.Sprint("second choice ", p.Second != nil)]++
			}
			count[fmt.Sprint("target ", before.choice.Target != "", ", region ", before.choice.Region != "")]++
		}
		team := plain.view.Config.Teams["hotel"]
		want := plain.g.Quota.Admit(team, 1, plain.now)
		if got := asked.g.Quota.Admit(team, 1, asked.now); got != want {
			t.Fatalf("seed %d: the quota decides %+v after a report, %+v without", seed, got, want)
		}
		if overRate := report.Refusal != nil && report.Refusal.Name == result.OverRate.String(); overRate == want.Admitted {
			t.Fatalf("seed %d: refusal %+v, the quota decides %+v", seed, report.Refusal, want)
		} else if overRate {
			count["over rate"]++
			if ms := routereport.Millis(want.RetryAfter); report.Refusal.RetryAfterMS != ms {
				t.Fatalf("seed %d: Retry-After %d ms, want %d", seed, report.Refusal.RetryAfterMS, ms)
			}
		}
	}
	for _, kind := range []string{"target true, region false", "target false, region true", "target false, region false", "second choice true", "second choice false", "over rate"} {
		if count[kind] < 20 {
			t.Errorf("only %d states with %s", count[kind], kind)
		}
	}
	t.Log(count)
}

// checkChoice checks a reported choice or refusal against the decision. Ties between
// targets are broken by the order of a map, in the report as for requests.
func checkChoice(t *testing.T, seed uint64, p *routereport.Placement, choice *routereport.Choice, refusal *routereport.Refusal, d *decision) {
	t.Helper()
	if err := d.refusal(); err != nil {
		if want := refusalOf(err); choice != nil || refusal == nil || *refusal != *want {
			t.Fatalf("seed %d: %+v, refusal %+v, decided %+v", seed, choice, refusal, want)
		}
		return
	}
	if refusal != nil || choice == nil || choice.Region != d.choice.Region || choice.Reason != d.choice.Reason || choice.ExpectedMS != routereport.Millis(d.choice.Delay) {
		t.Fatalf("seed %d: %+v, refusal %+v, decided %+v", seed, choice, refusal, d.choice)
	}
	if choice.Target == "" {
		return
	}
	byID := func(id string) routereport.Target {
		return p.Targets[slices.IndexFunc(p.Targets, func(x routereport.Target) bool { return x.ID == id })]
	}
	reported, decided := byID(choice.Target), byID(d.choice.Target)
	if reported.Rule != "" || decided.Rule != "" || reported.ExpectedMS != decided.ExpectedMS {
		t.Fatalf("seed %d: target %+v, decided %+v", seed, reported, decided)
	}
	if choice == p.First && reported.ExpectedMS != choice.ExpectedMS {
		t.Fatalf("seed %d: first choice %+v, listed as %+v", seed, choice, reported)
	}
}

// checkCandidates checks that all listed targets of the service and the other regions
// are reported.
func checkCandidates(t *testing.T, seed uint64, p *routereport.Placement, v *catalog.View) {
	t.Helper()
	listed := 0
	for _, e := range v.Targets {
		if e.Service == p.Service && (e.Domain == "a" || e.Domain == "a2") {
			listed++
		}
	}
	if len(p.Targets) != listed || len(p.Regions) != 2 {
		t.Fatalf("seed %d: %d targets of %d, %d regions", seed, len(p.Targets), listed, len(p.Regions))
	}
}

func checkNoKey(t *testing.T, report *routereport.Report) {
	t.Helper()
	var out bytes.Buffer
	if err := report.WriteText(&out); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	for _, secret := range []string{testKey, hashAPIKey(testKey)} {
		if strings.Contains(out.String(), secret) || bytes.Contains(text, []byte(secret)) {
			t.Fatalf("the report shows a key:\n%s\n%s", out.String(), text)
		}
	}
}

// Guards against requests without a report for which the report would be made up, and
// against errors that show the key.
func TestRouteReportErrors(t *testing.T) {
	for _, x := range []struct {
		name   string
		change func(s *routeState)
		want   result.Code
	}{
		{"no configuration", func(s *routeState) { s.view.Config = nil }, result.NotReady},
		{"unknown host", func(s *routeState) { s.req.Host = "other" }, result.UnknownRoute},
		{"unknown path", func(s *routeState) { s.req.Path = "/x?" + testKey }, result.UnknownRoute},
		{"unknown key", func(s *routeState) { s.req.Header.Set("Api-Key", testKey+"x") }, result.UnknownKey},
		{"no key", func(s *routeState) { s.req.Header.Del("Api-Key") }, result.UnknownKey},
		{"unknown service", func(s *routeState) { clear(s.view.Config.Services) }, result.NoTarget},
	} {
		s := newRouteState(1)
		x.change(s)
		report, err := s.report(0)
		if err == nil || report != nil || result.FromError(err).Code != x.want || strings.Contains(err.Error(), testKey) {
			t.Errorf("%s: %v", x.name, err)
		}
	}
}

// Guards against a report in the last part of a drain, or about a blocked part of a
// prompt, that shows a place and not the refusal.
func TestRouteReportShowsRefusalsBeforePlacement(t *testing.T) {
	s := newRouteState(1)
	s.view.Config.Teams["hotel"].Rate = 0
	s.req.Header.Set("X-Prompt-Prefix", "part-1:13000,own:1000")
	check := func(want result.Code) {
		t.Helper()
		report, err := s.report(0)
		if err != nil || report.Refusal == nil || report.Refusal.Name != want.String() || len(report.Placements) == 0 {
			t.Errorf("%v: %+v, want %s", err, report, want)
		}
	}
	s.g.Crashes.Merge(&peerv1.CrashNews{Blocks: blockOf("part-1")})
	check(result.RequestBlocked)
	s.g.refusing.Store(true)
	check(result.ShuttingDown)
}

// Guards against a report that shows a key in an encoded path.
func TestRouteReportHidesEncodedKeys(t *testing.T) {
	var encoded, twice strings.Builder
	for i := range len(testKey) {
		fmt.Fprintf(&encoded, "%%%02x", testKey[i])
		fmt.Fprintf(&twice, "%%25%02x", testKey[i])
	}
	for _, x := range []struct{ path, want string }{
		{"/long/x", "/long/x"},
		{"/long/x%20y", "/long/x%20y"},
		{"/long/100%25", "/long/100%25"},
		{"/long/100%zz", "/long/100%zz"},
		{"/long/" + testKey + "/y", "/long/.../y"},
		{"/long/" + encoded.String() + "/y", "..."},
		{"/long/" + strings.Replace(testKey, "k", "%6B", 1), "..."},
		{"/long/" + twice.String(), "..."},
		{"/long/%25252541", "/long/%25252541"},
		{"/long/%2525252541", "..."},
		{"/long/%zz" + encoded.String(), "..."},
	} {
		s := newRouteState(1)
		s.req.Path = x.path
		report, err := s.report(0)
		if err != nil {
			t.Errorf("%s: %v", x.path, err)
		} else if report.Path != x.want {
			t.Errorf("%s: the report shows %s, want %s", x.path, report.Path, x.want)
		}
	}
}

// changingMembers lists other members at each call.
type changingMembers struct {
	lists []fixedMembers
	calls int
}

func (m *changingMembers) Members() []heartbeat.Member {
	m.calls++
	return m.lists[(m.calls-1)%len(m.lists)]
}

// Guards against a first or second choice that the rows of the same report contradict,
// because heartbeats arrived while the report was made.
func TestRouteReportReadsMembersOnce(t *testing.T) {
	regions := 0
	for seed := range uint64(1200) {
		s := newRouteState(seed)
		known := s.g.Members.(fixedMembers)
		members := &changingMembers{lists: []fixedMembers{nil, known, nil, known}}
		if seed%2 == 0 {
			members.lists = []fixedMembers{known, nil}
		}
		s.g.Members = members
		report, err := s.report(0)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, p := range report.Placements {
			for _, choice := range []*routereport.Choice{p.First, p.Second} {
				if choice == nil || choice.Region == "" {
					continue
				}
				regions++
				row := p.Regions[slices.IndexFunc(p.Regions, func(r routereport.Region) bool { return r.Name == choice.Region })]
				prompt := int64(0) // rounded down, unlike the sum
				if service := s.view.Config.Services[p.Service]; report.Prompt != nil && service.Engine != nil && choice.Reason != "region of the prefix owner" {
					prompt = int64(float64(report.Prompt.Tokens) / s.g.Tracker.Model(service).TokensPerMS)
				}
				if row.Source == "" || row.Rule != "" || choice.ExpectedMS-row.DelayMS-row.RoundTripMS-prompt > 1 || choice.ExpectedMS < row.DelayMS+row.RoundTripMS+prompt {
					t.Fatalf("seed %d: choice %+v, row %+v, %d ms for the prompt", seed, choice, row, prompt)
				}
			}
		}
		if members.calls != 1 {
			t.Fatalf("seed %d: the members were read %d times", seed, members.calls)
		}
	}
	if regions < 20 {
		t.Errorf("only %d choices of regions", regions)
	}
}

// Guards against one owner region for all services of a split route: each service has
// its own targets, and so its own owner.
func TestRouteReportNamesPrefixOwnerOfEachService(t *testing.T) {
	s := newRouteState(1)
	s.view.Config.Teams["hotel"].AllowedRegions = nil
	s.view.Targets = map[string]*catalog.Entry{
		"t-0": {Target: deployment.Target{ID: "t-0", Service: "model", Domain: "b", Slots: 8, StartedMS: 1}, ReadAt: s.now},
		"t-1": {Target: deployment.Target{ID: "t-1", Service: "plain", Domain: "a", Slots: 8, StartedMS: 1}, ReadAt: s.now},
	}
	s.req.Path = "/split/x"
	s.req.Header.Set("X-Token-Usage", "14000,100")
	s.req.Header.Set("X-Prompt-Prefix", "part-1:13000,own:1000")
	report, err := s.report(0)
	if err != nil || len(report.Placements) != 2 {
		t.Fatalf("%v: %+v", err, report)
	}
	if model, plain := report.Placements[0].PrefixOwnerRegion, report.Placements[1].PrefixOwnerRegion; model != "west" || plain != "east" {
		t.Errorf("owners in %q and %q, want west and east", model, plain)
	}
}

// Guards against an expected delay of 0 for targets that only residency excludes.
func TestRouteReportExpectsDelayWhereResidencyForbids(t *testing.T) {
	seen := 0
	for seed := range uint64(200) {
		s := newRouteState(seed)
		s.view.Config.Teams["hotel"].AllowedRegions = []string{"west"}
		forbidden, err := s.report(0)
		if err != nil {
			t.Fatal(err)
		}
		s.view.Config.Teams["hotel"].AllowedRegions = nil
		allowed, err := s.report(0)
		if err != nil {
			t.Fatal(err)
		}
		for i, p := range forbidden.Placements {
			for j, target := range p.Targets {
				other := allowed.Placements[i].Targets[j]
				if target.ExpectedMS != other.ExpectedMS || target.Estimated && target.Rule == "" {
					t.Fatalf("seed %d: %+v, without residency %+v", seed, target, other)
				}
				if target.Rule == residencyRule && target.ExpectedMS > 0 {
					seen++
				}
			}
		}
	}
	if seen < 20 {
		t.Errorf("only %d targets that residency excludes", seen)
	}
}

// Guards against an age of heartbeats where there are none.
func TestRouteReportWithoutOtherInstances(t *testing.T) {
	s := newRouteState(1)
	s.g.Members = fixedMembers(nil)
	report, err := s.report(0)
	if err != nil || report.Figures.OldestHeartbeatMS != nil {
		t.Errorf("%v: %+v", err, report.Figures)
	}
	s.g.Members = fixedMembers{{Reachable: true, LastSeen: s.now.Add(-20 * time.Millisecond), Heartbeat: &peerv1.FleetRow{Instance: &peerv1.Identity{Region: "east"}}}}
	if report, err = s.report(0); err != nil || report.Figures.OldestHeartbeatMS == nil || *report.Figures.OldestHeartbeatMS != 20 {
		t.Errorf("%v: %+v", err, report.Figures)
	}
}

// Guards against the end of a backoff for a target that is down: it is used again only
// after a health check.
func TestRouteReportGivesOneEndOfAvoidance(t *testing.T) {
	s := newRouteState(1)
	s.view.Targets = map[string]*catalog.Entry{"t-0": {Target: deployment.Target{ID: "t-0", Service: "model", Domain: "a", Slots: 8, StartedMS: 1}, ReadAt: s.now}}
	s.req.Path = "/long/x"
	attempt := func(outcome placement.Outcome) {
		t.Helper()
		a := s.g.Tracker.Begin(s.view, s.view.Targets["t-0"], s.view.Config.Services["model"], &placement.Query{Objective: time.Second}, placement.Choice{}, s.now)
		if a == nil {
			t.Fatal("no attempt")
		}
		a.Sent(s.now)
		a.End(outcome, s.now)
	}
	check := func(rule placement.Rule, avoided bool) {
		t.Helper()
		report, err := s.report(0)
		if err != nil {
			t.Fatal(err)
		}
		if x := report.Placements[0].Targets[0]; x.Rule != string(rule) || x.AvoidedMS > 0 != avoided {
			t.Errorf("%+v, want the rule %q, avoided for a time %t", x, rule, avoided)
		}
	}
	s.g.Tracker.SetHealthy("t-0", 0, s.now)
	attempt(placement.Rejected)
	check(placement.RuleBackoff, true)
	s.now = s.now.Add(time.Second)
	s.g.Tracker.SetHealthy("t-0", 0, s.now)
	attempt(placement.Refused)
	check(placement.RuleDown, false)
}

// blockOf returns the news of a block of a part of prompts.
func blockOf(part string) []*peerv1.CrashBlock {
	s := crash.Suspects(crash.Fingerprint{}, []string{part})[1]
	return []*peerv1.CrashBlock{{Parts: [][]byte{s.Fingerprint[:]}, Version: 1, RemainingMs: 600_000, Crashes: 5}}
}
