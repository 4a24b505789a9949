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

// platformCommand runs an instance on the platform whose protocol package
// platform implements. The platform writes the settings file.
type platformCommand struct {
	SettingsFile string `short:"c" long:"config" description:"settings file; default: the file named by the environment variable of the platform" value-name:"FILE"`
	LogLevel     string `long:"log-level" default:"info" description:"debug, info, warn or error"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	path := c.SettingsFile
	if path == "" {
		path = os.Getenv(platform.SettingsEnv)
	}
	if path == "" {
		return invalidError{errors.Newf("no settings file: give --config or set %s", platform.SettingsEnv)}
	}
	log, logWriter, err := event.BuildAsync(os.Stdout, c.LogLevel)
	if err != nil {
		return invalidError{err}
	}
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	inst, err := instance.New(path, log, logWriter)
	if err != nil {
		return errors.Wrap(err, "start")
	}
	return inst.Run(ctx, sighup)
}
