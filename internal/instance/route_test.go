package instance

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/routereport"
)

// queryRoute asks an instance where a request of the hotel would go.
func (inst *testInstance) queryRoute(t *testing.T, path, key string) (*routereport.Report, error) {
	t.Helper()
	r := &routereport.Request{Host: "shop.example", Path: path, Method: http.MethodGet, Header: http.Header{"Api-Key": {key}}}
	report, body, err := routereport.Query(t.Context(), inst.metricsAddress(), r)
	if strings.Contains(string(body), key) || err != nil && strings.Contains(err.Error(), key) {
		t.Errorf("the answer shows the key: %s, %v", body, err)
	}
	return report, err
}

// Guards against a query that reaches a target, counts against the team, or names
// another place than the one to which the request then goes.
func TestRouteQueryOfRunningInstance(t *testing.T) {
	const key = "key-of-the-hotel"
	d := newTestDeployment(t)
	d.publishConfig(func(config map[string]any) {
		team := config["tenants"].([]any)[0].(map[string]any)
		team["rate_per_s"], team["burst"] = 0.001, 8
	})
	inst := d.startInstance("a")
	if _, err := inst.queryRoute(t, "/safe/x", key); err != nil && !strings.Contains(err.Error(), "not_ready") {
		t.Errorf("before the configuration is known: %v", err)
	}
	eventually(t, "the configuration is known", func() bool { return inst.gateway.Ready() })
	report, err := inst.queryRoute(t, "/safe/x", key)
	if err != nil || len(report.Placements) != 1 || report.Placements[0].Refusal == nil || report.Placements[0].Refusal.Name != "no_slot" {
		t.Fatalf("without a target: %+v, %v", report, err)
	}
	target := newFakeTarget(t, "t-1")
	d.listTarget(target, "a", "ready", 1)
	eventually(t, "the target is listed", func() bool { return len(inst.catalog.Current().Targets) == 1 })
	runs := target.runCount()
	for range 20 {
		if report, err = inst.queryRoute(t, "/safe/x?"+key, key); err != nil {
			t.Fatal(err)
		}
	}
	if first := report.Placements[0].First; first == nil || first.Target != "t-1" || report.Team != "hotel" || report.Instance != inst.settings.Instance {
		t.Errorf("report %+v", report)
	}
	if ran := target.runCount() - runs; ran != 0 {
		t.Errorf("the target has run %d requests", ran)
	}
	if report.Allowance == nil || report.Allowance.Level <= 0 {
		t.Errorf("allowance %+v after queries only", report.Allowance)
	}
	if res := sendRequest("GET", inst.url("/safe/x"), nil); res.status != http.StatusOK || !strings.HasPrefix(res.body, "t-1 ") {
		t.Errorf("the request itself: %+v", res)
	}
	for path, want := range map[string]string{"/nothing": "unknown_route", "/safe/x": "unknown_key"} {
		if _, err := inst.queryRoute(t, path, "wrong-key-of-somebody"); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %s", path, err, want)
		}
	}
	inst.gateway.BeginDrain()
	if report, err := inst.queryRoute(t, "/safe/x", key); err != nil || !report.Draining {
		t.Errorf("while draining: %+v, %v", report, err)
	}
	if log := inst.log.String(); strings.Contains(log, key) || strings.Contains(log, "wrong-key-of-somebody") {
		t.Error("the log shows a key")
	}
	if text, err := json.Marshal(report); err != nil || !strings.Contains(string(text), `"targets_source":"store"`) {
		t.Errorf("%s, %v", text, err)
	}
}
