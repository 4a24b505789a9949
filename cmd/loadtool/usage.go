package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/fleet"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

const (
	// usageInterval is the time between two readings of the use of a process.
	usageInterval = 50 * time.Millisecond
	// baseMemory is the memory in bytes that an instance may take besides its buffers,
	// and operatorConns and otherDescriptors the descriptors besides those of callers,
	// other instances and targets. The sums are the bounds of the tests in
	// internal/e2e/crowd_test.go.
	baseMemory       = 52 << 20
	operatorConns    = 64
	otherDescriptors = 44
)

// usagePeak is the largest use of memory and descriptors by the processes that ran as
// an instance, and what its settings allow.
type usagePeak struct {
	p                           *fleet.Proc
	memory, maxMemory           int64
	descriptors, maxDescriptors int
}

func newUsagePeak(p *fleet.Proc) (*usagePeak, error) {
	s, err := settings.Load(p.SettingsPath())
	if err != nil {
		return nil, err
	}
	b := s.Bounds
	// A request in progress has one connection to a target; its caller may have an
	// idle one besides, and some connections are spare (package entry).
	callers := b.MaxConns
	if callers == 0 {
		callers = 2*b.MaxStreams + 64
	}
	return &usagePeak{
		p: p, maxMemory: b.ProcessBuffer + b.IntakeBuffer + b.ResponseBuffer + baseMemory,
		maxDescriptors: callers + b.MaxStreams + b.MaxPeerConns + operatorConns + otherDescriptors,
	}, nil
}

// record reads the use of the process until ctx is done.
func (u *usagePeak) record(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(usageInterval) {
		pid := u.p.PID()
		memory, err := fleet.PeakRSS(pid)
		entries, dirErr := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		// If the process has exited, another one may have its id.
		if err == nil && dirErr == nil && u.p.Running() && u.p.PID() == pid {
			u.memory, u.descriptors = max(u.memory, memory), max(u.descriptors, len(entries))
		}
	}
}

// check prints the use and returns an error if it is above what the settings allow.
func (u *usagePeak) check() error {
	text := fmt.Sprintf("%s: peak memory %d of %d MiB, peak descriptors %d of %d", u.p.Name, u.memory>>20, u.maxMemory>>20, u.descriptors, u.maxDescriptors)
	fmt.Println(text)
	if u.memory > u.maxMemory || u.descriptors > u.maxDescriptors || u.memory == 0 {
		return fmt.Errorf("use outside the settings: %s", text)
	}
	return nil
}
