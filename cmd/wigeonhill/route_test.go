package main

import (
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
