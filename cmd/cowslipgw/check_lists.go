package main

import (
	"fmt"
	"io"
	"os"

	"cowslipgw/internal/lists"
)

// checkLists validates the operators' two lists and prints one error per line.
func checkLists(accountsFile, plansFile string, stderr io.Writer) int {
	accounts, err := os.ReadFile(accountsFile)
	if err != nil {
		fmt.Fprintf(stderr, "cowslipgw: %v\n", err)
		return exitFailure
	}
	plans, err := os.ReadFile(plansFile)
	if err != nil {
		fmt.Fprintf(stderr, "cowslipgw: %v\n", err)
		return exitFailure
	}
	_, faults := lists.Parse(string(accounts), string(plans))
	return printFaults(faults, accountsFile, plansFile, stderr)
}

// printFaults prints validation errors with the names of the operator's files. It
// returns the exit status.
func printFaults(faults []lists.Fault, accountsFile, plansFile string, stderr io.Writer) int {
	for _, fault := range faults {
		switch fault.File {
		case lists.FileAccounts:
			fault.File = accountsFile
		case lists.FilePlans:
			fault.File = plansFile
		}
		fmt.Fprintln(stderr, fault)
	}
	if len(faults) > 0 {
		return exitFailure
	}
	return exitOK
}
