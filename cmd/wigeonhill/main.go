// Command wigeonhill is a multi-region inference gateway.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitOK      = 0
	exitFault   = 1 // the command failed
	exitInvalid = 2 // settings, table or command line are invalid
)

// version is set with -ldflags "-X main.version=...".
var version = "dev"

// invalidError marks faults in what the user wrote.
type invalidError struct{ error }

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	p := flags.NewNamedParser("wigeonhill", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "multi-region inference gateway"
	add := func(name, short, long string, data any) {
		if _, err := p.AddCommand(name, short, long, data); err != nil {
			panic(err) // a wrong struct tag; any run of the program shows it
		}
	}
	add("serve", "run an instance", "Runs an instance until SIGTERM or SIGINT.", &serveCommand{})
	add("platform", "run an instance on the platform", "Runs an instance with the settings that the platform writes, until SIGTERM or SIGINT.", &platformCommand{})
	add("explain", "explain a request", "Puts the log lines of several instances that name a request in order and names the cause of its end.", &explainCommand{})
	add("check", "check settings and table", "Checks a settings file and a table offline. Prints every fault with its line. Exit code 2 if there are faults.", &checkCommand{})
	add("status", "ask a running instance", "Asks a running instance what it does and why.", newStatusCommand())
	add("version", "print the version", "Prints the version.", &versionCommand{})
	_, err := p.ParseArgs(args)
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
		return exitFault
	}
}

type versionCommand struct{}

// Execute implements flags.Commander.
func (*versionCommand) Execute([]string) error {
	fmt.Println("wigeonhill", version)
	return nil
}
