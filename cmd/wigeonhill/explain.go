package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxLogLineBytes is the maximum length of a log line, in bytes.
const maxLogLineBytes = 1 << 20

// explainCommand merges the lines that name a request from several logs, in
// the order of their time stamps.
type explainCommand struct {
	Args struct {
		Request string   `positional-arg-name:"ID" description:"request id"`
		Files   []string `positional-arg-name:"FILE" description:"log files; - or none for standard input"`
	} `positional-args:"yes" required:"1"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var lines []logLine
	files := c.Args.Files
	if len(files) == 0 {
		files = []string{"-"}
	}
	for _, name := range files {
		found, err := readLog(name, c.Args.Request)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	return explain(os.Stdout, c.Args.Request, lines)
}

// logLine is a log line that names the request.
type logLine struct {
	unixMillis float64
	event      string
	fields     map[string]any
}

func readLog(path, request string) ([]logLine, error) {
	f := os.Stdin
	if path != "-" {
		var err error
		if f, err = os.Open(path); err != nil {
			return nil, errors.Wrap(err, "read the log")
		}
		defer f.Close()
	}
	var out []logLine
	s := bufio.NewScanner(f)
	s.Buffer(nil, maxLogLineBytes)
	for s.Scan() {
		if l, ok := parseLogLine(s.Text(), request); ok {
			out = append(out, l)
		}
	}
	return out, errors.Wrapf(s.Err(), "read %s", path)
}

// parseLogLine parses a line with a JSON object, which other text may precede.
// It reports whether the line names the request.
func parseLogLine(text, request string) (logLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 || !strings.Contains(text, request) {
		return logLine{}, false
	}
	l := logLine{}
	if json.Unmarshal([]byte(text[start:]), &l.fields) != nil || l.fields["request"] != request {
		return logLine{}, false
	}
	l.unixMillis, _ = l.fields["ts"].(float64)
	l.event, _ = l.fields["msg"].(string)
	return l, true
}

// printedFields lists the log fields that explain a decision, in the order in
// which they are printed.
var printedFields = []string{
	"instance", "from", "name", "code", "ran", "reason", "route", "service", "target", "region", "away", "fetch_from", "team",
	"expected", "took", "longest", "after", "retry_after", "sends", "sent", "revision",
	"source", "targets_age",
}

// explain prints the log lines of a request in order of time and then the cause
// of its end.
func explain(w io.Writer, request string, lines []logLine) error {
	if len(lines) == 0 {
		return errors.Newf("no line names the request %s; it was answered in time, or its lines were dropped (event 840)", request)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.unixMillis, b.unixMillis) })
	for _, l := range lines {
		fmt.Fprintf(w, "%+8.0f ms  %s", l.unixMillis-lines[0].unixMillis, l.event)
		for _, name := range printedFields {
			if v, ok := l.fields[name]; ok && v != "" {
				fmt.Fprintf(w, "  %s=%v", name, v)
			}
		}
		fmt.Fprintln(w)
	}
	for _, l := range slices.Backward(lines) {
		if reason, ok := l.fields["reason"].(string); ok && l.fields["code"] != nil {
			fmt.Fprintf(w, "cause: %s: %v (%v) at %v\n", l.event, reason, l.fields["ran"], l.fields["instance"])
			return nil
		}
	}
	fmt.Fprintf(w, "cause: none found; the last line is %q\n", lines[len(lines)-1].event)
	return nil
}
