package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/server"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

// serveCommand runs an instance. Flags override the settings file.
type serveCommand struct {
	SettingsFile string `short:"c" long:"config" description:"settings file" value-name:"FILE" required:"true"`
	Callers      string `long:"callers" description:"address for callers (IP:port)"`
	Peers        string `long:"peers" description:"address for other instances (IP:port)"`
	Operators    string `long:"operators" description:"address for operators (IP:port)"`
	LogLevel     string `long:"log-level" description:"debug, info, warn or error"`
	LogFormat    string `long:"log-format" description:"json or console"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	s, err := settings.Load(c.SettingsFile)
	if err != nil {
		return invalidError{err}
	}
	overrideIfSet(&s.Listen.Callers, c.Callers)
	overrideIfSet(&s.Listen.Peers, c.Peers)
	overrideIfSet(&s.Listen.Operators, c.Operators)
	overrideIfSet(&s.Log.Level, c.LogLevel)
	overrideIfSet(&s.Log.Format, c.LogFormat)
	log, err := event.Build(s.Log.Format, s.Log.Level)
	if err != nil {
		return invalidError{err}
	}
	// Installed before anything starts: without a handler, SIGHUP ends the
	// process.
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	srv, err := server.New(s, version, log)
	if err != nil {
		return errors.Wrap(err, "start")
	}
	go checkSettingsOnSIGHUP(ctx, sighup, c.SettingsFile, log)
	return srv.Run(ctx)
}

// checkSettingsOnSIGHUP checks the settings file on each SIGHUP and logs the
// outcome. It applies nothing: peers and callers rely on the addresses and
// bounds, and a file must never be in force in part.
func checkSettingsOnSIGHUP(ctx context.Context, sighup <-chan os.Signal, path string, log *event.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
			outcome := "no faults; restart the instance to apply it"
			if _, err := settings.Load(path); err != nil {
				outcome = err.Error()
			}
			log.Emit(event.SettingsChecked, zap.String("file", path), zap.String("outcome", outcome))
		}
	}
}

func overrideIfSet(field *string, value string) {
	if value != "" {
		*field = value
	}
}
