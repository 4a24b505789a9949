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

// Guards against generated texts that the gateway refuses, and addresses that
// are handed out twice (which table.Parse refuses too).
func TestGeneratedTextsAreAccepted(t *testing.T) {
	f := testFleet(t)
	e, err := config.Parse([]byte(f.Table()))
	if err != nil {
		t.Fatal(err)
	}
	if len(e.Targets) != 15 || len(e.Keys) != 5 || len(e.Regions["curepipe"].Voters) != 3 {
		t.Fatalf("%d targets, %d keys, seats %v", len(e.Targets), len(e.Keys), e.Regions["curepipe"].Voters)
	}
	f.Teams[0].Key = ""
	if e, err = config.Parse([]byte(f.Table())); err != nil || len(e.Keys) != 4 {
		t.Fatalf("without the key of a team: %v", err)
	}
	for _, in := range f.Instances {
		s, err := settings.Load(filepath.Join(f.Spec.Dir, in.Name+".ini"))
		if err != nil || s.Listen.Callers != in.Address || len(s.Peers.Bootstrap) < 5 {
			t.Fatalf("settings of %s: %v, %+v", in.Name, err, s)
		}
	}
}

// Guards against a process that is left running, and a stopped one that is
// still taken for running.
func TestProcessEnds(t *testing.T) {
	f := testFleet(t)
	p := f.Instances[0]
	for _, end := range []func(){p.Kill, func() { p.Stop(10 * time.Second) }} {
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		if !p.Running() {
			t.Fatalf("not running: %s", p.Tail(100))
		}
		if end(); p.Running() {
			t.Fatal("still running")
		}
	}
}
