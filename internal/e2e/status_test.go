package e2e

import (
	"github.com/wigeonhill/wigeonhill/internal/fleet"
)

// grantor returns the grantor of the region.
func (h *harness) grantor(region string) *fleet.Proc {
	h.t.Helper()
	for _, in := range h.Instances {
		if in.Region == region {
			return in
		}
	}
	return nil
}
