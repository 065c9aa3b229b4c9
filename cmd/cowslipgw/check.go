package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"cowslipgw/internal/settings"
)

// check reports the faults of a host's settings file.
func check(_ context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("check", flag.ContinueOnError)
	flags.SetOutput(stderr)
	config := flags.String("config", "", "settings `FILE` of a host")
	if err := flags.Parse(args); err != nil {
		return usageStatus(err)
	}
	if flags.NArg() > 0 || *config == "" {
		fmt.Fprintln(stderr, "usage: cowslipgw check -config FILE")
		return exitUsage
	}
	return checkConfig(*config, stdout, stderr)
}

// usageStatus returns the exit status of a command line that cannot be used.
func usageStatus(err error) int {
	if err == flag.ErrHelp {
		return exitOK
	}
	return exitUsage
}

// checkConfig prints the faults of a settings file, or what it sets up.
func checkConfig(path string, stdout, stderr io.Writer) int {
	host, faults := settings.Load(path)
	for _, fault := range faults {
		fmt.Fprintln(stderr, fault)
	}
	if len(faults) > 0 {
		return exitFault
	}
	fmt.Fprintf(stdout, "%s: host %s in failure domain %s of region %s\n", path, host.ID, host.Domain, host.Region)
	return exitOK
}
