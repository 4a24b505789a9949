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

// send sends one request with a caller key and returns the status and the body.
// If there is no response, the status is 0 and the body is the error.
func (h *harness) send(in *fleet.Proc, key, method, path, body string) (int, string) {
	h.t.Helper()
	return h.sendWithin(30*time.Second, in, key, method, path, body)
}

// maxKeptBody is how much of a body send returns, in bytes; it reads the rest, too.
const maxKeptBody = 1 << 20

// sendWithin is send with another timeout.
func (h *harness) sendWithin(timeout time.Duration, in *fleet.Proc, key, method, path, body string) (int, string) {
	h.t.Helper()
	ctx, cancel := context.WithTimeout(h.ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.Address+path, strings.NewReader(body))
	h.must(err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxKeptBody))
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, string(raw)
}

// allReturn returns a condition for eventually: each instance responds to a stock
// lookup with status.
func (h *harness) allReturn(key string, status int) func() bool {
	return func() bool {
		for _, in := range h.Instances {
			if got, _ := h.send(in, key, "GET", load.StockPath+"board", ""); got != status {
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
	h.t.Fatalf("no team %s in the fleet", name)
	return nil
}

// Guards against instances that return to an older configuration version when the
// configuration service is stale, a configuration change that does not reach
// every instance, and requests that are lost while the service is down.
func TestConfigDownAndStaleDuringEdits(t *testing.T) {
	h := start(t, nil)
	team := h.team("retail")
	oldKey, newKey := team.Key, fleet.NewKey("retail")
	configWithKey := func(key string) map[string]string {
		team.Key = key
		defer func() { team.Key = oldKey }()
		return map[string]string{"table": h.ConfigText()}
	}
	first, latest, down, up := int64(2), int64(0), true, false
	// The service has stored the change but still returns the revision before it.
	h.controlConfigService(standin.ConfigControl{StaleAt: &first, Put: configWithKey(newKey)})
	if status, body := h.send(h.Instances[0], newKey, "GET", load.StockPath+"board", ""); status != http.StatusUnauthorized {
		t.Fatalf("key that no instance has received yet: %d %s", status, body)
	}
	h.controlConfigService(standin.ConfigControl{StaleAt: &latest})
	h.eventually(configBound, "the new key works everywhere", h.allReturn(newKey, http.StatusOK))
	h.eventually(configBound, "the old key is refused everywhere", h.allReturn(oldKey, http.StatusUnauthorized))
	// The service returns the first revision again: nothing may change.
	h.controlConfigService(standin.ConfigControl{StaleAt: &first})
	h.eventually(configBound, "stale service: the new key works", h.allReturn(newKey, http.StatusOK))
	restarted := h.Instances[len(h.Instances)-1]
	restarted.Kill()
	h.must(restarted.Start())
	h.must(h.WaitReady(h.ctx, restarted))
	// An instance that returned to the older version would reject the key. Slots
	// may be unavailable for a moment, because a voter was down.
	for _, in := range h.Instances {
		status, body := h.send(in, newKey, "GET", load.StockPath+"board", "")
		t.Logf("%s returned %d %s", in.Name, status, body)
		if status == http.StatusUnauthorized || status == 0 {
			t.Errorf("%s after %s started against a stale service: %d %s", in.Name, restarted.Name, status, body)
		}
	}
	h.eventually(2*configBound, "requests with the new key are served everywhere", h.allReturn(newKey, http.StatusOK))
	h.controlConfigService(standin.ConfigControl{StaleAt: &latest, Down: &down, Put: configWithKey(oldKey)})
	// While the service is down, the version before the last change is in force.
	team.Key = newKey
	h.check(h.drive(load.Options{Duration: 4 * time.Second}, func() {}))
	h.controlConfigService(standin.ConfigControl{Down: &up})
	h.eventually(configBound, "the last configuration change is in force", h.allReturn(oldKey, http.StatusOK))
}

// Guards against a stream that continues after its caller key was withdrawn from
// the configuration.
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
	team.Key = "" // the configuration has no key for the team
	withdrawn := time.Now()
	h.must(h.Publish(h.ctx))
	rest, _ := io.ReadAll(resp.Body)
	if took := time.Since(withdrawn); took > keyBound {
		t.Errorf("the stream ended %v after the key was withdrawn", took)
	}
	if strings.Contains(string(rest), "[DONE]") || !strings.Contains(string(rest), `"code":103`) {
		t.Errorf("the stream did not end with the error for a withdrawn key: %q", string(rest[max(0, len(rest)-300):]))
	}
	h.eventually(keyBound-time.Since(withdrawn), "the key is refused everywhere", h.allReturn(key, http.StatusUnauthorized))
}

// Guards against requests that are dispatched to a target after it was published
// as leaving.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	h := start(t, nil)
	leaving := h.Engines[0]
	var published time.Time
	rep := h.drive(load.Options{Duration: 12 * time.Second, RegionWeights: []float64{3, 1, 1}}, func() {
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
