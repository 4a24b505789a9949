package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/settings"
	"github.com/wigeonhill/wigeonhill/internal/table"
)

type checkCommand struct {
	Config string `short:"c" long:"config" description:"settings file to check" value-name:"FILE"`
	Table  string `short:"t" long:"table" description:"published table to check" value-name:"FILE"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if c.Config == "" && c.Table == "" {
		return invalidError{errors.New("nothing to check: give --config FILE, --table FILE or both")}
	}
	var faults error
	if c.Config != "" {
		if _, err := settings.Load(c.Config); err != nil {
			faults = err
		} else {
			fmt.Printf("%s: ok\n", c.Config)
		}
	}
	if c.Table != "" {
		if err := checkTable(c.Table); err != nil {
			if faults != nil {
				err = errors.Newf("%s\n%s", faults, err)
			}
			faults = err
		}
	}
	if faults != nil {
		return invalidError{faults}
	}
	return nil
}

func checkTable(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "reading table")
	}
	e, err := table.Parse(text)
	if err != nil {
		return errors.Wrapf(err, "table %s", path)
	}
	fmt.Printf("%s: ok: %d regions, %d teams, %d keys, %d models, %d routes, %d targets, digest %x\n",
		path, len(e.Regions), len(e.Teams), len(e.Keys), len(e.Models), len(e.Routes), len(e.Targets), e.Digest[:8])
	return nil
}
