package gateway

import (
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
)

// Guards against requests that yield to those of another service, of the same or a lower
// priority, or to routes that send nothing to the service.
func TestMoreUrgentRequests(t *testing.T) {
	route := func(priority int, objective time.Duration, split ...deployment.WeightedService) *deployment.Route {
		return &deployment.Route{Priority: priority, FirstByteObjective: objective, Split: split}
	}
	model, other := deployment.WeightedService{Service: "model", Weight: 1}, deployment.WeightedService{Service: "other", Weight: 1}
	u := newUrgency(&deployment.Config{Routes: []*deployment.Route{
		route(2, 1500*time.Millisecond, model), route(1, 800*time.Millisecond, model, other), route(1, 600*time.Millisecond, model),
		route(0, 900*time.Millisecond, model), route(0, 0, model), route(0, 100*time.Millisecond, deployment.WeightedService{Service: "model"}),
	}})
	for _, c := range []struct {
		service  string
		priority int
		want     time.Duration
	}{
		{"model", 2, 600 * time.Millisecond}, {"model", 1, 900 * time.Millisecond}, {"model", 0, 0},
		{"other", 2, 800 * time.Millisecond}, {"other", 1, 0}, {"none", 5, 0},
	} {
		if got := u.moreUrgent(c.service, c.priority); got != c.want {
			t.Errorf("%s, priority %d: %s, want %s", c.service, c.priority, got, c.want)
		}
	}
}
