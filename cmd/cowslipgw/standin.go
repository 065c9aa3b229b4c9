package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"cowslipgw/internal/standin/launch"
	"cowslipgw/internal/transport"
)

// runStandin runs stand-ins for the external systems until ctx ends.
func runStandin(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("standin", flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("config", "", "INI `FILE` that names the services (required)")
	err := flags.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		return exitUsage
	case flags.NArg() > 0:
		fmt.Fprintf(stderr, "cowslipgw standin: unexpected argument %q\n", flags.Arg(0))
		return exitUsage
	case *file == "":
		fmt.Fprintln(stderr, "cowslipgw standin: -config FILE is required")
		return exitUsage
	}
	config, err := launch.Read(*file)
	if err != nil {
		fmt.Fprintln(stderr, "cowslipgw standin:", err)
		return exitUsage
	}
	if err := launch.Run(ctx, transport.TCP{}, config, stdout); err != nil {
		fmt.Fprintln(stderr, "cowslipgw standin:", err)
		return exitFailure
	}
	return exitOK
}
