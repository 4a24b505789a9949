package instance

import (
	"context"
	"os"
	"runtime/metrics"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/wigeonhill/wigeonhill/internal/balance"
	"github.com/wigeonhill/wigeonhill/internal/event"
)

const (
	// loadInterval is the interval between samples of what the instance uses.
	loadInterval = 100 * time.Millisecond
	// descriptorsPath is a directory whose size is the number of open file
	// descriptors; 0 on Linux before 6.2.
	descriptorsPath = "/proc/self/fd"
	// mappedMemory and returnedMemory are the runtime metrics whose difference is the
	// memory that the process holds.
	mappedMemory   = "/memory/classes/total:bytes"
	returnedMemory = "/memory/classes/heap/released:bytes"
)

// measureLoad samples what the instance uses until ctx is done.
func (i *Instance) measureLoad(ctx context.Context) error {
	memory := []metrics.Sample{{Name: mappedMemory}, {Name: returnedMemory}}
	timer := time.NewTimer(loadInterval)
	defer timer.Stop()
	due := time.Now().Add(loadInterval)
	health := 1.0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		now := time.Now()
		s := balance.Sample{SchedulingDelay: max(now.Sub(due), 0), CPU: processorTime()}
		metrics.Read(memory)
		s.Memory = int64(memory[0].Value.Uint64()) - int64(memory[1].Value.Uint64())
		if info, err := os.Stat(descriptorsPath); err == nil {
			s.Descriptors = int(info.Size())
		}
		i.meter.Add(s, now)
		if load := i.meter.Load(); balance.Health(load) != health {
			health = balance.Health(load)
			i.log.Emit(event.OwnWeightChanged, zap.Float64("health", health), zap.Float64("weight", balance.Weigh(load)), zap.Uint32("cpu_permille", load.GetCpuUsedPermille()),
				zap.Uint32("memory_permille", load.GetMemoryUsedPermille()), zap.Uint32("descriptors_permille", load.GetDescriptorsUsedPermille()), zap.Uint32("scheduling_delay_ms", load.GetSchedulingDelayMs()))
		}
		due = time.Now().Add(loadInterval)
		timer.Reset(loadInterval)
	}
}

// processorTime returns the processor time used since the process started.
func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
