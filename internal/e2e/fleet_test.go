package e2e

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/fleet"
	"github.com/wigeonhill/wigeonhill/internal/load"
	"github.com/wigeonhill/wigeonhill/internal/standin"

	// TestMain builds the programs, which the test cache does not track. The
	// import invalidates cached results when the gateway changes.
	_ "github.com/wigeonhill/wigeonhill/internal/server"
)

// Timeouts of the tests, far above the expected durations.
const (
	startTimeout = 40 * time.Second
	testTimeout  = 90 * time.Second
	stopTimeout  = 15 * time.Second
)

// Bounds that docs/design.md guarantees, with the numbers of the invariants.
const (
	keyBound     = 3 * time.Second // I6
	leavingBound = 3 * time.Second // I11
	configBound  = 8 * time.Second // I13
)

// bin is the directory of the built programs.
var bin string

// fleetSlots limits the fleets that run concurrently, for small machines.
var fleetSlots = make(chan struct{}, 3)

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the programs and runs the tests. With -short it builds nothing.
// Flags are not parsed before m.Run, so it searches os.Args for the flag.
func run(m *testing.M) int {
	for _, arg := range os.Args {
		if strings.HasSuffix(arg, "test.short=true") {
			return m.Run()
		}
	}
	dir, err := os.MkdirTemp("", "wigeonhill-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin = dir
	out, err := exec.Command("go", "build", "-o", dir+"/", "../../cmd/wigeonhill", "../../cmd/standin").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "building the programs: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

type harness struct {
	*fleet.Fleet
	t   *testing.T
	ctx context.Context
}

// start starts a fleet of three regions that is smaller than the demo's. change,
// if not nil, modifies its specification first. The fleet stops at the end of the
// test.
func start(t *testing.T, change func(*fleet.Spec)) *harness {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	return startAlone(t, change)
}

// startAlone is start without t.Parallel, for tests that measure memory and
// descriptors.
func startAlone(t *testing.T, change func(*fleet.Spec)) *harness {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	spec := fleet.DemoSpec(bin, t.TempDir())
	spec.InstancesPerRegion, spec.VotersPerRegion, spec.EnginesPerRegion = 2, 2, 2
	if change != nil {
		change(&spec)
	}
	f, err := fleet.New(spec)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	t.Cleanup(func() {
		if t.Failed() {
			for _, in := range f.Instances {
				t.Logf("warnings of %s:\n%s", in.Name, warnings(in))
			}
		}
		f.Stop(stopTimeout)
	})
	startCtx, stop := context.WithTimeout(ctx, startTimeout)
	defer stop()
	if err := f.Start(startCtx); err != nil {
		t.Fatal(err)
	}
	return &harness{f, t, ctx}
}

// warnings returns the last 10 log lines that are not of level info, including
// lines that are not events, such as a panic.
func warnings(p *fleet.Proc) string {
	var out []string
	for _, line := range strings.Split(p.LogTail(1<<20), "\n") {
		if line != "" && !strings.HasPrefix(line, `{"level":"info"`) {
			out = append(out, line)
		}
	}
	return strings.Join(out[max(0, len(out)-10):], "\n")
}

func (h *harness) must(err error) {
	h.t.Helper()
	if err != nil {
		h.t.Fatal(err)
	}
}

// drive generates load and calls step after half of its duration.
func (h *harness) drive(o load.Options, step func()) *load.Report {
	h.t.Helper()
	if o.Seed == 0 {
		o.Seed = 1
	}
	if o.Rate == 0 {
		o.Rate = 40
	}
	if o.Duration == 0 {
		o.Duration = 6 * time.Second
	}
	if o.Mix == nil {
		o.Mix = load.DefaultMix()
	}
	o.Timeout = 40 * time.Second
	done := make(chan struct{})
	timer := time.AfterFunc(o.Duration/2, func() {
		defer close(done)
		step()
	})
	defer timer.Stop()
	rep, err := load.RunAndCheck(h.ctx, h.Plan(), o)
	h.must(err)
	<-done
	return rep
}

// check fails the test for each violation that the checker found, and if no
// request got a response.
func (h *harness) check(rep *load.Report) {
	h.t.Helper()
	for _, f := range rep.Violations() {
		h.t.Errorf("checker: %s", f)
	}
	if rep.Classes[load.Answered] == 0 {
		h.t.Errorf("no request got a response: %v, codes %v", rep.Classes, rep.Codes)
	}
	if h.t.Failed() {
		h.t.Logf("classes %v, codes %v, notes:\n%s", rep.Classes, rep.Codes, strings.Join(rep.Notes, "\n"))
	}
}

// controlConfigService sends a control request to the configuration service.
func (h *harness) controlConfigService(ctl standin.ConfigControl) {
	h.t.Helper()
	h.must(h.Control(h.ctx, h.ConfigService, ctl))
}

// eventually polls condition until it returns true, and fails the test if it does
// not within bound.
func (h *harness) eventually(bound time.Duration, what string, condition func() bool) {
	h.t.Helper()
	for end := time.Now().Add(bound); ; time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
		if time.Now().After(end) {
			h.t.Fatalf("not within %v: %s", bound, what)
		}
	}
}
