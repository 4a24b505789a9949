package main

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against headers that are lost between the command line and the request, and
// against errors that show a key.
func TestRouteCommandReadsHeaders(t *testing.T) {
	const key = "a-key-that-nobody-may-see"
	file := filepath.Join(t.TempDir(), "headers")
	if err := os.WriteFile(file, []byte("Api-Key: "+key+"\r\n\nX-B: 2\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	c := &routeCommand{Instance: "127.0.0.1:9464", Host: "h", Path: "/p", Method: "POST", Header: []string{"X-A: 1"}, Headers: file}
	r, err := c.request(nil)
	if err != nil || r.Header.Get("Api-Key") != key || r.Header.Get("X-A") != "1" || r.Header.Get("X-B") != "2" || r.Method != "POST" {
		t.Errorf("%v: %+v", err, r)
	}
	c.Headers = "-"
	if r, err = c.request(strings.NewReader("Api-Key: " + key)); err != nil || r.Header.Get("Api-Key") != key {
		t.Errorf("%v: %+v", err, r)
	}
	for _, broken := range []*routeCommand{
		{Instance: "127.0.0.1:1", Header: []string{key}},
		{Instance: "127.0.0.1:1", Headers: "no-such-file"},
		{Instance: "no-port"},
	} {
		if _, err := broken.request(strings.NewReader(key)); err == nil || strings.Contains(err.Error(), key) {
			t.Errorf("%+v: %v", broken, err)
		}
	}
	if err := c.Execute([]string{key}); err == nil || strings.Contains(err.Error(), key) {
		t.Errorf("an argument too many: %v", err)
	}
}

// Guards against a key that an error on standard error shows because it was given in
// the place of another argument.
func TestRouteCommandErrorsShowNoArgument(t *testing.T) {
	const secret = "SECRETK"
	for _, x := range []struct {
		name, want string
		args       []string
	}{
		{"header for a file", "--headers", []string{"route", "--instance", "127.0.0.1:1", "--headers", "Api-Key: " + secret}},
		{"header that begins with -", "--header", []string{"route", "--instance", "127.0.0.1:1", "--header", "-Api-Key: " + secret}},
		{"header that begins with --", "--header", []string{"route", "--instance", "127.0.0.1:1", "--header", "--Api-Key: " + secret}},
		{"header without a flag", "unknown flag", []string{"route", "--instance", "127.0.0.1:1", "--Api-Key: " + secret}},
		{"flag before the command", "unknown flag", []string{"--Api-Key: " + secret, "route"}},
		{"argument for a flag without one", "--json", []string{"route", "--instance", "127.0.0.1:1", "--json=" + secret}},
		{"no instance", "--instance", []string{"route", "--header", "Api-Key: " + secret}},
		{"header for an instance", "--instance", []string{"route", "--instance", "Api-Key: " + secret}},
	} {
		code, out := runWithStderr(t, x.args)
		if code != exitInvalid || strings.Contains(out, secret) || !strings.Contains(out, x.want) {
			t.Errorf("%s: exit code %d, %q, want %q", x.name, code, out, x.want)
		}
	}
}

// runWithStderr runs the program and returns what it wrote to standard error.
func runWithStderr(t *testing.T, args []string) (code int, out string) {
	t.Helper()
	file, err := os.CreateTemp(t.TempDir(), "stderr")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	stderr := os.Stderr
	os.Stderr = file
	code = run(args)
	os.Stderr = stderr
	if _, err := file.Seek(0, io.SeekStart); err != nil {
		t.Fatal(err)
	}
	written, err := io.ReadAll(file)
	if err != nil {
		t.Fatal(err)
	}
	return code, string(written)
}
