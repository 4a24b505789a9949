package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/fleet"
	"github.com/wigeonhill/wigeonhill/internal/load"
	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// Guards against lost requests and exceeded limits when an instance is killed and
// a new process starts under its name.
func TestKillAndReplaceInstance(t *testing.T) {
	h := start(t, nil)
	killed := h.Instances[0]
	rep := h.drive(load.Options{Duration: 8 * time.Second, Rate: 120, RegionWeights: []float64{4, 1, 1}}, func() {
		killed.Kill()
		h.must(killed.Start())
	})
	h.check(rep)
	h.must(h.WaitReady(h.ctx, killed))
	h.check(h.drive(load.Options{Seed: 2, Duration: 2 * time.Second}, func() {}))
}

// Guards against a leader that resumes after its leadership lease has expired and
// still grants leases: tokens and slots would then be granted by two leaders at
// once. SIGSTOP suspends the leader for longer than its leadership lease.
func TestFreezeLeaderUnderLoad(t *testing.T) {
	h := start(t, func(s *fleet.Spec) { s.InstancesPerRegion, s.VotersPerRegion = 3, 3 })
	leader := h.leader(h.Spec.Regions[0])
	t.Logf("freezing %s", leader.Name)
	// The load keeps all 16 engine slots of the region in use; otherwise slots
	// that are granted twice would not be detected.
	rep := h.drive(load.Options{Duration: 10 * time.Second, Rate: 150, RegionWeights: []float64{4, 1, 1}}, func() {
		h.must(leader.Signal(syscall.SIGSTOP))
		time.Sleep(4 * time.Second) // longer than a leadership lease and a lease
		h.must(leader.Signal(syscall.SIGCONT))
	})
	h.check(rep)
	if rep.MaxOverCapacity < 0 {
		t.Errorf("no target was full, so slots were not tested: %s", rep.WorstTarget)
	}
}

// Guards against a shutdown that interrupts running requests or does not finish.
func TestTerminateUnderLoad(t *testing.T) {
	h := start(t, nil)
	rep := h.drive(load.Options{Rate: 60}, func() {
		if !h.Instances[0].Stop(stopTimeout) {
			t.Errorf("%s did not end within %v", h.Instances[0].Name, stopTimeout)
		}
	})
	h.check(rep)
	if rep.Interrupted > 0 {
		t.Errorf("%d responses were interrupted: %q", rep.Interrupted, rep.Notes)
	}
	for _, rec := range rep.Records {
		for _, run := range rec.Runs {
			if run.Outcome != standin.Done {
				t.Errorf("%s: run of %s ended as %s", rec.Name, run.Tag, run.Outcome)
			}
		}
	}
}

// Guards against a booking that runs twice: an instance is killed while the
// booking runs, and the caller retries it through another instance.
func TestBookingsAfterKill(t *testing.T) {
	h := start(t, nil)
	for _, o := range h.OrderServices {
		h.must(h.Control(h.ctx, o, standin.Faults{SlowFactor: 20})) // 400 ms per booking
	}
	rep := h.drive(load.Options{Rate: 30, Mix: load.Mix{load.Booking: 1}}, h.Instances[0].Kill)
	h.check(rep)
	if rep.Classes[load.InDoubt] == 0 {
		t.Errorf("no booking was running at the killed instance, so nothing was tested: %v", rep.Classes)
	}
}
