package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/fleet"
)

// settleTime is the time between readiness and the first sample. It covers the
// first elections, the first renewals and the period in which leaders withhold
// unaccounted slots.
const settleTime = 6 * time.Second

type measureCommand struct {
	loadFlags
	Sizes []int         `long:"instances" description:"number of instances, a multiple of 3; may be repeated (default: 3, 9, 30)"`
	Idle  time.Duration `long:"idle" default:"10s" description:"time without load"`
}

// Execute measures fleets of several sizes, idle and under load.
func (c *measureCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	if len(c.Sizes) == 0 {
		c.Sizes = []int{3, 9, 30}
	}
	fmt.Println("figures of one instance: mean (largest)")
	fmt.Println("instances  state  CPU % of a core  RSS MiB        anonymous MiB  KB/s read    KB/s written  config calls/s")
	for _, n := range c.Sizes {
		if err := c.measure(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func (c *measureCommand) measure(ctx context.Context, n int) error {
	bin, err := executableDir()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "wigeonhill-measure-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	spec := fleet.DemoSpec(bin, dir)
	spec.InstancesPerRegion = max(1, n/len(spec.Regions))
	spec.VotersPerRegion = min(3, spec.InstancesPerRegion)
	f, err := fleet.New(spec)
	if err != nil {
		return err
	}
	defer f.Stop(stopTimeout)
	if err := startFleet(ctx, f); err != nil {
		return err
	}
	if !sleep(ctx, settleTime) {
		return ctx.Err()
	}
	err = printUsageDuring(ctx, f, "idle", func() error {
		sleep(ctx, c.Idle)
		return ctx.Err()
	})
	if err != nil {
		return err
	}
	opts, err := c.options()
	if err != nil {
		return err
	}
	return printUsageDuring(ctx, f, "load", func() error {
		res, err := runLoad(ctx, f.Plan(), opts, c.Out)
		if err == nil && len(res.Violations()) > 0 {
			fmt.Println("the load run failed its checks:", res.Violations())
		}
		return err
	})
}

// printUsageDuring runs workload and prints the resource use of the instances
// during it, as one row of the table.
func printUsageDuring(ctx context.Context, f *fleet.Fleet, state string, workload func() error) error {
	before, err := takeSample(ctx, f)
	if err != nil {
		return err
	}
	begin := time.Now()
	if err := workload(); err != nil {
		return err
	}
	seconds := time.Since(begin).Seconds()
	after, err := takeSample(ctx, f)
	if err != nil {
		return err
	}
	var cpu, rss, anon, read, written []float64
	for i, a := range after.procs {
		b := before.procs[i]
		cpu = append(cpu, 100*(a.CPU-b.CPU).Seconds()/seconds)
		rss = append(rss, float64(a.RSS)/(1<<20))
		anon = append(anon, float64(a.AnonRSS)/(1<<20))
		read = append(read, float64(a.Read-b.Read)/1000/seconds)
		written = append(written, float64(a.Written-b.Written)/1000/seconds)
	}
	fmt.Printf("%-9d  %-5s  %-15s  %-13s  %-13s  %-11s  %-12s  %.1f\n", len(f.Instances), state,
		formatMeanMax(cpu), formatMeanMax(rss), formatMeanMax(anon), formatMeanMax(read), formatMeanMax(written), float64(after.configCalls-before.configCalls)/seconds)
	return nil
}

// formatMeanMax formats x as its mean and, in parentheses, its maximum.
func formatMeanMax(x []float64) string {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return fmt.Sprintf("%.2f (%.2f)", sum/float64(len(x)), slices.Max(x))
}

type usageSample struct {
	procs       []fleet.Usage
	configCalls int
}

func takeSample(ctx context.Context, f *fleet.Fleet) (usageSample, error) {
	var s usageSample
	for _, inst := range f.Instances {
		u, err := inst.Usage()
		if err != nil {
			return s, err
		}
		s.procs = append(s.procs, u)
	}
	calls, err := f.ConfigServiceCalls(ctx)
	s.configCalls = calls
	return s, err
}
