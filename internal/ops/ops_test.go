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
	teams.Finished("hotels", true, 10)
	teams.Finished("stalls", false, 0)
	records := audit.NewRecords(10, now)
	records.Note("req-1", "refused", "balance 3 tokens, needs 10")
	s := NewServer(Config{
		Listener: (net.Listener)(nil), Metrics: NewMetrics(teams), Teams: teams,
		Trail: audit.NewRing(10, event.Nop(), now), Records: records,
		Status: func() any { return map[string]string{"instance": "a"} },
		Team:   func(string) any { return nil },
		Ready:  func() error { return ready },
		Alive:  func() error { return nil },
	})
	srv := httptest.NewServer(s.http.Handler)
	t.Cleanup(srv.Close)
	return srv
}

func get(t *testing.T, url string) (int, string) {
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

// Guards against an instance that is restarted because it is not ready yet.
func TestReadinessDiffersFromLiveness(t *testing.T) {
	srv := newTestServer(t, errors.New("no edition yet"))
	if code, body := get(t, srv.URL+"/readyz"); code != 503 || !strings.Contains(body, "no edition yet") {
		t.Fatalf("readyz: %d %s", code, body)
	}
	if code, _ := get(t, srv.URL+"/livez"); code != 200 {
		t.Fatalf("livez: %d", code)
	}
}

// Guards against a status page that cannot say why a request was refused.
func TestRequestRecordGivesReason(t *testing.T) {
	srv := newTestServer(t, nil)
	if _, body := get(t, srv.URL+"/status/requests/req-1"); !strings.Contains(body, "needs 10") {
		t.Fatalf("body %s", body)
	}
	if code, _ := get(t, srv.URL+"/status/requests/none"); code != 404 {
		t.Fatalf("unknown request: %d", code)
	}
}

// Guards against a missing measure and against a series per team.
func TestMetricsWithoutTeamLabels(t *testing.T) {
	srv := newTestServer(t, nil)
	_, body := get(t, srv.URL+"/metrics")
	if !strings.Contains(body, "wigeonhill_worst_team_served_ratio 0") {
		t.Error("worst-served team is missing")
	}
	if strings.Contains(body, "hotels") {
		t.Error("a metric has a team label")
	}
}

// Guards against the wrong team shown first and against figures that never age.
func TestTeamFiguresAge(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewTeamStats(func() time.Time { return now })
	s.Finished("good", true, 1)
	s.Finished("bad", false, 0)
	if got := s.Figures(); len(got) != 2 || got[0].Team != "bad" {
		t.Fatalf("got %+v", got)
	}
	now = now.Add(3 * statWindow)
	if got := s.Figures(); len(got) != 0 {
		t.Fatalf("old figures: %+v", got)
	}
}

// Guards against a cost that counts something else than the bytes sent away.
func TestLinkCostCountsBytesSentAway(t *testing.T) {
	m := NewMetrics(NewTeamStats(time.Now))
	m.RequestFinished(Finished{Team: "a", Class: "chat", BytesAway: 5e9, LinkCostGB: 3})
	m.RequestFinished(Finished{Team: "a", Class: "chat", ServedRegion: "south", BytesAway: 2e9, LinkCostGB: 3})
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
	t.Fatal("no link cost")
}
