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

// maxLogLine bounds a line of a log, in bytes.
const maxLogLine = 1 << 20

// explainCommand puts the lines of several logs that name a request in order.
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

// logLine is a line of a log that names the request.
type logLine struct {
	at     float64 // Unix milliseconds
	event  string
	fields map[string]any
}

func readLog(name, request string) ([]logLine, error) {
	f := os.Stdin
	if name != "-" {
		var err error
		if f, err = os.Open(name); err != nil {
			return nil, errors.Wrap(err, "read the log")
		}
		defer f.Close()
	}
	var out []logLine
	s := bufio.NewScanner(f)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		if l, ok := parseLogLine(s.Text(), request); ok {
			out = append(out, l)
		}
	}
	return out, errors.Wrapf(s.Err(), "read %s", name)
}

// parseLogLine reads a JSON line, which may have other text before it.
func parseLogLine(text, request string) (logLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 || !strings.Contains(text, request) {
		return logLine{}, false
	}
	l := logLine{}
	if json.Unmarshal([]byte(text[start:]), &l.fields) != nil || l.fields["request"] != request {
		return logLine{}, false
	}
	l.at, _ = l.fields["ts"].(float64)
	l.event, _ = l.fields["msg"].(string)
	return l, true
}

// explained are the fields that say why, in the order in which they are printed.
var explained = []string{
	"instance", "from", "name", "code", "ran", "reason", "route", "service", "target", "region", "away", "fetch_from", "team",
	"expected", "took", "longest", "after", "retry_after", "sends", "sent", "revision",
}

// explain prints the path of a request and, at its end, the cause.
func explain(w io.Writer, request string, lines []logLine) error {
	if len(lines) == 0 {
		return errors.Newf("no line names the request %s; it was answered in time, or its lines were dropped (event 840)", request)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.at, b.at) })
	for _, l := range lines {
		fmt.Fprintf(w, "%+8.0f ms  %s", l.at-lines[0].at, l.event)
		for _, name := range explained {
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
