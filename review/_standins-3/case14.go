package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["14"] = copyTakenForNewest }

// The times of case 14, from the return of the store: when the stopped machine starts, and when
// the operator's records are written again.
const (
	startedAfter      = time.Second
	writtenAgainAfter = 3 * time.Second
)

// copyTakenForNewest: a key is taken away. Some seconds later the store comes back from a copy
// that was made just before, and a machine that was stopped as planned starts again a second
// later. The operator's records are written again two seconds after that.
func copyTakenForNewest(w *world, trouble bool) ([]string, error) {
	go w.store.expireServers(heartbeat)
	w.store.putJSON("keyed.op", "config", withTenants(7, []string{"hule", "fida"}))
	hosts, err := startSmall(w, "booking-app", 4)
	if err != nil {
		return nil, err
	}
	clients := sendWithKeys(w, hosts, "key-of-hule", "key-of-fida")
	time.Sleep(time.Second)
	copiedAt := time.Now()
	time.Sleep(200 * time.Millisecond)
	w.store.putJSON("keyed.op", "config", withTenants(8, []string{"fida"}))
	taken := map[string]time.Time{"key-of-hule": time.Now()}
	restarting := hosts[2]
	w.note("%s gets SIGTERM", restarting.name)
	// The directory names it no more, so clients use the others.
	restarting.leaving.Store(true)
	_ = restarting.cmd.Process.Signal(syscall.SIGTERM)
	_ = restarting.cmd.Wait()
	w.note("%s has ended", restarting.name)
	time.Sleep(time.Until(copiedAt.Add(revokeWithin + time.Second)))
	var again []order
	if trouble {
		again = w.store.drill(copiedAt, awayFor)
	}
	time.Sleep(startedAfter)
	restarting.leaving.Store(false)
	if err := restarting.run(); err != nil {
		return nil, err
	}
	time.Sleep(writtenAgainAfter - startedAfter)
	w.store.writeAgain(again)
	time.Sleep(2 * revokeWithin)
	if !restarting.isReady() {
		return nil, fmt.Errorf("%s is not ready", restarting.name)
	}
	return judgeKeys(w, clients.end(), taken)
}
