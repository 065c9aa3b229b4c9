package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"cowslipgw/internal/account"
	"cowslipgw/internal/lists"
)

// runKey runs "key new".
func runKey(_ context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("key", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprintln(stderr, "usage: cowslipgw key new")
		fmt.Fprintln(stderr)
		fmt.Fprintln(stderr, "Prints a new key for a caller and its hash for the accounts list. The key is")
		fmt.Fprintln(stderr, "not stored anywhere.")
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
		fmt.Fprintf(stderr, "cowslipgw: no random numbers for a key: %v\n", err)
		return exitFault
	}
	fmt.Fprintf(stdout, "key:  %s\n", key)
	fmt.Fprintf(stdout, "hash: %s\n", lists.HashKey(key))
	return exitOK
}
