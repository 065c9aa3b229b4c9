package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"cowslipgw/internal/account"
	"cowslipgw/internal/lists"
)

// runKey implements "key new".
func runKey(_ context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("key", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprintln(stderr, "usage: cowslipgw key new")
		fmt.Fprintln(stderr)
		fmt.Fprintln(stderr, "Generates a key for a caller and prints it with its hash for the accounts list.")
		fmt.Fprintln(stderr, "The key itself is not stored.")
	}
	if status, done := parseFlags(flags, args); done {
		return status
	}
	if flags.NArg() != 1 || flags.Arg(0) != "new" {
		flags.Usage()
		return exitUsage
	}
	key, err := account.NewKey()
	if err != nil {
		fmt.Fprintf(stderr, "cowslipgw: generate key: %v\n", err)
		return exitFailure
	}
	fmt.Fprintf(stdout, "key:  %s\n", key)
	fmt.Fprintf(stdout, "hash: %s\n", lists.HashKey(key))
	return exitOK
}
