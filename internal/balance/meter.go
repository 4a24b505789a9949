package balance

import (
	"math"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

const (
	// meterWindow is the time over which processor time and scheduling delay are
	// averaged.
	meterWindow = time.Second
	// recoveryInterval is the time for which a figure must be well below the reported
	// one before that is lowered by one step. An instance that is given requests
	// again too soon gets into trouble again.
	recoveryInterval = 3 * time.Second
	// permilleStep and delayStep are the steps in which figures are reported. A figure
	// is lowered only if it is more than deadBand steps below, so that changes of
	// ordinary load are not reported. It falls by a quarter if that is more than a step,
	// so that a freeze of seconds does not count for minutes.
	permilleStep = 50
	delayStep    = 20
	deadBand     = 3
	// maxPermille bounds the processor time that is reported. A process may use more
	// than its share for a moment.
	maxPermille = 1000
)

// Sample is one reading of what an instance uses.
type Sample struct {
	CPU             time.Duration // processor time since the start of the process
	Memory          int64         // bytes
	Descriptors     int           // 0 if unknown
	SchedulingDelay time.Duration // how late a timer was
}

// Meter turns samples into the load that an instance reports: at once when it rises,
// slowly when it falls. All instances that use the report thus agree on the weight
// without a state of their own.
type Meter struct {
	capacity    *peerv1.InstanceLoad
	cpuShare    float64
	memoryBytes int64
	mu          struct {
		sync.Mutex
		samples                         []timedSample // of the last meterWindow, and one before
		cpu, memory, descriptors, delay envelope
	}
}

type timedSample struct {
	Sample
	at time.Time
}

// NewMeter returns a Meter for an instance with these settings.
func NewMeter(s *deployment.Settings) *Meter {
	return &Meter{cpuShare: s.CPUShare, memoryBytes: s.MemoryBytes, capacity: &peerv1.InstanceLoad{
		CpuMillicores: uint32(math.Round(1000 * s.CPUShare)), MemoryMb: uint32(s.MemoryBytes >> 20),
		LinkKbytesPerS: uint32(s.LinkBytesPerSecond / 1000), Descriptors: uint32(max(s.MaxDescriptors, 0)),
	}}
}

// Add adds a sample.
func (m *Meter) Add(s Sample, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mu.samples = append(m.mu.samples, timedSample{s, now})
	for len(m.mu.samples) > 2 && now.Sub(m.mu.samples[1].at) >= meterWindow {
		m.mu.samples = m.mu.samples[1:]
	}
	first := m.mu.samples[0]
	if elapsed := now.Sub(first.at); elapsed >= meterWindow/4 && m.cpuShare > 0 {
		m.mu.cpu.add(min(1000*(s.CPU-first.CPU).Seconds()/(elapsed.Seconds()*m.cpuShare), maxPermille), permilleStep, now)
	}
	if m.memoryBytes > 0 {
		m.mu.memory.add(1000*float64(s.Memory)/float64(m.memoryBytes), permilleStep, now)
	}
	if d := m.capacity.GetDescriptors(); d > 0 {
		m.mu.descriptors.add(1000*float64(s.Descriptors)/float64(d), permilleStep, now)
	}
	delay := time.Duration(0)
	for _, earlier := range m.mu.samples {
		delay += earlier.SchedulingDelay
	}
	m.mu.delay.add(float64(delay.Milliseconds())/float64(len(m.mu.samples)), delayStep, now)
}

// Load returns the load to report.
func (m *Meter) Load() *peerv1.InstanceLoad {
	m.mu.Lock()
	defer m.mu.Unlock()
	load := proto.CloneOf(m.capacity)
	load.CpuUsedPermille, load.MemoryUsedPermille = m.mu.cpu.reported, m.mu.memory.reported
	load.DescriptorsUsedPermille, load.SchedulingDelayMs = m.mu.descriptors.reported, m.mu.delay.reported
	return load
}

// envelope is a figure that rises at once and falls slowly.
type envelope struct {
	reported uint32 // a multiple of the step
	// lowSince is since when the figure is below the dead band.
	lowSince time.Time
}

func (e *envelope) add(value float64, step uint32, now time.Time) {
	steps := uint32(math.Ceil(max(value, 0)/float64(step))) * step
	switch {
	case steps > e.reported:
		e.reported, e.lowSince = steps, time.Time{}
	case steps+deadBand*step >= e.reported && e.reported > deadBand*step, e.reported == steps:
		e.lowSince = time.Time{}
	case e.lowSince.IsZero():
		e.lowSince = now
	case now.Sub(e.lowSince) >= recoveryInterval:
		e.reported -= max(step, e.reported/4/step*step)
		e.lowSince = now
	}
}
