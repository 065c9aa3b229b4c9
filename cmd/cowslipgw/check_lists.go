package main

import (
	"fmt"
	"io"
	"os"

	"cowslipgw/internal/lists"
)

// checkLists validates the operators' two lists and prints each fault on a line.
func checkLists(accountsFile, plansFile string, stderr io.Writer) int {
	accounts, err := os.ReadFile(accountsFile)
	if err != nil {
		fmt.Fprintf(stderr, "cowslipgw: %v\n", err)
		return exitFault
	}
	plans, err := os.ReadFile(plansFile)
	if err != nil {
		fmt.Fprintf(stderr, "cowslipgw: %v\n", err)
		return exitFault
	}
	_, faults := lists.Parse(string(accounts), string(plans))
	return printFaults(faults, accountsFile, plansFile, stderr)
}

// printFaults prints faults with the names of the operator's files.
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
		return exitFault
	}
	return exitOK
}
