package balance

import "github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"

const (
	// linkPerMillicore (kbytes/s), memoryPerMillicore (MB) and
	// descriptorsPerMillicore are what the work of a thousandth of a core needs. An
	// instance with less of one of them is weighed by that one. The instances of the
	// known deployments have at least twice as much, so that their processor share
	// decides.
	linkPerMillicore        = 2
	memoryPerMillicore      = 0.25
	descriptorsPerMillicore = 4
	// baseMemory is the memory in MB that an instance needs without requests.
	baseMemory = 64
)

// Capacity returns what an instance can carry, in thousandths of a core; 0 if its
// processor share is unknown.
func Capacity(load *peerv1.InstanceLoad) float64 {
	c := float64(load.GetCpuMillicores())
	limit := func(have uint32, base, perMillicore float64) {
		if have > 0 {
			c = min(c, max(float64(have)-base, 1)/perMillicore)
		}
	}
	limit(load.GetLinkKbytesPerS(), 0, linkPerMillicore)
	limit(load.GetMemoryMb(), baseMemory, memoryPerMillicore)
	limit(load.GetDescriptors(), 0, descriptorsPerMillicore)
	return c
}

// healthStep reduces the weight of an instance whose load reaches a value.
type healthStep struct{ from, factor float64 }

// The steps are few and far apart, because each change of a weight changes responses of
// the directory, and callers then drop connections.
var (
	// Below 900 permille an instance has processor time for a burst. From 975 on it
	// has hardly any, and requests wait.
	cpuSteps = []healthStep{{900, 0.5}, {975, 0.25}}
	// The Go runtime's soft memory limit is at 600 permille (package instance). Above
	// 750 permille the garbage collector does not keep to it, and the process is
	// terminated at 1000.
	memorySteps = []healthStep{{750, 0.5}, {850, 0.125}}
	// An instance without descriptors refuses connections. A request takes up to two,
	// so that the last tenth suffices for few requests.
	descriptorSteps = []healthStep{{750, 0.5}, {900, 0.125}}
	// A request waits for the processor several times, so that it takes a multiple of
	// the delay longer.
	schedulingMSStep = []healthStep{{80, 0.5}, {240, 0.25}, {1000, 0.125}}
)

func stepFactor(steps []healthStep, value uint32) float64 {
	factor := 1.0
	for _, s := range steps {
		if float64(value) >= s.from {
			factor = s.factor
		}
	}
	return factor
}

// Health returns the fraction of its capacity that an instance should be given, 1 if it
// is not in trouble or its capacity is unknown. The worst of its figures counts.
func Health(load *peerv1.InstanceLoad) float64 {
	if load.GetCpuMillicores() == 0 {
		return 1
	}
	return min(
		stepFactor(cpuSteps, load.GetCpuUsedPermille()), stepFactor(memorySteps, load.GetMemoryUsedPermille()),
		stepFactor(descriptorSteps, load.GetDescriptorsUsedPermille()), stepFactor(schedulingMSStep, load.GetSchedulingDelayMs()),
	)
}
