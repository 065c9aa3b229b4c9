package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"cowslipgw/internal/event"
	"cowslipgw/platform"
)

// logQueueSize is the number of log lines buffered for a slow output.
const logQueueSize = 4096

// gatewayCommand is the gateway subcommand, which runs one host on the users'
// platform.
func gatewayCommand() command {
	return command{name: "gateway", summary: "run one host on the users' platform", run: runGateway}
}

func runGateway(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	// Until it is notified of, the signal would end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	flags := flag.NewFlagSet("gateway", flag.ContinueOnError)
	flags.SetOutput(stderr)
	config := flags.String("config", "", "the platform's settings `file`; if empty, the one named by the environment")
	check := flags.Bool("check", false, "validate the settings file and exit")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if flags.NArg() > 0 {
		fmt.Fprintln(stderr, "usage: cowslipgw gateway [-config FILE] [-check]")
		return exitUsage
	}
	path := *config
	if path == "" {
		var err error
		if path, err = platform.SettingsPath(); err != nil {
			fmt.Fprintf(stderr, "cowslipgw gateway: %v\n", err)
			return exitUsage
		}
	}
	loaded, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintf(stderr, "cowslipgw gateway: %v\n", err)
		return exitFailure
	}
	if *check {
		return exitOK
	}
	queue := event.NewQueue(stdout, logQueueSize)
	defer queue.Close()
	process, err := newGatewayProcess(loaded, path, event.New(queue, true, logrus.InfoLevel))
	if err != nil {
		fmt.Fprintf(stderr, "cowslipgw gateway: %v\n", err)
		return exitFailure
	}
	process.droppedLines, process.reload = queue.Dropped, reload
	if err := process.run(ctx); err != nil {
		fmt.Fprintf(stderr, "cowslipgw gateway: %v\n", err)
		return exitFailure
	}
	return exitOK
}
