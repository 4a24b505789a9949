package e2e

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/wigeonhill/wigeonhill/internal/fleet"
)

// leader returns an instance that reports a leadership lease of the region as its
// own.
func (h *harness) leader(region string) *fleet.Proc {
	h.t.Helper()
	for _, in := range h.Instances {
		if in.Region != region {
			continue
		}
		resp, err := http.Get("http://" + in.OperatorAddress + "/status")
		h.must(err)
		raw, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		h.must(err)
		var status struct {
			Terms []struct {
				Own bool `json:"own"`
			} `json:"terms"`
		}
		h.must(json.Unmarshal(raw, &status))
		for _, lease := range status.Terms {
			if lease.Own {
				return in
			}
		}
	}
	h.t.Fatalf("no instance of %s reports that it is leader", region)
	return nil
}
