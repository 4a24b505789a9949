package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/node"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

// serveCommand runs an instance. Flags override the settings file.
type serveCommand struct {
	Config    string `short:"c" long:"config" description:"settings file" value-name:"FILE" required:"true"`
	Callers   string `long:"callers" description:"address for callers (IP:port)"`
	Peers     string `long:"peers" description:"address for other instances (IP:port)"`
	Operators string `long:"operators" description:"address for operators (IP:port)"`
	LogLevel  string `long:"log-level" description:"debug, info, warn or error"`
	LogFormat string `long:"log-format" description:"json or console"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	s, err := settings.Load(c.Config)
	if err != nil {
		return invalidError{err}
	}
	override(&s.Listen.Callers, c.Callers)
	override(&s.Listen.Peers, c.Peers)
	override(&s.Listen.Operators, c.Operators)
	override(&s.Log.Level, c.LogLevel)
	override(&s.Log.Format, c.LogFormat)
	log, err := event.Build(s.Log.Format, s.Log.Level)
	if err != nil {
		return invalidError{err}
	}
	// Before anything is started: until then the signal would end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	n, err := node.New(s, version, log)
	if err != nil {
		return errors.Wrap(err, "start")
	}
	go checkOnHangup(ctx, hangups, c.Config, log)
	return n.Run(ctx)
}

// checkOnHangup checks the settings file on each SIGHUP and logs the outcome.
// Nothing is applied: addresses and bounds are part of what peers and callers
// rely on, and half of a file must never be in force.
func checkOnHangup(ctx context.Context, hangups <-chan os.Signal, path string, log *event.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			outcome := "no faults; restart the instance to apply it"
			if _, err := settings.Load(path); err != nil {
				outcome = err.Error()
			}
			log.Emit(event.SettingsChecked, zap.String("file", path), zap.String("outcome", outcome))
		}
	}
}

func override(field *string, value string) {
	if value != "" {
		*field = value
	}
}
