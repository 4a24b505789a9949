package strictini

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// Guards against quadratic scan time for a text within the size limit: the keys
// of a section are searched linearly, so their number must be bounded.
func TestManyKeys(t *testing.T) {
	var b bytes.Buffer
	b.WriteString("[a]\n")
	for i := range 100_000 {
		fmt.Fprintf(&b, "k%d=1\n", i)
	}
	var c Collector
	sections := Scan(b.Bytes(), 1_000_000, &c)
	if len(sections) != 1 || len(sections[0].Keys) != maxSectionKeys {
		t.Fatalf("%d keys kept", len(sections[0].Keys))
	}
	if err := c.Err(); err == nil || !strings.Contains(err.Error(), "line 66: [a] has more than 64 keys") {
		t.Errorf("%.100v", err)
	}
}

// Guards against syntax that gopkg.in/ini.v1 interprets differently or accepts
// silently, such as inline comments, quotes, continuations and duplicates.
func TestForms(t *testing.T) {
	for text, want := range map[string]string{
		"[a]\r\nk = 1\r\n":       "1",
		"[a]\n  k=1 ":            "1",
		"[a.b]\n[a]\nk = 1\n":    "",
		"[a]\nk = 1\n[a.b]\n":    "1",
		"[a]\nk = x # y ; z\n":   "x # y ; z",
		"[a]\nk = %(other)s\n":   "%(other)s",
		"[a]\nk = a=b\n":         "a=b",
		"[a]\nk = ${HOME}\n":     "${HOME}",
		"[a]\n# c\n; d\nk = é\n": "é",
	} {
		var c Collector
		sections := Scan([]byte(text), 100, &c)
		if err := c.Err(); err != nil {
			t.Errorf("%q: %v", text, err)
			continue
		}
		if k, _ := sections[0].Lookup("k"); k.Value != want {
			t.Errorf("%q: %q, want %q", text, k.Value, want)
		}
	}
	for _, text := range []string{
		"k = 1\n", "[a\nk = 1\n", "[a]\nk\n", "[a]\nk =\n", "[a]\nk = \"1\"\n", "[a]\nk = 1 \\\n", "[a]\nk = `1`\n",
		"[a]\nK = 1\n", "[a]\n- = 1\n", "[a]\nk: 1\n", "[ a ]\n", "[]\n", "[a]\n[a]\n", "[a]\nk = 1\nk = 1\n",
		"[a]\nk = \x00\n", "[a]\nk = \xff\n", "\ufeff[a]\n", "[a]\nk = 1\x0b2\n",
	} {
		var c Collector
		if Scan([]byte(text), 100, &c); c.Err() == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}
