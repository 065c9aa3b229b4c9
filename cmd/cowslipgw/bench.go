package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"runtime"
	"strconv"
	"strings"

	"cowslipgw/internal/bench"
)

// benchCommand is the bench subcommand, which simulates scheduling policies.
func benchCommand() command {
	return command{name: "bench", summary: "measure scheduling policies on a virtual clock", run: runBench}
}

// maxBenchWorkers limits concurrent runs, since the simulation shares its CPUs with
// other work.
const maxBenchWorkers = 4

func runBench(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("bench", flag.ContinueOnError)
	flags.SetOutput(stderr)
	deployment := flags.String("deployment", "frio-retorno", "deployment to simulate: frio-retorno or retazo")
	scenario := flags.String("scenario", "steady", "scenario to simulate; an unknown name prints the known ones")
	policies := flags.String("policy", "cowslip,round-robin,least-load,sticky", "comma-separated policies, each NAME or NAME@LIMIT, where LIMIT is the maximum number of calls in flight at a replica")
	seeds := flags.String("seed", "1", "comma-separated seeds")
	format := flags.String("format", "table", "report format: table, json or html")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	write, err := benchWriter(*format)
	if err != nil {
		fmt.Fprintln(stderr, "cowslipgw bench:", err)
		return exitUsage
	}
	config := bench.Config{
		Deployment: *deployment, Scenario: *scenario, Policies: strings.Split(*policies, ","),
		Workers: min(maxBenchWorkers, runtime.GOMAXPROCS(0)),
	}
	if config.Seeds, err = parseSeeds(*seeds); err != nil {
		fmt.Fprintln(stderr, "cowslipgw bench:", err)
		return exitUsage
	}
	if err := config.Validate(); err != nil {
		fmt.Fprintln(stderr, "cowslipgw bench:", err)
		return exitUsage
	}
	results, err := bench.Run(ctx, config, stderr)
	if err == nil {
		err = write(stdout, results)
	}
	if err != nil {
		fmt.Fprintln(stderr, "cowslipgw bench:", err)
		return exitFailure
	}
	return exitOK
}

// benchWriter returns the report writer for a format.
func benchWriter(format string) (func(io.Writer, []bench.Result) error, error) {
	switch format {
	case "table":
		return bench.WriteTable, nil
	case "json":
		return bench.WriteJSON, nil
	case "html":
		return bench.WriteHTML, nil
	}
	return nil, fmt.Errorf("unknown format %q; known: table, json, html", format)
}

func parseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for field := range strings.SplitSeq(text, ",") {
		seed, err := strconv.ParseUint(field, 10, 32)
		if err != nil {
			return nil, fmt.Errorf("seed %q is not a number from 0 to 4294967295", field)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}
