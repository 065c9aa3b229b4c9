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

// benchCommand is the subcommand bench.
func benchCommand() command {
	return command{name: "bench", summary: "measure scheduling policies on a virtual clock", run: runBench}
}

// maxBenchWorkers bounds the runs at once, since the bench shares its machine.
const maxBenchWorkers = 4

func runBench(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("bench", flag.ContinueOnError)
	flags.SetOutput(stderr)
	deployment := flags.String("deployment", "frio-retorno", "frio-retorno or retazo")
	scenario := flags.String("scenario", "steady", "the scenario; an unknown name lists the known ones")
	policies := flags.String("policy", "cowslip,round-robin,least-load,sticky", "policies, each as NAME or NAME@LIMIT with the most calls in flight at a replica")
	seeds := flags.String("seed", "1", "seeds, separated by commas")
	format := flags.String("format", "table", "table, json or html")
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
		return exitFault
	}
	return exitOK
}

// benchWriter returns the writer of a format.
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
