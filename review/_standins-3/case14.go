package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["14"] = holdsForgotten }

// The times of case 14, from the start of the traffic.
const (
	contact       = 3 * time.Second
	downFor       = time.Second
	workerBackIn  = 3 * time.Second
	crashPause    = 5 * time.Second
	crashRequests = 11
	maxLateRuns   = 3
)

// killsAt are the times at which all hosts are killed.
var killsAt = []time.Duration{12500 * time.Millisecond, 32500 * time.Millisecond}

// holdsForgotten: a request crashes each worker that begins to run it, and comes again every
// five seconds. The processes of all machines are killed, twice.
func holdsForgotten(w *world, trouble bool) ([]string, error) {
	go w.store.expireServers(1200 * time.Millisecond)
	w.store.putJSON("keyed.op", "config", configuration(7))
	workers, hosts, err := startWithWorkers(w, "booking-app", 6, false)
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	for _, lw := range workers {
		go lw.keepRunning(stop)
	}
	started := time.Now()
	var clients sync.WaitGroup
	clients.Go(func() { sendBookings(w, hosts, stop) })
	kills := make(chan error, 1)
	go func() { kills <- killAll(w, hosts, started, trouble) }()
	for n := range crashRequests {
		time.Sleep(time.Until(started.Add(2*time.Second + time.Duration(n)*crashPause)))
		id := fmt.Sprintf("crash-%d", n)
		to := hosts[n%len(hosts)]
		a := call{id: id, path: "/check/crash", key: clientKey, body: "{}", deadline: 2500 * time.Millisecond}.send(to.callers)
		w.note("%s sent to %s: status %d", id, to.name, a.status)
	}
	if err := <-kills; err != nil {
		return nil, err
	}
	close(stop)
	clients.Wait()
	return judgeCrashes(w, started, trouble)
}

// killAll kills the processes of all hosts at the given times and starts them again.
func killAll(w *world, hosts []*host, started time.Time, trouble bool) error {
	if !trouble {
		return nil
	}
	for _, at := range killsAt {
		time.Sleep(time.Until(started.Add(at)))
		w.note("the processes of all hosts are killed")
		for _, h := range hosts {
			kill(h.cmd)
		}
		time.Sleep(downFor)
		for _, h := range hosts {
			if err := h.run(); err != nil {
				return err
			}
		}
	}
	return nil
}

// judgeCrashes counts the runs of the request that crashes workers: those that begin later than
// contactMs after the third, at a time at which all hosts were in touch.
func judgeCrashes(w *world, started time.Time, trouble bool) ([]string, error) {
	runs, err := w.runsOf("crash-")
	if err != nil {
		return nil, err
	}
	const crashesBefore = 3
	if len(runs) < crashesBefore {
		return nil, fmt.Errorf("the request crashed only %d workers", len(runs))
	}
	late := 0
	for _, at := range runs[crashesBefore:] {
		counts := at.Sub(runs[crashesBefore-1]) > contact
		for _, killedAt := range killsAt {
			since := at.Sub(started.Add(killedAt))
			counts = counts && (!trouble || since < 0 || since > downFor+contact)
		}
		if counts {
			late++
		}
		w.note("run %.1f s after the third crash, counts: %v", at.Sub(runs[crashesBefore-1]).Seconds(), counts)
	}
	if late > maxLateRuns {
		return []string{fmt.Sprintf("BUDGET: a request that crashes workers reached them %d times later than contactMs after it had crashed the third", late)}, nil
	}
	return nil, nil
}
