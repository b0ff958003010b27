// Command standin runs the cases of the review: it starts the project's own gateways as
// processes and plays their callers, workers and platform. It exits with 1 if the rule of
// the case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases holds the cases by name. Each returns the breaks of its rule.
var cases = map[string]func(*bench) []string{}

func main() {
	if len(os.Args) == 2 && os.Args[1] == "worker" {
		runWorker()
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		os.Exit(exitFailed)
	}
	b, err := newBench(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		b.endAll()
		os.Exit(exitFailed)
	}()
	os.Exit(b.run(cases[os.Args[1]]))
}
