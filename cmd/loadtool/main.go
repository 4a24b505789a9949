// Command loadtool drives running instances as callers do and checks every
// answer; it also compares result files, runs the demo and measures the cost
// of instances.
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
	Seed     uint64        `long:"seed" default:"1" description:"seed of all random choices"`
	Rate     float64       `long:"rate" default:"60" description:"requests per second"`
	Duration time.Duration `long:"duration" default:"10s" description:"time during which requests are sent"`
	Mix      string        `long:"mix" description:"shares such as care=0.3,large=0.05,question=0.4,booking=0.15,stock=0.1"`
	Home     []float64     `long:"home-weight" description:"share of callers in a region, in the order of the plan; may be repeated"`
	Timeout  time.Duration `long:"timeout" default:"60s" description:"bound of one request with its resends"`
	Out      string        `long:"out" description:"result file (JSON)"`
}

func (f *loadFlags) options() (load.Options, error) {
	o := load.Options{Seed: f.Seed, Rate: f.Rate, Duration: f.Duration, Timeout: f.Timeout, HomeWeights: f.Home, Mix: load.DefaultMix()}
	if f.Mix == "" {
		return o, nil
	}
	o.Mix = load.Mix{}
	for _, part := range strings.Split(f.Mix, ",") {
		name, share, _ := strings.Cut(part, "=")
		x, err := strconv.ParseFloat(share, 64)
		if err != nil || x < 0 {
			return o, fmt.Errorf("mix: %q is not KIND=SHARE", part)
		}
		o.Mix[load.Kind(name)] = x
	}
	return o, nil
}

// drive runs the load and writes the result file.
func drive(ctx context.Context, p *load.Plan, o load.Options, out string) (*load.Result, error) {
	rep, err := load.Drive(ctx, p, o)
	if err != nil {
		return nil, err
	}
	if out != "" {
		if err := rep.Write(out); err != nil {
			return nil, err
		}
	}
	return rep.Result, nil
}

// report prints a result; the error lists what must not happen.
func report(res *load.Result) error {
	if err := load.Print(os.Stdout, res); err != nil {
		return err
	}
	for _, n := range res.Notes {
		fmt.Println("note:", n)
	}
	if faults := res.Faults(); len(faults) > 0 {
		return fmt.Errorf("failed: %s", strings.Join(faults, "; "))
	}
	return nil
}

type runCommand struct {
	loadFlags
	Plan string `long:"plan" required:"true" description:"JSON file that describes instances, targets and teams (demo --keep writes one)"`
}

// Execute drives a running set of instances.
func (c *runCommand) Execute([]string) error {
	ctx, stop := interruptible()
	defer stop()
	plan, err := load.ReadPlan(c.Plan)
	if err != nil {
		return err
	}
	o, err := c.options()
	if err != nil {
		return err
	}
	res, err := drive(ctx, plan, o, c.Out)
	if err != nil {
		return err
	}
	return report(res)
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

func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// binDir is the directory of this program.
func binDir() (string, error) {
	self, err := os.Executable()
	return filepath.Dir(self), err
}

func main() {
	p := flags.NewParser(nil, flags.Default)
	for _, c := range []struct {
		name, text string
		cmd        any
	}{
		{"run", "drive running instances and check the answers", &runCommand{}},
		{"compare", "print result files side by side", &compareCommand{}},
		{"demo", "start a fleet on loopback, kill parts of it under load and check", &demoCommand{}},
		{"soak", "run the fleet under load with random faults and check", &soakCommand{}},
		{"up", "run the fleet of the demo and print its addresses and keys", &upCommand{}},
		{"measure", "measure CPU, memory and bytes of instances", &measureCommand{}},
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
