package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit statuses of a case.
const (
	held     = 0
	broken   = 1
	didntRun = 2
)

// cases holds the cases by name. A case returns whether the rule was broken.
var cases = map[string]func(record *recorder, trouble bool) (bool, error){
	"allowance": allowance,
	"denied":    denied,
}

// caseLimit is the time after which a case is given up.
const caseLimit = 100 * time.Second

func main() {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	play := cases[*name]
	record, err := newRecorder(*path)
	if play == nil || err != nil {
		fmt.Fprintf(os.Stderr, "no case %q, or no record: %v\n", *name, err)
		os.Exit(didntRun)
	}
	// The processes of the case end with this one: see host.start.
	time.AfterFunc(caseLimit, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		os.Exit(didntRun)
	})
	isBroken, err := play(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.note("the case couldn't run: %v", err)
	}
	record.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(didntRun)
	case isBroken:
		os.Exit(broken)
	}
	os.Exit(held)
}
