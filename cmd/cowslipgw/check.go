package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"cowslipgw/internal/settings"
)

// runCheck validates a host's settings file or the operators' accounts and plans
// lists.
func runCheck(_ context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("check", flag.ContinueOnError)
	flags.SetOutput(stderr)
	config := flags.String("config", "", "a host's settings `FILE`")
	lists := flags.String("lists", "", "files of the accounts and plans lists, as `ACCOUNTS,PLANS`")
	if status, done := parseFlags(flags, args); done {
		return status
	}
	accounts, plans, both := strings.Cut(*lists, ",")
	switch {
	case flags.NArg() == 0 && *config != "" && *lists == "":
		return checkConfig(*config, stdout, stderr)
	case flags.NArg() == 0 && *config == "" && both:
		return checkLists(accounts, plans, stderr)
	default:
		fmt.Fprintln(stderr, "usage: cowslipgw check -config FILE | -lists ACCOUNTS,PLANS")
		return exitUsage
	}
}

// checkConfig validates a settings file. It prints the errors or, if there are none,
// the host that the file configures.
func checkConfig(path string, stdout, stderr io.Writer) int {
	host, faults := settings.Load(path)
	for _, fault := range faults {
		fmt.Fprintln(stderr, fault)
	}
	if len(faults) > 0 {
		return exitFailure
	}
	fmt.Fprintf(stdout, "%s: host %s in failure domain %s of region %s\n", path, host.ID, host.Domain, host.Region)
	return exitOK
}
