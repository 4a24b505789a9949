package fleet

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

func testFleet(t *testing.T) *Fleet {
	t.Helper()
	dir := t.TempDir()
	for _, name := range []string{"wigeonhill", "standin"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte("#!/bin/sh\nexec sleep 60\n"), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	f, err := New(DemoSpec(dir, dir))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// Guards against a generated configuration or settings file that the gateway
// rejects, and against an address allocated twice, which config.Parse rejects.
func TestGeneratedFilesAreValid(t *testing.T) {
	f := testFleet(t)
	cfg, err := config.Parse([]byte(f.ConfigText()))
	if err != nil {
		t.Fatal(err)
	}
	if len(cfg.Targets) != 15 || len(cfg.Keys) != 5 || len(cfg.Regions["curepipe"].Voters) != 3 {
		t.Fatalf("%d targets, %d keys, voters %v", len(cfg.Targets), len(cfg.Keys), cfg.Regions["curepipe"].Voters)
	}
	f.Teams[0].Key = ""
	if cfg, err = config.Parse([]byte(f.ConfigText())); err != nil || len(cfg.Keys) != 4 {
		t.Fatalf("configuration without the key of one team: %v", err)
	}
	for _, in := range f.Instances {
		s, err := settings.Load(filepath.Join(f.Spec.Dir, in.Name+".ini"))
		if err != nil || s.Listen.Callers != in.Address || len(s.Peers.Bootstrap) < 5 {
			t.Fatalf("settings of %s: %v, %+v", in.Name, err, s)
		}
	}
}

// Guards against a process that still runs after Kill or Stop, and against
// Running reporting true for a process that has exited.
func TestKillAndStopEndProcess(t *testing.T) {
	f := testFleet(t)
	p := f.Instances[0]
	for _, stop := range []func(){p.Kill, func() { p.Stop(10 * time.Second) }} {
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		if !p.Running() {
			t.Fatalf("not running: %s", p.LogTail(100))
		}
		if stop(); p.Running() {
			t.Fatal("still running")
		}
	}
}
