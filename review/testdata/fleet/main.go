// Command fleet runs the cases of the review that need real processes: it starts a deployment of ten hosts on
// loopback addresses with stand-ins of the store, the replicas and the callers, disturbs it and checks one rule.
//
//	fleet -program FILE -case NAME -record FILE [-trouble=false]
//
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(f *fleet, log *record, trouble bool) (broken bool, err error){
	"denied": deniedCase,
	"quota":  quotaLoss,
	"freeze": freezeCase,
}

func main() {
	program := flag.String("program", "target/cowslipgw", "the project's program")
	name := flag.String("case", "", "the case")
	out := flag.String("record", "record.txt", "the record of the run")
	trouble := flag.Bool("trouble", true, "disturb the deployment")
	flag.Parse()
	os.Exit(play(*program, *name, *out, *trouble))
}

func play(program, name, out string, trouble bool) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		dir = keep
		_ = os.MkdirAll(dir, 0o700)
	}
	file, err := os.Create(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	log := &record{file: file, start: time.Now()}
	f, err := newFleet(program, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		f.stop()
		_ = os.RemoveAll(dir)
		os.Exit(2)
	}()
	log.printf("case %s, with the disruption: %v", name, trouble)
	broken, err := run(f, log, trouble)
	if err != nil {
		log.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if broken {
		log.printf("the rule was broken")
		return 1
	}
	log.printf("the rule held")
	return 0
}
