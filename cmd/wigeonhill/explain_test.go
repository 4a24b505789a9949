package main

import (
	"bytes"
	"strings"
	"testing"
)

// bookingLog holds log lines of a booking that ended with status 502: no
// connection to the first target could be made, and the second one broke its
// connection. The lines come from a run and are not in order of time.
const bookingLog = `
  12.10 front-pl-a-2 {"level":"info","ts":1003.5,"msg":"request placed","instance":"front-pl-a-2","event":834,"request":"b1","route":"r-1","service":"s","target":"i-2","region":"","expected":31,"reason":"own region has room","sends":1,"revision":40}
{"level":"info","ts":1000,"msg":"request placed","instance":"front-pl-a-2","event":834,"request":"b1","route":"r-1","service":"s","target":"i-1","region":"","expected":30,"reason":"own region has room","sends":0,"revision":40}
{"level":"info","ts":1003,"msg":"request retried","instance":"front-pl-a-2","event":831,"request":"b1","target":"i-1","ran":"not_run","reason":"no connection to the target: dial tcp: i/o timeout","sent":0}
{"level":"info","ts":1001,"msg":"request placed","instance":"front-pl-a-2","event":834,"request":"b11","target":"i-1"}
not json {"request":"b1"
{"level":"warn","ts":1060,"msg":"request failed","instance":"front-pl-a-2","event":832,"request":"b1","code":401,"name":"target_failed","ran":"may_have_run","reason":"the connection to the target broke: EOF","after":60,"sent":1,"sends":2}
`

func TestExplainNamesTheCause(t *testing.T) {
	var lines []logLine
	for text := range strings.Lines(bookingLog) {
		if l, ok := parseLogLine(strings.TrimSpace(text), "b1"); ok {
			lines = append(lines, l)
		}
	}
	var out bytes.Buffer
	if err := explain(&out, "b1", lines); err != nil {
		t.Fatal(err)
	}
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(got) != 5 {
		t.Fatalf("%d lines:\n%s", len(got), out.String())
	}
	for i, want := range []string{"target=i-1", "no connection to the target", "target=i-2", "request failed", "cause: request failed: the connection to the target broke: EOF (may_have_run) at front-pl-a-2"} {
		if !strings.Contains(got[i], want) {
			t.Errorf("line %d is %q, want %q", i, got[i], want)
		}
	}
	if err := explain(&out, "unknown", nil); err == nil {
		t.Error("a request without lines is explained")
	}
}
