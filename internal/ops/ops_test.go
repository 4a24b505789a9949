package ops

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/audit"
	"github.com/wigeonhill/wigeonhill/internal/event"
)

func newTestServer(t *testing.T, ready error) *httptest.Server {
	t.Helper()
	now := func() time.Time { return time.Unix(1000, 0) }
	teams := NewTeamStats(now)
	teams.RecordRequest("hotels", true, 10)
	teams.RecordRequest("stalls", false, 0)
	records := audit.NewRequestRecords(10, now)
	records.AddStep("req-1", "refused", "balance 3 tokens, needs 10")
	s := NewServer(Config{
		Listener: (net.Listener)(nil), Metrics: NewMetrics(teams), Teams: teams,
		Trail: audit.NewMemoryTrail(10, event.Nop(), now), Records: records,
		Status: func() any { return map[string]string{"instance": "a"} },
		Team:   func(string) any { return nil },
		Ready:  func() error { return ready },
		Alive:  func() error { return nil },
	})
	srv := httptest.NewServer(s.http.Handler)
	t.Cleanup(srv.Close)
	return srv
}

func getBody(t *testing.T, url string) (int, string) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var b strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		b.Write(buf[:n])
		if err != nil {
			return resp.StatusCode, b.String()
		}
	}
}

// Guards against a liveness check that fails while the instance is not ready: a
// supervisor would restart an instance that only has no configuration yet.
func TestReadinessDiffersFromLiveness(t *testing.T) {
	srv := newTestServer(t, errors.New("no configuration yet"))
	if code, body := getBody(t, srv.URL+"/readyz"); code != 503 || !strings.Contains(body, "no configuration yet") {
		t.Fatalf("readyz: %d %s", code, body)
	}
	if code, _ := getBody(t, srv.URL+"/livez"); code != 200 {
		t.Fatalf("livez: %d", code)
	}
}

// Guards against a status page that omits why a request was refused.
func TestRequestRecordGivesReason(t *testing.T) {
	srv := newTestServer(t, nil)
	if _, body := getBody(t, srv.URL+"/status/requests/req-1"); !strings.Contains(body, "needs 10") {
		t.Fatalf("body %s", body)
	}
	if code, _ := getBody(t, srv.URL+"/status/requests/none"); code != 404 {
		t.Fatalf("unknown request: %d", code)
	}
}

// Guards against a missing metric and against one time series per team.
func TestMetricsWithoutTeamLabels(t *testing.T) {
	srv := newTestServer(t, nil)
	_, body := getBody(t, srv.URL+"/metrics")
	if !strings.Contains(body, "wigeonhill_worst_team_served_ratio 0") {
		t.Error("metric of the worst-served team is missing")
	}
	if strings.Contains(body, "hotels") {
		t.Error("a metric has a team label")
	}
}

// Guards against a list that does not start with the worst-served team, and
// against counts that stay after their window has passed.
func TestTeamCountsExpire(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewTeamStats(func() time.Time { return now })
	s.RecordRequest("good", true, 1)
	s.RecordRequest("bad", false, 0)
	if got := s.Totals(); len(got) != 2 || got[0].Team != "bad" {
		t.Fatalf("got %+v", got)
	}
	now = now.Add(3 * windowLength)
	if got := s.Totals(); len(got) != 0 {
		t.Fatalf("counts of a past window: %+v", got)
	}
}

// Guards against a link cost that includes bytes of requests served in the local
// region.
func TestLinkCostCountsRemoteBytes(t *testing.T) {
	m := NewMetrics(NewTeamStats(time.Now))
	m.RecordRequest(FinishedRequest{Team: "a", Class: "chat", Bytes: 5e9, LinkCostPerGB: 3})
	m.RecordRequest(FinishedRequest{Team: "a", Class: "chat", RemoteRegion: "south", Bytes: 2e9, LinkCostPerGB: 3})
	families, err := m.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == "wigeonhill_link_cost_total" {
			if got := f.GetMetric()[0].GetCounter().GetValue(); got != 6 {
				t.Fatalf("cost %g, want 6", got)
			}
			return
		}
	}
	t.Fatal("link cost metric is missing")
}
