package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"cowslipgw/internal/structs"
)

// Files in a directory written by lists get.
const (
	accountsName = "accounts.ini"
	plansName    = "plans.ini"
	baseName     = "base-version"
)

// listsDir is the path of a directory with the lists that an operator edits.
type listsDir string

func (d listsDir) accounts() string { return filepath.Join(string(d), accountsName) }
func (d listsDir) plans() string    { return filepath.Join(string(d), plansName) }
func (d listsDir) base() string     { return filepath.Join(string(d), baseName) }

// write stores the lists and their version. The version is written last: if the write
// is interrupted, a put with the older version is rejected and nothing is lost.
func (d listsDir) write(current adminLists) error {
	if err := os.MkdirAll(string(d), 0o700); err != nil {
		return err
	}
	if err := writeFile(d.accounts(), current.Accounts); err != nil {
		return err
	}
	if err := writeFile(d.plans(), current.Plans); err != nil {
		return err
	}
	return d.writeBase(current.Version)
}

// writeBase stores the version that the next edit is based on.
func (d listsDir) writeBase(version structs.Offset) error {
	return writeFile(d.base(), fmt.Sprintf("%d\n", version))
}

// read loads the edited lists and the version that they are based on.
func (d listsDir) read() (adminPutRequest, error) {
	var edit adminPutRequest
	base, err := os.ReadFile(d.base())
	if err != nil {
		return edit, fmt.Errorf("%w; run lists get first", err)
	}
	version, err := strconv.ParseUint(strings.TrimSpace(string(base)), 10, 64)
	if err != nil {
		return edit, fmt.Errorf("%s does not contain a version number; run lists get again", d.base())
	}
	accounts, err := os.ReadFile(d.accounts())
	if err != nil {
		return edit, err
	}
	plans, err := os.ReadFile(d.plans())
	if err != nil {
		return edit, err
	}
	edit.Base = structs.Offset(version)
	edit.Accounts, edit.Plans = string(accounts), string(plans)
	return edit, nil
}

// report prints the outcome of a put and returns the exit status.
func (d listsDir) report(response adminPutResponse, edit adminPutRequest, stdout, stderr io.Writer) int {
	switch response.status {
	case http.StatusOK:
		fmt.Fprintf(stdout, "version %d is in force on %d of %d hosts\n", response.Version, response.HostsInForce, response.Hosts)
		if err := d.writeBase(response.Version); err != nil {
			fmt.Fprintf(stderr, "cowslipgw: %v; run lists get before the next edit\n", err)
			return exitFailure
		}
		return exitOK
	case http.StatusConflict:
		fmt.Fprintf(stderr, "cowslipgw: refused: the edit is based on version %d, but version %d by %s is in force\n",
			edit.Base, response.Version, response.By)
		for _, change := range response.Changes {
			fmt.Fprintf(stderr, "  version %d by %s: %s\n", change.Version, change.By, change.Message)
			for _, line := range change.Changes {
				fmt.Fprintf(stderr, "    %s\n", line)
			}
		}
		fmt.Fprintln(stderr, "cowslipgw: run lists get into another directory and repeat the edit there")
	case http.StatusUnprocessableEntity:
		printFaults(response.Faults, d.accounts(), d.plans(), stderr)
		fmt.Fprintln(stderr, "cowslipgw: refused: the lists are invalid; nothing was changed")
	case http.StatusGatewayTimeout:
		fmt.Fprintln(stderr, "cowslipgw: outcome unknown: the log service did not confirm the change in time")
		fmt.Fprintln(stderr, "cowslipgw: it may still come into force; check lists history before another put")
	}
	return exitFailure
}
