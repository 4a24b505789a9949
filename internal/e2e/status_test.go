package e2e

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/wigeonhill/wigeonhill/internal/fleet"
)

// grantor returns the instance that holds the term of the region.
func (h *harness) grantor(region string) *fleet.Proc {
	h.t.Helper()
	for _, in := range h.Instances {
		if in.Region != region {
			continue
		}
		resp, err := http.Get("http://" + in.Operators + "/status")
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
		for _, term := range status.Terms {
			if term.Own {
				return in
			}
		}
	}
	h.t.Fatalf("no instance of %s says that it is grantor", region)
	return nil
}
