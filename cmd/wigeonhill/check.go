package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/settings"
	"github.com/wigeonhill/wigeonhill/platform"
)

type checkCommand struct {
	Config string `short:"c" long:"config" description:"settings file to check" value-name:"FILE"`
	Table  string `short:"t" long:"table" description:"published table to check" value-name:"FILE"`
	// Files of the platform, in its own formats.
	PlatformConfig string `long:"platform-config" description:"settings file of the platform to check" value-name:"FILE"`
	PlatformTable  string `long:"platform-table" description:"configuration as operators publish it on the platform, to check" value-name:"FILE"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	checks := []struct {
		path  string
		check func(path string) error
	}{{c.Config, checkSettings}, {c.Table, checkTable}, {c.PlatformConfig, checkPlatformSettings}, {c.PlatformTable, checkPlatformTable}}
	var faults []string
	checked := 0
	for _, x := range checks {
		if x.path == "" {
			continue
		}
		checked++
		if err := x.check(x.path); err != nil {
			faults = append(faults, err.Error())
		}
	}
	if checked == 0 {
		return invalidError{errors.New("nothing to check: give --config, --table, --platform-config or --platform-table with a file")}
	}
	if len(faults) > 0 {
		return invalidError{errors.New(strings.Join(faults, "\n"))}
	}
	return nil
}

func checkSettings(path string) error {
	if _, err := settings.Load(path); err != nil {
		return err
	}
	fmt.Printf("%s: ok\n", path)
	return nil
}

func checkPlatformSettings(path string) error {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	fmt.Printf("%s: ok: instance %s in failure domain %s of region %s, %d seeds\n", path, s.Instance, s.Domain, s.Region, len(s.Seeds))
	return nil
}

func checkPlatformTable(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "reading configuration")
	}
	c, err := platform.DecodeConfig(text)
	if err == nil {
		err = c.Validate()
	}
	if err != nil {
		return errors.Wrapf(err, "configuration %s", path)
	}
	fmt.Printf("%s: ok: version %d, %d routes, %d services, %d teams\n", path, c.Version, len(c.Routes), len(c.Services), len(c.Teams))
	return nil
}

func checkTable(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "reading table")
	}
	e, err := config.Parse(text)
	if err != nil {
		return errors.Wrapf(err, "table %s", path)
	}
	fmt.Printf("%s: ok: %d regions, %d teams, %d keys, %d models, %d routes, %d targets, digest %x\n",
		path, len(e.Regions), len(e.Teams), len(e.Keys), len(e.Models), len(e.Routes), len(e.Targets), e.Digest[:8])
	return nil
}
