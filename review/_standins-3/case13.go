package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["13"] = tokenGivenOutTwice }

// The times of case 13.
const (
	usageWindow = 5 * time.Second
	awayFor     = 500 * time.Millisecond
)

// tokenGivenOutTwice: the machine that holds the duties is stopped as planned and starts again;
// another one takes the duties over. Some seconds later the store comes back from a copy that was
// made just before.
func tokenGivenOutTwice(w *world, trouble bool) ([]string, error) {
	go w.store.expireServers(heartbeat)
	w.store.putJSON("keyed.op", "config", configuration(7))
	hosts, err := startSmall(w, "booking-app", 4)
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { sendBookings(w, hosts, stop) })
	holder, err := w.awaitHolder(hosts)
	if err != nil {
		return nil, err
	}
	// The copy is made just before a usage window ends, whose report the next holder sends.
	time.Sleep(time.Until(time.Now().Truncate(usageWindow).Add(usageWindow - 300*time.Millisecond)))
	copiedAt := time.Now()
	w.note("%s gets SIGTERM", holder.name)
	// The directory names it no more, so clients use the others.
	holder.leaving.Store(true)
	_ = holder.cmd.Process.Signal(syscall.SIGTERM)
	_ = holder.cmd.Wait()
	w.note("%s has ended", holder.name)
	if err := holder.run(); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	holder.leaving.Store(false)
	if trouble {
		w.store.writeAgain(w.store.drill(copiedAt, awayFor))
	}
	time.Sleep(4 * usageWindow)
	close(stop)
	clients.Wait()
	return w.cloud.broken(), nil
}

// awaitHolder returns the host that has sent the first usage report.
func (w *world) awaitHolder(hosts []*host) (*host, error) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		w.cloud.mu.Lock()
		name := ""
		for _, reports := range w.cloud.reports {
			name = reports[0].holder
		}
		w.cloud.mu.Unlock()
		for _, h := range hosts {
			if h.name == name {
				return h, nil
			}
		}
	}
	return nil, fmt.Errorf("no host holds the duties")
}

// sendBookings sends ten bookings a second.
func sendBookings(w *world, hosts []*host, stop <-chan struct{}) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		to := hosts[n%len(hosts)]
		if to.leaving.Load() {
			continue
		}
		clients.Go(func() {
			id := fmt.Sprintf("attempt-%d", n)
			a := call{id: id, path: "/book/1", key: clientKey, body: "{}", deadline: 2500 * time.Millisecond}.send(to.callers)
			w.note("%s sent to %s: status %d", id, to.name, a.status)
		})
	}
}
