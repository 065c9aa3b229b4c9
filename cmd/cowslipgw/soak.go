package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"cowslipgw/platform/soak"
)

// soakNodes is the usual number of processes of a soak.
const soakNodes = 4

// soakCommand runs the fault soak.
func soakCommand() command {
	return command{name: "soak", summary: "run real processes under injected faults and check the promises", run: runSoak}
}

func runSoak(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	flags.SetOutput(stderr)
	seed := flags.Uint64("seed", uint64(time.Now().Unix()), "the first `seed`")
	runs := flags.Int("runs", 1, "the `number` of runs; each has the next seed")
	nodes := flags.Int("nodes", soakNodes, "the `number` of processes")
	format := flags.String("format", "table", "the report's `format`: table or json")
	keep := flags.String("logs", "", "a `directory` for settings and logs; empty: a temporary one that is removed")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if flags.NArg() > 0 || *runs < 1 || *nodes < 1 || (*format != "table" && *format != "json") {
		fmt.Fprintln(stderr, "usage: cowslipgw soak [-seed N] [-runs N] [-nodes N] [-format table|json] [-logs DIR]")
		return exitUsage
	}
	program, err := os.Executable()
	if err != nil {
		fmt.Fprintf(stderr, "cowslipgw soak: %v\n", err)
		return exitFault
	}
	status := exitOK
	for n := range *runs {
		report, err := soakOnce(ctx, soak.Options{Seed: *seed + uint64(n), Nodes: *nodes, Command: []string{program, "gateway"}}, *keep)
		if err != nil {
			fmt.Fprintf(stderr, "cowslipgw soak: %v\n", err)
			return exitFault
		}
		if err := printSoak(stdout, report, *format); err != nil {
			fmt.Fprintf(stderr, "cowslipgw soak: %v\n", err)
			return exitFault
		}
		if len(report.Violations) > 0 {
			status = exitFault
		}
	}
	return status
}

// soakOnce plays one seed with its files in keep or in a temporary directory.
func soakOnce(ctx context.Context, o soak.Options, keep string) (soak.Report, error) {
	o.Dir = keep
	if keep == "" {
		dir, err := os.MkdirTemp("", "cowslipgw-soak")
		if err != nil {
			return soak.Report{}, err
		}
		defer os.RemoveAll(dir)
		o.Dir = dir
	}
	return soak.Run(ctx, o)
}

func printSoak(w io.Writer, report soak.Report, format string) error {
	if format == "json" {
		return json.NewEncoder(w).Encode(report)
	}
	_, err := fmt.Fprintf(w, "seed %d: %d violations, requests %v, faults %v\n", report.Seed, len(report.Violations),
		report.Requests, report.Faults)
	for _, violation := range report.Violations {
		if err == nil {
			_, err = fmt.Fprintln(w, "  "+violation)
		}
	}
	return err
}
