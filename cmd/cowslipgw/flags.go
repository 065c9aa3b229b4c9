package main

import (
	"errors"
	"flag"
)

// parseFlags parses a subcommand's arguments. done is set if the command ends with the
// status: the flag package has printed the help or the error.
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
