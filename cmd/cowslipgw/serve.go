package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/host"
	"cowslipgw/internal/settings"
	"cowslipgw/internal/trace"
	"cowslipgw/internal/transport"
)

// traceFlushTimeout limits the export of the remaining spans at shutdown.
const traceFlushTimeout = 3 * time.Second

// serveCommand is the serve subcommand, which runs one entry host.
func serveCommand() command {
	return command{name: "serve", summary: "run one entry host", run: runServe}
}

func runServe(ctx context.Context, args []string, _, stderr io.Writer) int {
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	flags.SetOutput(stderr)
	config := flags.String("config", "", "the host's settings `file` (INI); see docs/settings.md")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if *config == "" || flags.NArg() > 0 {
		fmt.Fprintln(stderr, "usage: cowslipgw serve -config FILE")
		return exitUsage
	}
	loaded, faults := settings.Load(*config)
	if len(faults) > 0 {
		for _, fault := range faults {
			fmt.Fprintln(stderr, fault)
		}
		return exitFailure
	}
	logger := event.New(stderr, loaded.Log.JSON, loaded.Log.Level)
	if err := runHost(ctx, *loaded, logger); err != nil {
		fmt.Fprintf(stderr, "cowslipgw serve: %v\n", err)
		return exitFailure
	}
	return exitOK
}

// runHost runs a host until ctx ends, then drains it.
func runHost(ctx context.Context, loaded settings.Host, logger *event.Logger) error {
	tracer, err := trace.New(ctx, trace.Options{Endpoint: loaded.TraceEndpoint, Host: string(loaded.ID)})
	if err != nil {
		return err
	}
	defer func() {
		flush, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
		defer cancel()
		_ = tracer.Close(flush)
	}()
	h, err := host.New(ctx, host.Options{
		Settings: loaded, Network: transport.TCP{}, Logger: logger, Tracer: tracer,
	})
	if err != nil {
		return err
	}
	return h.Run(ctx, context.Background())
}
