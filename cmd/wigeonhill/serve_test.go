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

// Guards against an instance that ends or applies half of a file on SIGHUP.
func TestHangupOnlyChecksSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.ini")
	if err := os.WriteFile(path, []byte("[bogus]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zapcore.InfoLevel)
	ctx, cancel := context.WithCancel(context.Background())
	// The handler stays installed: a signal may be delivered late on a busy
	// machine and would then end the test's process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		checkOnHangup(ctx, hangups, path, event.NewLogger(zap.New(core)))
	}()
	for logs.FilterMessage(event.SettingsChecked.Name).Len() == 0 {
		_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-ended
}

// Guards against exit codes that scripts cannot rely on.
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
		{[]string{"status", "-a", "127.0.0.1:1", "overview"}, exitFault},
	} {
		if got := run(c.args); got != c.want {
			t.Errorf("%v: exit code %d, want %d", c.args, got, c.want)
		}
	}
}
