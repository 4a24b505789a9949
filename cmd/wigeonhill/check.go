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
	SettingsFile string `short:"c" long:"config" description:"settings file to check" value-name:"FILE"`
	ConfigFile   string `short:"t" long:"table" description:"published configuration to check" value-name:"FILE"`
	// Files in the formats of the platform.
	PlatformSettingsFile string `long:"platform-config" description:"settings file of the platform to check" value-name:"FILE"`
	PlatformConfigFile   string `long:"platform-table" description:"configuration to check, in the form in which operators publish it on the platform" value-name:"FILE"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	checks := []struct {
		path  string
		check func(path string) error
	}{{c.SettingsFile, checkSettings}, {c.ConfigFile, checkConfig}, {c.PlatformSettingsFile, checkPlatformSettings}, {c.PlatformConfigFile, checkPlatformConfig}}
	var messages []string
	checked := 0
	for _, entry := range checks {
		if entry.path == "" {
			continue
		}
		checked++
		if err := entry.check(entry.path); err != nil {
			messages = append(messages, err.Error())
		}
	}
	if checked == 0 {
		return invalidError{errors.New("nothing to check: give --config, --table, --platform-config or --platform-table with a file")}
	}
	if len(messages) > 0 {
		return invalidError{errors.New(strings.Join(messages, "\n"))}
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

func checkPlatformConfig(path string) error {
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

func checkConfig(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "reading table")
	}
	c, err := config.Parse(text)
	if err != nil {
		return errors.Wrapf(err, "table %s", path)
	}
	fmt.Printf("%s: ok: %d regions, %d teams, %d keys, %d models, %d routes, %d targets, digest %x\n",
		path, len(c.Regions), len(c.Teams), len(c.Keys), len(c.Models), len(c.Routes), len(c.Targets), c.Digest[:8])
	return nil
}
