package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/instance"
	"github.com/wigeonhill/wigeonhill/platform"
)

// platformCommand runs an instance on the platform that package platform speaks
// to. Its settings file is written by the platform.
type platformCommand struct {
	Config   string `short:"c" long:"config" description:"settings file; default: the file that the environment names" value-name:"FILE"`
	LogLevel string `long:"log-level" default:"info" description:"debug, info, warn or error"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	path := c.Config
	if path == "" {
		path = os.Getenv(platform.SettingsEnv)
	}
	if path == "" {
		return invalidError{errors.Newf("no settings file: give --config or set %s", platform.SettingsEnv)}
	}
	log, lines, err := event.BuildAsync(os.Stdout, c.LogLevel)
	if err != nil {
		return invalidError{err}
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	i, err := instance.New(path, log, lines)
	if err != nil {
		return errors.Wrap(err, "start")
	}
	return i.Run(ctx, hangups)
}
