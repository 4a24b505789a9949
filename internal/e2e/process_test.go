package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/fleet"
	"github.com/wigeonhill/wigeonhill/internal/load"
	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// Guards against requests that are lost, and limits that are exceeded, when an
// instance is killed and another process takes its name.
func TestKillAndReplaceInstance(t *testing.T) {
	h := start(t, nil)
	victim := h.Instances[0]
	rep := h.drive(load.Options{Duration: 8 * time.Second, Rate: 120, HomeWeights: []float64{4, 1, 1}}, func() {
		victim.Kill()
		h.must(victim.Start())
	})
	h.check(rep)
	h.must(h.Ready(h.ctx, victim))
	h.check(h.drive(load.Options{Seed: 2, Duration: 2 * time.Second}, func() {}))
}

// Guards against a grantor that wakes up after its term and still grants: the
// tokens and slots of two grantors would add up.
func TestFreezeGrantorUnderLoad(t *testing.T) {
	h := start(t, func(s *fleet.Spec) { s.InstancesPerRegion, s.SeatsPerRegion = 3, 3 })
	grantor := h.grantor(h.Spec.Regions[0])
	t.Logf("freezing %s", grantor.Name)
	// The load keeps the 16 engine slots of the region in use; otherwise slots
	// that are granted twice would not show.
	rep := h.drive(load.Options{Duration: 10 * time.Second, Rate: 150, HomeWeights: []float64{4, 1, 1}}, func() {
		h.must(grantor.Signal(syscall.SIGSTOP))
		time.Sleep(4 * time.Second) // longer than a term and a grant
		h.must(grantor.Signal(syscall.SIGCONT))
	})
	h.check(rep)
	if rep.HighestOver < 0 {
		t.Errorf("no target was full, so slots were not tested: %s", rep.WorstTarget)
	}
}

// Guards against a shutdown that cuts off requests or does not end.
func TestTerminateUnderLoad(t *testing.T) {
	h := start(t, nil)
	rep := h.drive(load.Options{Rate: 60}, func() {
		if !h.Instances[0].Stop(stopBound) {
			t.Errorf("%s did not end within %v", h.Instances[0].Name, stopBound)
		}
	})
	h.check(rep)
	if rep.CutOff > 0 {
		t.Errorf("%d answers broke off: %q", rep.CutOff, rep.Notes)
	}
	for _, rec := range rep.Records {
		for _, run := range rec.Runs {
			if run.Outcome != standin.Done {
				t.Errorf("%s: run of %s ended as %s", rec.Name, run.Tag, run.Outcome)
			}
		}
	}
}

// Guards against a booking that runs again when it is sent through another
// instance after the first one died while it was running.
func TestBookingsAfterKill(t *testing.T) {
	h := start(t, nil)
	for _, o := range h.Orders {
		h.must(h.Control(h.ctx, o, standin.Faults{SlowFactor: 20})) // 400 ms each
	}
	rep := h.drive(load.Options{Rate: 30, Mix: load.Mix{load.Book: 1}}, h.Instances[0].Kill)
	h.check(rep)
	if rep.Classes[load.InDoubt] == 0 {
		t.Errorf("no booking was running at the killed instance, so nothing was tested: %v", rep.Classes)
	}
}
