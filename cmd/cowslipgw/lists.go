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

// listsTimeout limits one request to the admin API. A put waits there until the hosts
// have the version in force.
const listsTimeout = 60 * time.Second

// listsFlags are the flags of the lists commands.
type listsFlags struct {
	host, dir, by, message string
}

// runLists runs "lists get", "lists put" and "lists history".
func runLists(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		listsUsage(stderr)
		return exitUsage
	}
	var given listsFlags
	flags := flag.NewFlagSet("lists "+args[0], flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&given.host, "host", "", "admin `address` of any entry host, as ip:port (required)")
	var run func(context.Context, listsFlags, io.Writer, io.Writer) int
	switch args[0] {
	case "get":
		flags.StringVar(&given.dir, "dir", "", "`directory` for accounts.ini, plans.ini and the base version (required)")
		run = listsGet
	case "put":
		flags.StringVar(&given.dir, "dir", "", "`directory` that lists get wrote (required)")
		flags.StringVar(&given.by, "by", "", "`name` of the operator, for the history (required)")
		flags.StringVar(&given.message, "message", "", "reason for the change")
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
	if missing := given.missing(args[0]); len(missing) > 0 || flags.NArg() > 0 {
		if len(missing) > 0 {
			fmt.Fprintf(stderr, "cowslipgw: lists %s needs %s\n", args[0], strings.Join(missing, ", "))
		} else {
			fmt.Fprintf(stderr, "cowslipgw: unexpected argument %q\n", flags.Arg(0))
		}
		flags.Usage()
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, listsTimeout)
	defer cancel()
	return run(ctx, given, stdout, stderr)
}

// missing returns the required flags that were not given.
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

// listsUsage prints the lists commands.
func listsUsage(w io.Writer) {
	fmt.Fprintln(w, "usage: cowslipgw lists get -host ADDRESS -dir DIR")
	fmt.Fprintln(w, "       cowslipgw lists put -host ADDRESS -dir DIR -by NAME [-message TEXT]")
	fmt.Fprintln(w, "       cowslipgw lists history -host ADDRESS")
}

// listsGet writes the lists in force to a directory.
func listsGet(ctx context.Context, given listsFlags, stdout, stderr io.Writer) int {
	current, err := adminClient{given.host}.get(ctx)
	if err != nil {
		fmt.Fprintf(stderr, "cowslipgw: %v\n", err)
		return exitFault
	}
	dir := listsDir(given.dir)
	if err := dir.write(current); err != nil {
		fmt.Fprintf(stderr, "cowslipgw: %v\n", err)
		return exitFault
	}
	fmt.Fprintf(stdout, "version %d is in %s; edit %s and %s, then run lists put\n",
		current.Version, given.dir, accountsName, plansName)
	return exitOK
}

// listsHistory prints the latest changes, the oldest first.
func listsHistory(ctx context.Context, given listsFlags, stdout, stderr io.Writer) int {
	changes, err := adminClient{given.host}.history(ctx)
	if err != nil {
		fmt.Fprintf(stderr, "cowslipgw: %v\n", err)
		return exitFault
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

// listsPut validates the edited lists and puts them into force.
func listsPut(ctx context.Context, given listsFlags, stdout, stderr io.Writer) int {
	dir := listsDir(given.dir)
	edit, err := dir.read()
	if err != nil {
		fmt.Fprintf(stderr, "cowslipgw: %v\n", err)
		return exitFault
	}
	if status := checkLists(dir.accounts(), dir.plans(), stderr); status != exitOK {
		fmt.Fprintln(stderr, "cowslipgw: nothing was sent")
		return status
	}
	edit.By, edit.Message = given.by, given.message
	answer, err := adminClient{given.host}.put(ctx, edit)
	if err != nil {
		fmt.Fprintf(stderr, "cowslipgw: %v\n", err)
		fmt.Fprintln(stderr, "cowslipgw: the change may come into force; see lists history before another put")
		return exitFault
	}
	return dir.report(answer, edit, stdout, stderr)
}

// writeFile replaces a file as a whole, so that an interrupted get leaves the old one.
func writeFile(name, text string) error {
	temporary := name + ".new"
	if err := os.WriteFile(temporary, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, name)
}
