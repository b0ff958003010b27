// Command standins-3 holds the stand-ins of the cases review/11 to review/15: a store, a cloud
// API, workers, a network that can be cut, and clients. It plays one case and checks its rule.
//
//	standins-3 worker ...        runs one worker as a process of its own
//	standins-3 case N DIR        plays case N and writes DIR/record.txt
//
// A case exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCannot  = 2
	caseArgs    = 4
	commandArgs = 2
)

// cases holds the cases by their numbers. Each returns the breaches of its rule.
var cases = map[string]func(*world, bool) ([]string, error){}

func main() {
	if len(os.Args) >= commandArgs && os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	if len(os.Args) != caseArgs || os.Args[1] != "case" || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-3 case N DIR")
		os.Exit(exitCannot)
	}
	os.Exit(play(os.Args[2], os.Args[3]))
}

func play(name, dir string) int {
	w, err := newWorld(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitCannot
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-interrupted
		w.close()
		os.Exit(exitCannot)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, trouble %v", name, trouble)
	breaches, err := cases[name](w, trouble)
	w.noteRuns()
	if err != nil {
		w.note("CANNOT RUN: %v", err)
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitCannot
	}
	for _, breach := range breaches {
		w.note("BROKEN: %s", breach)
		fmt.Println("BROKEN:", breach)
	}
	if len(breaches) > 0 {
		return exitBroken
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

var errNotReady = errors.New("the hosts did not become ready")
