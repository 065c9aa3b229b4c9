package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"
)

// listsTimeout limits one request to the admin API. A put returns only once the hosts
// have the new version in force.
const listsTimeout = 60 * time.Second

// listsFlags holds the flags of the lists commands.
type listsFlags struct {
	host, dir, by, message string
}

// runLists implements "lists get", "lists put" and "lists history".
func runLists(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		listsUsage(stderr)
		return exitUsage
	}
	var opts listsFlags
	flags := flag.NewFlagSet("lists "+args[0], flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&opts.host, "host", "", "admin `address` of any entry host, as ip:port (required)")
	var run func(context.Context, listsFlags, io.Writer, io.Writer) int
	switch args[0] {
	case "get":
		flags.StringVar(&opts.dir, "dir", "", "`directory` for accounts.ini, plans.ini and the base version (required)")
		run = listsGet
	case "put":
		flags.StringVar(&opts.dir, "dir", "", "`directory` written by lists get (required)")
		flags.StringVar(&opts.by, "by", "", "`name` of the operator, recorded in the history (required)")
		flags.StringVar(&opts.message, "message", "", "reason for the change, recorded in the history")
		run = listsPut
	case "history":
		run = listsHistory
	case "-h", "-help", "--help", "help":
		listsUsage(stdout)
		return exitOK
	default:
		fmt.Fprintf(stderr, "cowslipgw: unknown command \"lists %s\"\n", args[0])
		listsUsage(stderr)
		return exitUsage
	}
	if status, done := parseFlags(flags, args[1:]); done {
		return status
	}
	if missing := opts.missing(args[0]); len(missing) > 0 || flags.NArg() > 0 {
		if len(missing) > 0 {
			fmt.Fprintf(stderr, "cowslipgw: lists %s requires %s\n", args[0], strings.Join(missing, ", "))
		} else {
			fmt.Fprintf(stderr, "cowslipgw: unexpected argument %q\n", flags.Arg(0))
		}
		flags.Usage()
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, listsTimeout)
	defer cancel()
	return run(ctx, opts, stdout, stderr)
}

// missing returns the required flags that are not set.
func (f listsFlags) missing(command string) []string {
	var missing []string
	if f.host == "" {
		missing = append(missing, "-host")
	}
	if f.dir == "" && command != "history" {
		missing = append(missing, "-dir")
	}
	if f.by == "" && command == "put" {
		missing = append(missing, "-by")
	}
	return missing
}

// listsUsage prints the usage of the lists commands.
func listsUsage(w io.Writer) {
	fmt.Fprintln(w, "usage: cowslipgw lists get -host ADDRESS -dir DIR")
	fmt.Fprintln(w, "       cowslipgw lists put -host ADDRESS -dir DIR -by NAME [-message TEXT]")
	fmt.Fprintln(w, "       cowslipgw lists history -host ADDRESS")
}

// listsGet downloads the lists in force to a directory.
func listsGet(ctx context.Context, opts listsFlags, stdout, stderr io.Writer) int {
	current, err := adminClient{opts.host}.get(ctx)
	if err != nil {
		fmt.Fprintf(stderr, "cowslipgw: %v\n", err)
		return exitFailure
	}
	dir := listsDir(opts.dir)
	if err := dir.write(current); err != nil {
		fmt.Fprintf(stderr, "cowslipgw: %v\n", err)
		return exitFailure
	}
	fmt.Fprintf(stdout, "version %d is in %s; edit %s and %s, then run lists put\n",
		current.Version, opts.dir, accountsName, plansName)
	return exitOK
}

// listsHistory prints the most recent changes, oldest first.
func listsHistory(ctx context.Context, opts listsFlags, stdout, stderr io.Writer) int {
	changes, err := adminClient{opts.host}.history(ctx)
	if err != nil {
		fmt.Fprintf(stderr, "cowslipgw: %v\n", err)
		return exitFailure
	}
	for _, change := range changes {
		fmt.Fprintf(stdout, "version %d  %s  by %s", change.Version, change.Folded.UTC().Format(time.RFC3339), change.By)
		if change.Message != "" {
			fmt.Fprintf(stdout, ": %s", change.Message)
		}
		fmt.Fprintln(stdout)
		for _, line := range change.Changes {
			fmt.Fprintf(stdout, "    %s\n", line)
		}
	}
	return exitOK
}

// listsPut validates the edited lists and submits them.
func listsPut(ctx context.Context, opts listsFlags, stdout, stderr io.Writer) int {
	dir := listsDir(opts.dir)
	edit, err := dir.read()
	if err != nil {
		fmt.Fprintf(stderr, "cowslipgw: %v\n", err)
		return exitFailure
	}
	if status := checkLists(dir.accounts(), dir.plans(), stderr); status != exitOK {
		fmt.Fprintln(stderr, "cowslipgw: nothing was sent")
		return status
	}
	edit.By, edit.Message = opts.by, opts.message
	response, err := adminClient{opts.host}.put(ctx, edit)
	if err != nil {
		fmt.Fprintf(stderr, "cowslipgw: %v\n", err)
		fmt.Fprintln(stderr, "cowslipgw: the change may still come into force; check lists history before another put")
		return exitFailure
	}
	return dir.report(response, edit, stdout, stderr)
}

// writeFile replaces a file atomically, so that an interrupted get leaves the old
// file intact.
func writeFile(name, text string) error {
	temporary := name + ".new"
	if err := os.WriteFile(temporary, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, name)
}
