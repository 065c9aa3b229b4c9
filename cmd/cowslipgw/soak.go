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

// soakHosts is the default number of host processes in a soak test.
const soakHosts = 4

// soakCommand is the soak subcommand, which runs fault-injection tests.
func soakCommand() command {
	return command{name: "soak", summary: "run host processes under injected faults and check the guarantees", run: runSoak}
}

func runSoak(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	flags.SetOutput(stderr)
	seed := flags.Uint64("seed", uint64(time.Now().Unix()), "`seed` of the first run")
	runs := flags.Int("runs", 1, "`number` of runs, with consecutive seeds")
	hosts := flags.Int("nodes", soakHosts, "`number` of host processes")
	format := flags.String("format", "table", "report `format`: table or json")
	earlier := flags.String("earlier", "", "`program` of an earlier build, which is replaced host by host during the run")
	calm := flags.Bool("calm", false, "planned work and silent replicas only, no faults")
	program := flags.String("program", "", "`program` of the build to test; if empty, this one")
	logDir := flags.String("logs", "", "`directory` for settings and logs; if empty, a temporary one that is removed afterwards")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	var earlierCommand []string
	if *earlier != "" {
		earlierCommand = []string{*earlier, "gateway"}
	}
	if flags.NArg() > 0 || *runs < 1 || *hosts < 1 || (*format != "table" && *format != "json") {
		fmt.Fprintln(stderr, "usage: cowslipgw soak [-seed N] [-runs N] [-nodes N] [-calm] [-program PROGRAM] [-earlier PROGRAM] [-format table|json] [-logs DIR]")
		return exitUsage
	}
	if *program == "" {
		own, err := os.Executable()
		if err != nil {
			fmt.Fprintf(stderr, "cowslipgw soak: %v\n", err)
			return exitFailure
		}
		*program = own
	}
	status := exitOK
	for n := range *runs {
		report, err := runSoakSeed(ctx, soak.Options{Seed: *seed + uint64(n), Hosts: *hosts, Command: []string{*program, "gateway"}, Earlier: earlierCommand, Calm: *calm}, *logDir)
		if err != nil {
			fmt.Fprintf(stderr, "cowslipgw soak: %v\n", err)
			return exitFailure
		}
		if err := printSoakReport(stdout, report, *format); err != nil {
			fmt.Fprintf(stderr, "cowslipgw soak: %v\n", err)
			return exitFailure
		}
		if len(report.Violations) > 0 {
			status = exitFailure
		}
	}
	return status
}

// runSoakSeed runs one seed with its files in logDir or in a temporary directory.
func runSoakSeed(ctx context.Context, o soak.Options, logDir string) (soak.Report, error) {
	o.Dir = logDir
	if logDir == "" {
		dir, err := os.MkdirTemp("", "cowslipgw-soak")
		if err != nil {
			return soak.Report{}, err
		}
		defer os.RemoveAll(dir)
		o.Dir = dir
	}
	return soak.Run(ctx, o)
}

func printSoakReport(w io.Writer, report soak.Report, format string) error {
	if format == "json" {
		return json.NewEncoder(w).Encode(report)
	}
	_, err := fmt.Fprintf(w, "seed %d: %d violations, requests %v, without a complete answer %v, passed on %d, links lost %d, strangers %d, faults %v\n",
		report.Seed, len(report.Violations), report.Requests, report.Ends, report.Logs.PassedOn, report.Logs.LinksLost, report.Logs.Strangers, report.Faults)
	for _, violation := range report.Violations {
		if err == nil {
			_, err = fmt.Fprintln(w, "  "+violation)
		}
	}
	return err
}
