package main

import (
	"fmt"
	"os"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/fleet"
)

type upCommand struct {
	For time.Duration `long:"for" default:"10m" description:"time after which the fleet is stopped"`
}

// Execute runs the demo fleet until the time is over or the program is
// interrupted.
func (c *upCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	bin, err := executableDir()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "wigeonhill-up-")
	if err != nil {
		return err
	}
	f, err := fleet.New(fleet.DemoSpec(bin, dir))
	if err != nil {
		return err
	}
	defer (&demoCommand{}).finish(f)
	if err := startFleet(ctx, f); err != nil {
		return err
	}
	fmt.Printf("%-24s %-24s %-24s\n", "instance", "callers", "operators")
	for _, inst := range f.Instances {
		fmt.Printf("%-24s %-24s %-24s\n", inst.Name, inst.Address, inst.OperatorAddress)
	}
	fmt.Println()
	for _, t := range f.Teams {
		fmt.Printf("key of team %-10s %s\n", t.Name, t.Key)
	}
	fmt.Printf("\nconfiguration service http://%s, files in %s\n", f.ConfigService.Address, dir)
	fmt.Printf("running for %v; interrupt to stop\n", c.For)
	select {
	case <-ctx.Done():
	case <-time.After(c.For):
	}
	return nil
}
