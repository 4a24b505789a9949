package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/fleet"
	"github.com/wigeonhill/wigeonhill/internal/load"
	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// ask sends one request with a key and returns the status and the body.
func (h *harness) ask(in *fleet.Proc, key, method, path, body string) (int, string) {
	h.t.Helper()
	ctx, cancel := context.WithTimeout(h.ctx, 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.Address+path, strings.NewReader(body))
	h.must(err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw)
}

// everywhere reports whether each instance answers a stock lookup with status.
func (h *harness) everywhere(key string, status int) func() bool {
	return func() bool {
		for _, in := range h.Instances {
			if got, _ := h.ask(in, key, "GET", load.StockPath+"board", ""); got != status {
				return false
			}
		}
		return true
	}
}

func (h *harness) team(name string) *load.Team {
	for i := range h.Teams {
		if h.Teams[i].Name == name {
			return &h.Teams[i]
		}
	}
	h.t.Fatalf("no team %s", name)
	return nil
}

// Guards against an edition that goes back when the configuration service is
// stale, an edit that does not arrive, and requests that are lost while the
// service is down.
func TestConfigDownAndStaleDuringEdits(t *testing.T) {
	h := start(t, nil)
	team := h.team("retail")
	old, fresh := team.Key, fleet.NewKey("retail")
	table := func(key string) map[string]string {
		team.Key = key
		defer func() { team.Key = old }()
		return map[string]string{"table": h.Table()}
	}
	first, latest, yes, no := int64(2), int64(0), true, false
	// The service holds the edit but answers as before it.
	h.config(standin.ConfigControl{StaleAt: &first, Put: table(fresh)})
	if status, body := h.ask(h.Instances[0], fresh, "GET", load.StockPath+"board", ""); status != http.StatusUnauthorized {
		t.Fatalf("a key that no instance can know: %d %s", status, body)
	}
	h.config(standin.ConfigControl{StaleAt: &latest})
	h.eventually(editionBound, "the new key works everywhere", h.everywhere(fresh, http.StatusOK))
	h.eventually(editionBound, "the old key is refused everywhere", h.everywhere(old, http.StatusUnauthorized))
	// The service goes back to the first revision: nothing may change.
	h.config(standin.ConfigControl{StaleAt: &first})
	h.eventually(editionBound, "stale service: the new key works", h.everywhere(fresh, http.StatusOK))
	victim := h.Instances[len(h.Instances)-1]
	victim.Kill()
	h.must(victim.Start())
	h.must(h.Ready(h.ctx, victim))
	// An instance that went back would not know the key. Slots may be missing
	// for a moment, as a seat was down.
	for _, in := range h.Instances {
		status, body := h.ask(in, fresh, "GET", load.StockPath+"board", "")
		t.Logf("%s answers %d %s", in.Name, status, body)
		if status == http.StatusUnauthorized || status == 0 {
			t.Errorf("%s after %s started against a stale service: %d %s", in.Name, victim.Name, status, body)
		}
	}
	h.eventually(2*editionBound, "requests with the new key are served everywhere", h.everywhere(fresh, http.StatusOK))
	h.config(standin.ConfigControl{StaleAt: &latest, Down: &yes, Put: table(old)})
	// While the service is down, the edition before the last edit is in force.
	team.Key = fresh
	h.check(h.drive(load.Options{Duration: 4 * time.Second}, func() {}))
	h.config(standin.ConfigControl{Down: &no})
	h.eventually(editionBound, "the last edit is in force", h.everywhere(old, http.StatusOK))
}

// Guards against a stream that goes on after its key was withdrawn.
func TestKeyWithdrawnDuringStream(t *testing.T) {
	h := start(t, func(s *fleet.Spec) { s.PerToken = 100 * time.Millisecond })
	team := h.team("workshop")
	key := team.Key
	raw, err := json.Marshal(standin.CompletionRequest{Model: load.CareModel, MaxTokens: 200, Stream: true,
		Messages: []standin.Message{{Role: "user", Content: "long answer #k1/workshop#"}}})
	h.must(err)
	req, err := http.NewRequestWithContext(h.ctx, "POST", "http://"+h.Instances[0].Address+"/v1/chat/completions", bytes.NewReader(raw))
	h.must(err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	h.must(err)
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		t.Fatalf("%s: %s", resp.Status, body)
	}
	head := make([]byte, 1)
	_, err = io.ReadFull(resp.Body, head)
	h.must(err)
	team.Key = "" // the table has no key for the team
	withdrawn := time.Now()
	h.must(h.Publish(h.ctx))
	rest, _ := io.ReadAll(resp.Body)
	if took := time.Since(withdrawn); took > keyBound {
		t.Errorf("the stream ended %v after the key was withdrawn", took)
	}
	if strings.Contains(string(rest), "[DONE]") || !strings.Contains(string(rest), `"code":103`) {
		t.Errorf("the stream did not end with the error for a withdrawn key: %q", string(rest[max(0, len(rest)-300):]))
	}
	h.eventually(keyBound-time.Since(withdrawn), "the key is refused everywhere", h.everywhere(key, http.StatusUnauthorized))
}

// Guards against work that is sent to a target which is leaving.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	h := start(t, nil)
	leaving := h.Engines[0]
	var published time.Time
	rep := h.drive(load.Options{Duration: 12 * time.Second, HomeWeights: []float64{3, 1, 1}}, func() {
		leaving.State = "leaving"
		published = time.Now()
		h.must(h.Publish(h.ctx))
	})
	h.check(rep)
	before, after := 0, 0
	for _, run := range rep.Records[0].Runs {
		if run.StartMs > published.Add(leavingBound).UnixMilli() {
			after++
		} else {
			before++
		}
	}
	if before == 0 || after > 0 {
		t.Errorf("%s started %d runs before and %d more than %v after it was published as leaving", leaving.Name, before, after, leavingBound)
	}
}
