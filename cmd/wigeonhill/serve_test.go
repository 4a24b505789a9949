package main

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wigeonhill/wigeonhill/internal/event"
)

// Guards against an instance that exits on SIGHUP, or that applies a part of the
// settings file instead of only checking it.
func TestSIGHUPOnlyChecksSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.ini")
	if err := os.WriteFile(path, []byte("[bogus]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zapcore.InfoLevel)
	ctx, cancel := context.WithCancel(context.Background())
	// The handler is never removed: on a busy machine a signal may be delivered
	// late and would then end the test process.
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		checkSettingsOnSIGHUP(ctx, sighup, path, event.NewLogger(zap.New(core)))
	}()
	for logs.FilterMessage(event.SettingsChecked.Name).Len() == 0 {
		_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-ended
}

// Guards against changed exit codes, which scripts depend on.
func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		args []string
		want int
	}{
		{[]string{"version"}, exitOK},
		{[]string{"check"}, exitInvalid},
		{[]string{"check", "--table", "../../examples/ramdin/table.ini"}, exitOK},
		{[]string{"check", "--table", "no-such-file"}, exitInvalid},
		{[]string{"bogus"}, exitInvalid},
		{[]string{"serve"}, exitInvalid},
		{[]string{"status", "-a", "127.0.0.1:1", "overview"}, exitFailure},
		{[]string{"route"}, exitInvalid},
		{[]string{"route", "--instance", "127.0.0.1"}, exitInvalid},
		{[]string{"route", "--instance", "127.0.0.1:1", "--header", "no colon"}, exitInvalid},
		{[]string{"route", "--instance", "127.0.0.1:1", "--header", "A:", "b"}, exitInvalid},
		{[]string{"route", "--instance", "127.0.0.1:1", "--host", "h"}, exitFailure},
	} {
		if got := run(c.args); got != c.want {
			t.Errorf("%v: exit code %d, want %d", c.args, got, c.want)
		}
	}
}
