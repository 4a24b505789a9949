package main

import (
	"bufio"
	"context"
	"io"
	"io/fs"
	"net"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/wigeonhill/wigeonhill/internal/routereport"
)

// routeCommand asks an instance where it would send a request.
type routeCommand struct {
	Instance string   `long:"instance" value-name:"ADDRESS" required:"true" description:"metrics address of an instance on the platform (IP:port)"`
	JSON     bool     `long:"json" description:"print JSON"`
	Host     string   `long:"host" description:"host of the request"`
	Path     string   `long:"path" default:"/" description:"path of the request, with its query"`
	Method   string   `long:"method" default:"GET" description:"method of the request"`
	Header   []string `long:"header" value-name:"'NAME: VALUE'" description:"header of the request; other users of the machine may see it in the list of processes"`
	Headers  string   `long:"headers" value-name:"FILE" description:"file with headers of the request, one a line; - for standard input. Keys belong here"`
}

// Execute implements flags.Commander. No error shows an argument that may hold a key.
func (c *routeCommand) Execute(args []string) error {
	if len(args) > 0 {
		return invalidError{errors.Newf("%d arguments too many; a header with a space needs quotes", len(args))}
	}
	r, err := c.request(os.Stdin)
	if err != nil {
		return invalidError{err}
	}
	report, body, err := routereport.Query(context.Background(), c.Instance, r)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = os.Stdout.Write(body)
		return errors.Wrap(err, "write the report")
	}
	return errors.Wrap(report.WriteText(os.Stdout), "write the report")
}

// request returns the description of the request. stdin is read if a file says so.
func (c *routeCommand) request(stdin io.Reader) (*routereport.Request, error) {
	// A header has the form of an address too, except for the port.
	_, port, err := net.SplitHostPort(c.Instance)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		return nil, errors.New("--instance is not an address of the form IP:port")
	}
	r := &routereport.Request{Host: c.Host, Path: c.Path, Method: c.Method}
	for i, line := range c.Header {
		if err := r.AddHeader(line); err != nil {
			return nil, errors.Wrapf(err, "--header %d", i+1)
		}
	}
	if c.Headers == "" {
		return r, nil
	}
	in := stdin
	if c.Headers != "-" {
		f, err := os.Open(c.Headers)
		if err != nil {
			return nil, errors.Wrap(withoutPath(err), "--headers")
		}
		defer f.Close()
		in = f
	}
	s := bufio.NewScanner(in)
	for n := 1; s.Scan(); n++ {
		line := strings.TrimSpace(s.Text())
		if line == "" {
			continue
		}
		if err := r.AddHeader(line); err != nil {
			return nil, errors.Wrapf(err, "--headers, line %d", n)
		}
	}
	return r, errors.Wrap(withoutPath(s.Err()), "--headers")
}

// withoutPath returns err without the name of the file, which is a header with a key if
// --headers was given for --header.
func withoutPath(err error) error {
	var withPath *fs.PathError
	if errors.As(err, &withPath) {
		return withPath.Err
	}
	return err
}

// routeFlagError returns the error for a command line of the route command that the
// parser refuses. It shows names of flags that the command has and nothing else: the
// parser's own text repeats arguments, which may hold a key.
func routeFlagError(command *flags.Command, err *flags.Error) error {
	var names []string
	for _, option := range command.Options() {
		if strings.Contains(err.Message, "`"+option.String()+"'") {
			names = append(names, "--"+option.LongName)
		}
	}
	name := strings.Join(names, ", ")
	switch {
	case err.Type == flags.ErrUnknownFlag:
		return invalidError{errors.New("unknown flag; wigeonhill route --help lists the flags")}
	case name == "":
		return invalidError{errors.New("invalid command line; wigeonhill route --help describes it")}
	case err.Type == flags.ErrRequired:
		return invalidError{errors.Newf("%s is required", name)}
	case err.Type == flags.ErrExpectedArgument:
		return invalidError{errors.Newf("%s needs an argument; one that begins with - is given as %s=ARGUMENT", name, name)}
	}
	return invalidError{errors.Newf("invalid use of %s; wigeonhill route --help describes it", name)}
}
