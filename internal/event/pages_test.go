package event

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite docs/EVENTS.md")

// Guards against a log event that docs/EVENTS.md does not explain.
func TestEventsPageIsComplete(t *testing.T) {
	const path = "../../docs/EVENTS.md"
	var b strings.Builder
	b.WriteString("# Log events\n\nEvery log line carries the number of its event in the field `event`. ")
	b.WriteString("Rewrite this page with `go test ./internal/event -update`.\n\n")
	b.WriteString("| event | level | message | meaning |\n|---|---|---|---|\n")
	for _, e := range All() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Level, e.Name, e.Meaning)
	}
	comparePage(t, path, b.String())
}

func comparePage(t *testing.T, path, want string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("%s differs from the code; run `go test ./internal/event -update`", path)
	}
}
