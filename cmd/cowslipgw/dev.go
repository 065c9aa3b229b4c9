package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/sirupsen/logrus"

	"cowslipgw/internal/event"
)

// devCommand is the dev subcommand, which runs a small system in one process.
func devCommand() command {
	return command{name: "dev", summary: "run a small system with stand-ins in one process", run: runDev}
}

func runDev(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("dev", flag.ContinueOnError)
	flags.SetOutput(stderr)
	listen := flags.String("listen", "127.0.0.1:0", "loopback `address` of the first entry host")
	level := flags.String("log-level", "warning", "minimum `severity` to log: debug, info, warning or error")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	parsed, err := logrus.ParseLevel(*level)
	if err != nil || flags.NArg() > 0 {
		fmt.Fprintln(stderr, "usage: cowslipgw dev [-listen ADDRESS] [-log-level LEVEL]")
		return exitUsage
	}
	system, err := startDevSystem(ctx, *listen, event.New(stderr, false, parsed))
	if err != nil {
		fmt.Fprintf(stderr, "cowslipgw dev: %v\n", err)
		return exitFailure
	}
	system.printHelp(stdout)
	<-ctx.Done()
	fmt.Fprintln(stdout, "stopping; waiting for active requests to finish")
	if err := system.stop(); err != nil {
		fmt.Fprintf(stderr, "cowslipgw dev: %v\n", err)
		return exitFailure
	}
	return exitOK
}
