package settings

import (
	"strings"
	"testing"
	"time"
)

// Guards against example settings files that an instance would reject.
func TestExamples(t *testing.T) {
	for _, name := range []string{"ramdin", "peachtree"} {
		s, err := Load("../../examples/" + name + "/instance.ini")
		if err != nil {
			t.Fatal(err)
		}
		if s.Instance.Name == "" || len(s.Peers.Bootstrap) != 3 || s.Bounds.MaxConfigAge != time.Hour {
			t.Errorf("%s: %+v", name, s)
		}
	}
}

const minimalSettings = `[instance]
name = a-1
region = a
domain = a-x
[listen]
callers = 127.0.0.1:1
peers = 127.0.0.1:2
[platform]
config = http://127.0.0.1:3
[peers]
insecure = true
`

// Guards against default values that the checks would reject.
func TestDefaults(t *testing.T) {
	s, err := Parse([]byte(minimalSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Bounds.MaxBody != 8<<20 || s.Bounds.MaxConfigAge != time.Hour || s.Log.Format != "json" || s.Listen.Operators == "" {
		t.Errorf("%+v", s)
	}
}

// Guards against faults that are accepted silently or reported without their
// line.
func TestFaults(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"name = a-1", "name = a.1", "line 2: [instance] name: \"a.1\" is not accepted; accepted: lower-case letters"},
		{"callers = 127.0.0.1:1", "callers = 0.0.0.0:1", "line 6: [listen] callers: \"0.0.0.0:1\" is not accepted"},
		{"config = http://127.0.0.1:3", "config = 127.0.0.1:3", "line 9: [platform] config"},
		{"insecure = true", "insecure = yes", "line 11: [peers] insecure: \"yes\" is not accepted; accepted: true, false"},
		{"insecure = true", "insecure = true\ncert_file = x", "line 12: [peers] cert_file: cannot be used"},
		{"insecure = true", "insecure = false", "line 10: [peers] needs the key cert_file"},
		{"[peers]", "[bounds]\nmax_body = 8 MB\n[peers]", "line 11: [bounds] max_body: \"8 MB\" is not accepted; accepted:"},
		{"[peers]", "[bounds]\nshutdown_timeout = 1s\n[peers]", "line 11: [bounds] shutdown_timeout: 1s is shorter than request_timeout"},
		{"[peers]", "[bounds]\nstream_buffer = 1GiB\n[peers]", "line 11: [bounds] stream_buffer: 1073741824 bytes exceed team_buffer"},
		{"[peers]", "[log]\nlevel = trace\n[peers]", "line 11: [log] level: \"trace\" is not accepted; accepted: debug, info, warn, error"},
		{"[peers]", "[instance]\nname = b\n[peers]", "line 10: section [instance] is a duplicate of line 1"},
		{"[peers]", "[log]\nfile = x\n[peers]", "line 11: [log] has no key file; accepted: format, level"},
	} {
		_, err := Parse([]byte(strings.Replace(minimalSettings, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got %v, want %q", c.new, err, c.want)
		}
	}
	if _, err := Parse(nil); err == nil || strings.Count(err.Error(), "needs the key") != 9 {
		t.Errorf("an empty file must be reported with all its missing keys, got %v", err)
	}
}

// Guards against panics of the parser, and against accepting texts whose bounds
// the checks must reject.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse(text)
		if err == nil && (s.Instance.Name == "" || s.Bounds.StreamBuffer > s.Bounds.TeamBuffer || s.Bounds.MaxBody <= 0) {
			t.Fatalf("accepted: %+v", s)
		}
	})
}
