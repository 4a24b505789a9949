package result

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite docs/ERRORS.md")

// Guards against a result code that docs/ERRORS.md does not describe, a number
// that is used twice and a table that is not ordered by code.
func TestErrorsPageIsComplete(t *testing.T) {
	const path = "../../docs/ERRORS.md"
	var b strings.Builder
	b.WriteString("# Result codes\n\nErrors are JSON: `{\"error\":{\"code\",\"name\",\"message\",\"ran\",\"request_id\"}}`. ")
	b.WriteString("`ran` is `not_run` (no target executed any part of the request) or `may_have_run`. ")
	b.WriteString("Rewrite this page with `go test ./internal/result -update`.\n\n")
	b.WriteString("| code | name | HTTP status | meaning | what the caller does | what the operator does |\n|---|---|---|---|---|---|\n")
	last := Code(0)
	for _, in := range Table() {
		if in.Code <= last {
			t.Errorf("code %d is out of order or used twice", in.Code)
		}
		last = in.Code
		fmt.Fprintf(&b, "| %d | %s | %d | %s | %s | %s |\n", in.Code, in.Name, in.Status, in.Meaning, in.CallerAction, in.OperatorAction)
	}
	if *update {
		if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != b.String() {
		t.Errorf("%s differs from the code; run `go test ./internal/result -update`", path)
	}
}

// Guards against reporting an error without a result code as not run: the caller
// would then send a request again that may have run.
func TestUnknownErrorMayHaveRun(t *testing.T) {
	if e := FromError(os.ErrClosed); e.Code != InternalError || e.Ran != MayHaveRun {
		t.Fatalf("got %v", e)
	}
}
