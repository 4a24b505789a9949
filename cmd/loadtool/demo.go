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
	// readyWait bounds the start of the whole fleet.
	readyWait = 30 * time.Second
	// stopWait is the time a process has to end by itself.
	stopWait = 10 * time.Second
)

type demoCommand struct {
	loadFlags
	Keep   bool `long:"keep" description:"keep the temporary directory with settings, logs, journals and plan.json"`
	NoKill bool `long:"no-kill" description:"kill nothing"`
	// A new grantor hands out unaccounted slots of plain services only after a
	// grant and the service's max_run, 5.04 s in the demo's table. With
	// --settle 0s the run includes this time after a cold start.
	Settle time.Duration `long:"settle" default:"6s" description:"time between readiness and the load"`
}

// Execute runs the demo.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := interruptible()
	defer stop()
	o, err := c.options()
	if err != nil {
		return err
	}
	if len(o.HomeWeights) == 0 {
		o.HomeWeights = []float64{2, 1, 1} // the daily peak is in the first region
	}
	bin, err := binDir()
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
		len(f.Instances), len(f.Engines), len(f.Orders), dir)
	begin := time.Now()
	if err := start(ctx, f); err != nil {
		return err
	}
	fmt.Printf("ready after %v; sending %g requests/s for %v after another %v\n", time.Since(begin).Round(10*time.Millisecond), o.Rate, o.Duration, c.Settle)
	if !pause(ctx, c.Settle) {
		return ctx.Err()
	}
	if !c.NoKill {
		timer := time.AfterFunc(o.Duration/2, func() {
			for _, p := range []*fleet.Proc{f.Instances[1], f.Engines[2]} {
				p.Kill()
				fmt.Printf("killed %s\n", p.Name)
			}
		})
		defer timer.Stop()
	}
	res, err := drive(ctx, f.Plan(), o, c.Out)
	if err != nil {
		return err
	}
	return report(res)
}

func start(ctx context.Context, f *fleet.Fleet) error {
	plan, err := json.MarshalIndent(f.Plan(), "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(f.Spec.Dir, "plan.json"), plan, 0o600); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	return f.Start(ctx)
}

// pause reports whether d passed before ctx ended.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// finish stops the fleet and removes its directory.
func (c *demoCommand) finish(f *fleet.Fleet) {
	if killed := f.Stop(stopWait); len(killed) > 0 {
		fmt.Printf("did not stop within %v and were killed: %s\n", stopWait, strings.Join(killed, ", "))
	}
	if c.Keep {
		fmt.Println("kept", f.Spec.Dir)
		return
	}
	if err := os.RemoveAll(f.Spec.Dir); err != nil {
		fmt.Println(err)
	}
}
