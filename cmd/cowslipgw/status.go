package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"cowslipgw/internal/host"
)

// statusTimeout limits the request to the host.
const statusTimeout = 10 * time.Second

// runStatus prints a host's view of the fleet.
func runStatus(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("status", flag.ContinueOnError)
	flags.SetOutput(stderr)
	address := flags.String("host", "", "admin `address` of any entry host, as ip:port (required)")
	asJSON := flags.Bool("json", false, "print the status document as JSON")
	if status, done := parseFlags(flags, args); done {
		return status
	}
	if *address == "" || flags.NArg() > 0 {
		fmt.Fprintln(stderr, "usage: cowslipgw status -host ADDRESS [-json]")
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var document host.Status
	if err := (adminClient{*address}).getJSON(ctx, "/admin/status", &document); err != nil {
		fmt.Fprintf(stderr, "cowslipgw: %v\n", err)
		return exitFailure
	}
	if *asJSON {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(document); err != nil {
			fmt.Fprintf(stderr, "cowslipgw: %v\n", err)
			return exitFailure
		}
		return exitOK
	}
	printStatus(document, stdout)
	return exitOK
}

// printStatus prints the status document as tables.
func printStatus(s host.Status, w io.Writer) {
	fmt.Fprintf(w, "host %s: view %d, lists version %d, %d requests running, %d programs and %d claims owned\n",
		s.Host, s.View, s.ListsVersion, s.Requests, s.Programs, s.Claims)
	if !s.Ready {
		fmt.Fprintf(w, "not ready: %s\n", strings.Join(s.Reasons, "; "))
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintln(table, "\nHOST\tREGION\tFAILURE DOMAIN\tENTRY ADDRESS\tSTATE\tVIEW\tLISTS\tPARTITIONS\tREQUESTS")
	for _, h := range s.Hosts {
		state := "live"
		switch {
		case !h.Answers:
			state = "silent"
		case h.Leaving:
			state = "leaving"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n",
			h.ID, h.Region, h.Domain, h.Address, state, h.View, h.ListsVersion, h.Partitions, h.Requests)
	}
	fmt.Fprintln(table, "\nPOOL\tREPLICA\tFAILURE DOMAIN\tADDRESS\tSTATE\tRUNNING\tQUEUED\tSLOTS")
	for _, pool := range s.Pools {
		for _, r := range pool.Replicas {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", pool.Pool, r.ID, r.Domain, r.Address, r.State,
				reported(r, r.Running), reported(r, r.Queued), reported(r, r.Slots))
		}
	}
	fmt.Fprintln(table, "\nACCOUNT\tPLAN\tRATE\tBURST\tLEFT IN BUCKET\tGRANTED TO HOSTS")
	for _, a := range s.Accounts {
		left, granted := "-", "-"
		if a.Level != nil && a.Granted != nil {
			left, granted = fmt.Sprintf("%.1f", *a.Level), fmt.Sprint(*a.Granted)
		}
		fmt.Fprintf(table, "%s\t%s\t%g\t%d\t%s\t%s\n", a.Account, a.Plan, a.Rate, a.Burst, left, granted)
	}
}

// reported formats a value of a load report, or returns "-" if the replica has not
// reported.
func reported(r host.ReplicaStatus, value int) string {
	if !r.Reported {
		return "-"
	}
	return fmt.Sprint(value)
}
