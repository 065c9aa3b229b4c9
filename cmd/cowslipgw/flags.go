package main

import (
	"errors"
	"flag"
)

// parseFlags parses a subcommand's arguments. If done is true, the flag package has
// already printed the help or the error, and the command exits with the returned
// status.
func parseFlags(flags *flag.FlagSet, args []string) (status int, done bool) {
	err := flags.Parse(args)
	switch {
	case err == nil:
		return exitOK, false
	case errors.Is(err, flag.ErrHelp):
		return exitOK, true
	default:
		return exitUsage, true
	}
}
