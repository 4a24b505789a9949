package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/fleet"
)

const (
	// readyTimeout is the time limit for the start of the whole fleet.
	readyTimeout = 30 * time.Second
	// stopTimeout is the time that a process has to exit before it is killed.
	stopTimeout = 10 * time.Second
)

type demoCommand struct {
	loadFlags
	Keep   bool `long:"keep" description:"keep the temporary directory with settings, logs, journals and plan.json"`
	NoKill bool `long:"no-kill" description:"kill no processes"`
	// A new leader leases unaccounted slots of plain services only after the
	// duration of a lease plus the service's max_run, 5.04 s with the demo's
	// configuration. With --settle 0s the load starts within this period.
	Settle time.Duration `long:"settle" default:"6s" description:"delay between readiness and the load"`
}

// Execute starts a fleet, sends load to it, kills an instance and an engine
// halfway unless --no-kill is given, and checks the results.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	opts, err := c.options()
	if err != nil {
		return err
	}
	if len(opts.RegionWeights) == 0 {
		opts.RegionWeights = []float64{2, 1, 1} // the first region is at its daily peak
	}
	bin, err := executableDir()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "wigeonhill-demo-")
	if err != nil {
		return err
	}
	f, err := fleet.New(fleet.DemoSpec(bin, dir))
	if err != nil {
		return err
	}
	defer c.finish(f)
	fmt.Printf("starting %d instances, %d engines, %d order replicas and the configuration service in %s\n",
		len(f.Instances), len(f.Engines), len(f.OrderServices), dir)
	begin := time.Now()
	if err := startFleet(ctx, f); err != nil {
		return err
	}
	fmt.Printf("ready after %v; sending %g requests/s for %v after another %v\n", time.Since(begin).Round(10*time.Millisecond), opts.Rate, opts.Duration, c.Settle)
	if !sleep(ctx, c.Settle) {
		return ctx.Err()
	}
	if !c.NoKill {
		timer := time.AfterFunc(opts.Duration/2, func() {
			for _, p := range []*fleet.Proc{f.Instances[1], f.Engines[2]} {
				p.Kill()
				fmt.Printf("killed %s\n", p.Name)
			}
		})
		defer timer.Stop()
	}
	res, err := runLoad(ctx, f.Plan(), opts, c.Out)
	if err != nil {
		return err
	}
	return printResult(res)
}

// startFleet writes plan.json, starts the fleet and waits until it is ready.
func startFleet(ctx context.Context, f *fleet.Fleet) error {
	plan, err := json.MarshalIndent(f.Plan(), "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(f.Spec.Dir, "plan.json"), plan, 0o600); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return f.Start(ctx)
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// finish stops the fleet and removes its directory, unless --keep is given.
func (c *demoCommand) finish(f *fleet.Fleet) {
	if killed := f.Stop(stopTimeout); len(killed) > 0 {
		fmt.Printf("did not stop within %v and were killed: %s\n", stopTimeout, strings.Join(killed, ", "))
	}
	if c.Keep {
		fmt.Println("kept", f.Spec.Dir)
		return
	}
	if err := os.RemoveAll(f.Spec.Dir); err != nil {
		fmt.Println(err)
	}
}
