package main

import (
	"fmt"
	"os/exec"
	"time"
)

// workerProcess is a worker; it may be behind links to the hosts and to the store.
type workerProcess struct {
	w                *world
	service, zone    string
	listen           string
	toHosts, toStore *link
	starts           int
	cmd              *exec.Cmd
	number           int
}

func newWorker(w *world, service, zone string, number int, linked bool) (*workerProcess, error) {
	ip := fmt.Sprintf("127.32.%d.1", number)
	port, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	lw := &workerProcess{w: w, service: service, zone: zone, listen: fmt.Sprintf("%s:%d", ip, port), number: number}
	if !linked {
		return lw, lw.run()
	}
	if lw.toHosts, err = newLink(fmt.Sprintf("127.33.%d.1", number), lw.listen); err != nil {
		return nil, err
	}
	if lw.toStore, err = newLink(fmt.Sprintf("127.34.%d.1", number), w.store.address); err != nil {
		return nil, err
	}
	return lw, lw.run()
}

// address is where the hosts reach the worker, and storeAddress where it reaches the store.
func (lw *workerProcess) address() string {
	if lw.toHosts == nil {
		return lw.listen
	}
	return lw.toHosts.address
}

func (lw *workerProcess) storeAddress() string {
	if lw.toStore == nil {
		return lw.w.store.address
	}
	return lw.toStore.address
}

// run starts the process of the worker, each time under a new ID.
func (lw *workerProcess) run() error {
	lw.starts++
	id := fmt.Sprintf("i-%d-%d", lw.number, lw.starts)
	cmd, err := lw.w.start("workers.log", nil, "target/review-standins-3", "worker", "-id", id, "-listen", lw.listen,
		"-address", lw.address(), "-service", lw.service, "-zone", lw.zone, "-store", "http://"+lw.storeAddress())
	lw.cmd = cmd
	lw.w.note("worker %s of %s starts", id, lw.service)
	return err
}

// setCut cuts the worker off from all hosts and from the store, or heals that.
func (lw *workerProcess) setCut(cut bool) {
	lw.toHosts.setCut(cut)
	lw.toStore.setCut(cut)
	lw.w.note("worker %d cut off: %v", lw.number, cut)
}

// keepRunning starts the worker again some seconds after a request has crashed it.
func (lw *workerProcess) keepRunning(stop <-chan struct{}) {
	for {
		_ = lw.cmd.Wait()
		select {
		case <-stop:
			return
		case <-time.After(workerBackIn):
		}
		if err := lw.run(); err != nil {
			lw.w.note("not started: %v", err)
			return
		}
	}
}

// startSmall starts three hosts in as many zones, and a number of workers of a service.
func startSmall(w *world, service string, workers int) ([]*host, error) {
	_, hosts, err := startWithWorkers(w, service, workers, false)
	return hosts, err
}

// startWithWorkers does the same and also returns the workers.
func startWithWorkers(w *world, service string, count int, linked bool) ([]*workerProcess, []*host, error) {
	zones := []string{"bkk-a", "bkk-b", "bkk-c"}
	var workers []*workerProcess
	for i := range count {
		lw, err := newWorker(w, service, zones[i%len(zones)], i+1, linked)
		if err != nil {
			return nil, nil, err
		}
		workers = append(workers, lw)
	}
	var hosts []*host
	for i, zone := range zones {
		h, err := w.newHost("front-"+zone+"-1", fmt.Sprintf("127.31.0.%d", i+1), zone, w.store.address)
		if err != nil {
			return nil, nil, err
		}
		hosts = append(hosts, h)
		if err := h.run(); err != nil {
			return nil, nil, err
		}
	}
	if err := awaitReady(hosts); err != nil {
		return nil, nil, err
	}
	time.Sleep(2 * time.Second)
	return workers, hosts, nil
}
