// Command cowslipgw schedules the calls of agent programs between callers and
// upstreams.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// command is a subcommand. run returns the exit status.
type command struct {
	name    string
	summary string
	run     func(ctx context.Context, args []string, stdout, stderr io.Writer) int
}

// commands returns the subcommands in the order of the usage text.
func commands() []command {
	return []command{
		serveCommand(),
		gatewayCommand(),
		soakCommand(),
		devCommand(),
		{name: "check", summary: "validate a settings file or the accounts and plans lists", run: runCheck},
		{name: "lists", summary: "get or put the operators' lists, or show their history", run: runLists},
		{name: "key", summary: "generate a key for a caller", run: runKey},
		{name: "status", summary: "show hosts, pools and client accounts", run: runStatus},
		benchCommand(),
		{name: "standin", summary: "run stand-ins for the external systems", run: runStandin},
	}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(dispatch(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// dispatch runs the subcommand named by the first argument.
func dispatch(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		usage(stderr)
		return exitUsage
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return c.run(ctx, args[1:], stdout, stderr)
		}
	}
	if args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		usage(stdout)
		return exitOK
	}
	fmt.Fprintf(stderr, "cowslipgw: unknown command %q\n", args[0])
	usage(stderr)
	return exitUsage
}

// usage prints the subcommands.
func usage(w io.Writer) {
	fmt.Fprintln(w, "usage: cowslipgw COMMAND [flags]")
	fmt.Fprintln(w)
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-8s %s\n", c.name, c.summary)
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "cowslipgw COMMAND -h lists the flags of a command.")
}
