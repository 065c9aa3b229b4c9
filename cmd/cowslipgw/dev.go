package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/sirupsen/logrus"

	"cowslipgw/internal/event"
)

// devCommand runs a whole small system in one process.
func devCommand() command {
	return command{name: "dev", summary: "run a small system with stand-ins in one process", run: dev}
}

func dev(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("dev", flag.ContinueOnError)
	flags.SetOutput(stderr)
	listen := flags.String("listen", "127.0.0.1:0", "`address` of the first entry host, on loopback")
	level := flags.String("log-level", "warning", "least `severity` that is logged: debug, info, warning or error")
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
		return exitFault
	}
	system.printHelp(stdout)
	<-ctx.Done()
	fmt.Fprintln(stdout, "stopping; running requests are finished first")
	if err := system.stop(); err != nil {
		fmt.Fprintf(stderr, "cowslipgw dev: %v\n", err)
		return exitFault
	}
	return exitOK
}
