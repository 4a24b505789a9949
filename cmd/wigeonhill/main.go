// Command wigeonhill is a multi-region inference gateway.
package main

import (
	"fmt"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1 // the command failed
	exitInvalid = 2 // settings, configuration or command line are invalid
)

// version is set at build time with -ldflags "-X main.version=...".
var version = "dev"

// invalidError marks errors in the user's input: in settings, a configuration or
// the command line. They end the program with exitInvalid.
type invalidError struct{ error }

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	p := flags.NewNamedParser("wigeonhill", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "multi-region inference gateway"
	add := func(name, short, long string, data any) *flags.Command {
		command, err := p.AddCommand(name, short, long, data)
		if err != nil {
			panic(err) // an invalid struct tag; it fails every run of the program
		}
		return command
	}
	add("serve", "run an instance", "Runs an instance until SIGTERM or SIGINT.", &serveCommand{})
	add("platform", "run an instance on the platform", "Runs an instance with the settings file written by the platform, until SIGTERM or SIGINT.", &platformCommand{})
	add("explain", "explain a request", "Prints the log lines of several instances that name a request, in order of time, and the cause of its end.", &explainCommand{})
	add("check", "check settings and configuration", "Checks a settings file and a configuration offline. Prints every error with its line. Exit code 2 if there are errors.", &checkCommand{})
	add("status", "show the status of a running instance", "Shows the state of a running instance and the reasons for its decisions.", newStatusCommand())
	route := add("route", "say where a request would go", "Asks a running instance where it would send a request now, and why. Sends no request and changes nothing. Exit code 1 if the request has no route, its key is not known, or the instance does not answer.", &routeCommand{})
	add("version", "print the version", "Prints the version.", &versionCommand{})
	_, err := p.ParseArgs(args)
	var flagErr *flags.Error
	// Without an active command, the parser has refused an argument before the command.
	if errors.As(err, &flagErr) && flagErr.Type != flags.ErrHelp && (p.Active == route || p.Active == nil && slices.Contains(args, route.Name)) {
		err = routeFlagError(route, flagErr)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var flagErr *flags.Error
	var invalid invalidError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Println(flagErr.Message)
		return exitOK
	case errors.As(err, &flagErr):
		fmt.Fprintln(os.Stderr, flagErr.Message)
		return exitInvalid
	case errors.As(err, &invalid):
		fmt.Fprintln(os.Stderr, invalid.Error())
		return exitInvalid
	default:
		fmt.Fprintln(os.Stderr, "wigeonhill:", err)
		return exitFailure
	}
}

type versionCommand struct{}

// Execute implements flags.Commander.
func (*versionCommand) Execute([]string) error {
	fmt.Println("wigeonhill", version)
	return nil
}
