package balance

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

var small = &deployment.Settings{CPUShare: 0.192, MemoryBytes: 184 << 20, LinkBytesPerSecond: 1.25e6, MaxDescriptors: 4100}

// metering feeds a Meter in virtual time.
type metering struct {
	*Meter
	now time.Time
	cpu time.Duration
}

// run adds samples for the given time, at a use of the processor share.
func (m *metering) run(d time.Duration, use func(step int) float64, delay time.Duration, each func()) {
	const step = 100 * time.Millisecond
	for i := range int(d / step) {
		m.now = m.now.Add(step)
		m.cpu += time.Duration(use(i) * small.CPUShare * float64(step))
		m.Add(Sample{CPU: m.cpu, Memory: 40 << 20, Descriptors: 100, SchedulingDelay: delay}, m.now)
		if each != nil {
			each()
		}
	}
}

// weight is what a caller's choice of an instance follows.
func weight(load *peerv1.InstanceLoad) float64 { return Capacity(load) * Health(load) }

func steady(use float64) func(int) float64 { return func(int) float64 { return use } }

// Guards against callers that stay with an instance in trouble, and against callers that
// come back at once and cause the same trouble again.
func TestWeightFallsQuicklyAndReturnsSlowly(t *testing.T) {
	for name, c := range map[string]struct {
		use   float64
		delay time.Duration
	}{
		"processor":        {1.2, 0},
		"scheduling delay": {0.5, 400 * time.Millisecond},
	} {
		m := &metering{Meter: NewMeter(small), now: time.Unix(100, 0)}
		m.run(5*time.Second, steady(0.5), 0, nil)
		full := weight(m.Load())
		if full != 192 {
			t.Errorf("%s: weight %v without trouble, want 192", name, full)
		}
		m.run(time.Second, steady(c.use), c.delay, nil)
		if w := weight(m.Load()); w > full/2 {
			t.Errorf("%s: weight %v after a second of trouble, %v before", name, w, full)
		}
		m.run(3*time.Second, steady(0.3), 0, nil)
		if w := weight(m.Load()); w > full/2 {
			t.Errorf("%s: weight %v is back after 3 s", name, w)
		}
		m.run(time.Minute, steady(0.3), 0, nil)
		if w := weight(m.Load()); w != full {
			t.Errorf("%s: weight %v a minute after the trouble, want %v", name, w, full)
		}
	}
}

// Guards against reports that follow ordinary changes of load: each change of a weight
// changes responses of the directory.
func TestOrdinaryLoadChangesNoWeight(t *testing.T) {
	m := &metering{Meter: NewMeter(small), now: time.Unix(100, 0)}
	weights, reports := map[float64]bool{}, 0
	last := m.Load()
	m.run(10*time.Minute, func(step int) float64 { return 0.55 + 0.2*math.Sin(float64(step)/50) }, 10*time.Millisecond, func() {
		load := m.Load()
		weights[weight(load)] = true
		if !proto.Equal(load, last) {
			reports++
		}
		last = load
	})
	t.Logf("%d changes of the report in 10 minutes", reports)
	if len(weights) != 1 {
		t.Errorf("weights %v at a load of 0.35 to 0.75", weights)
	}
}

// Guards against a weight by the processor share of an instance that lacks another
// resource, and against trouble that lowers the weight of an instance without figures.
func TestCapacityAndHealth(t *testing.T) {
	large := &peerv1.InstanceLoad{CpuMillicores: 800, MemoryMb: 536, LinkKbytesPerS: 25000, Descriptors: 8192}
	for _, c := range []struct {
		name             string
		load             *peerv1.InstanceLoad
		capacity, health float64
	}{
		{"none", nil, 0, 1},
		{"large", large, 800, 1},
		{"small", NewMeter(small).Load(), 192, 1},
		{"no other figures", &peerv1.InstanceLoad{CpuMillicores: 500}, 500, 1},
		{"slow link", &peerv1.InstanceLoad{CpuMillicores: 800, LinkKbytesPerS: 250}, 125, 1},
		{"little memory", &peerv1.InstanceLoad{CpuMillicores: 800, MemoryMb: 114}, 200, 1},
		{"few descriptors", &peerv1.InstanceLoad{CpuMillicores: 800, Descriptors: 400}, 100, 1},
		{"memory nearly used", &peerv1.InstanceLoad{CpuMillicores: 800, MemoryUsedPermille: 900}, 800, 0.125},
		{"unknown capacity", &peerv1.InstanceLoad{SchedulingDelayMs: 5000}, 0, 1},
	} {
		if capacity, health := Capacity(c.load), Health(c.load); capacity != c.capacity || health != c.health {
			t.Errorf("%s: capacity %v and health %v, want %v and %v", c.name, capacity, health, c.capacity, c.health)
		}
	}
}
