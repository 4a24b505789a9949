// Command loadtool sends load to running instances as callers do and checks
// every response. It also compares result files, runs demo fleets, injects
// faults and measures the resource use of instances.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/wigeonhill/wigeonhill/internal/load"
)

type loadFlags struct {
	Seed          uint64        `long:"seed" default:"1" description:"seed of all random choices"`
	Rate          float64       `long:"rate" default:"60" description:"requests per second"`
	Duration      time.Duration `long:"duration" default:"10s" description:"time during which requests are sent"`
	Mix           string        `long:"mix" description:"shares of the kinds of requests, such as care=0.3,large=0.05,question=0.4,booking=0.15,stock=0.1"`
	RegionWeights []float64     `long:"home-weight" description:"weight of a region among callers, in the order of the plan; may be repeated"`
	Timeout       time.Duration `long:"timeout" default:"60s" description:"time limit of one request including its resends"`
	Out           string        `long:"out" description:"result file (JSON)"`
}

func (f *loadFlags) options() (load.Options, error) {
	opts := load.Options{Seed: f.Seed, Rate: f.Rate, Duration: f.Duration, Timeout: f.Timeout, RegionWeights: f.RegionWeights, Mix: load.DefaultMix()}
	if f.Mix == "" {
		return opts, nil
	}
	opts.Mix = load.Mix{}
	for _, entry := range strings.Split(f.Mix, ",") {
		name, share, _ := strings.Cut(entry, "=")
		weight, err := strconv.ParseFloat(share, 64)
		if err != nil || weight < 0 {
			return opts, fmt.Errorf("mix: %q is not KIND=SHARE", entry)
		}
		opts.Mix[load.Kind(name)] = weight
	}
	return opts, nil
}

// runLoad sends the load, checks the responses and writes the result file if
// out is set.
func runLoad(ctx context.Context, plan *load.Plan, opts load.Options, out string) (*load.Result, error) {
	report, err := load.RunAndCheck(ctx, plan, opts)
	if err != nil {
		return nil, err
	}
	if out != "" {
		if err := report.Write(out); err != nil {
			return nil, err
		}
	}
	return report.Result, nil
}

// printResult prints a result. Its error lists the violated guarantees.
func printResult(res *load.Result) error {
	if err := load.Print(os.Stdout, res); err != nil {
		return err
	}
	for _, n := range res.Notes {
		fmt.Println("note:", n)
	}
	if violations := res.Violations(); len(violations) > 0 {
		return fmt.Errorf("failed: %s", strings.Join(violations, "; "))
	}
	return nil
}

type runCommand struct {
	loadFlags
	Plan string `long:"plan" required:"true" description:"JSON file that describes instances, targets and teams (demo --keep writes one)"`
}

// Execute sends load to running instances and checks the responses.
func (c *runCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	plan, err := load.ReadPlan(c.Plan)
	if err != nil {
		return err
	}
	opts, err := c.options()
	if err != nil {
		return err
	}
	res, err := runLoad(ctx, plan, opts, c.Out)
	if err != nil {
		return err
	}
	return printResult(res)
}

type compareCommand struct {
	Args struct {
		Results []string `positional-arg-name:"RESULT" required:"2"`
	} `positional-args:"true"`
}

// Execute prints result files side by side.
func (c *compareCommand) Execute([]string) error {
	var results []*load.Result
	for _, path := range c.Args.Results {
		res, err := load.ReadResult(path)
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		results = append(results, res)
	}
	return load.Print(os.Stdout, results...)
}

// signalContext returns a context that ends on SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// executableDir returns the directory of this program, which also holds the
// programs of the fleet.
func executableDir() (string, error) {
	self, err := os.Executable()
	return filepath.Dir(self), err
}

func main() {
	p := flags.NewParser(nil, flags.Default)
	for _, c := range []struct {
		name, text string
		cmd        any
	}{
		{"run", "send load to running instances and check the responses", &runCommand{}},
		{"compare", "print result files side by side", &compareCommand{}},
		{"demo", "start a fleet on loopback, kill processes under load and check the results", &demoCommand{}},
		{"soak", "run a fleet under load with random faults and check the results", &soakCommand{}},
		{"up", "run the demo fleet and print its addresses and keys", &upCommand{}},
		{"measure", "measure CPU time, memory and I/O of instances", &measureCommand{}},
	} {
		if _, err := p.AddCommand(c.name, c.text, "", c.cmd); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if _, err := p.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}
