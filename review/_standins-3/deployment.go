package main

import (
	"fmt"
	"time"
)

// startWorker starts the process of a worker, on a loopback address of its own.
func (w *world) startWorker(service, zone string, number int) error {
	ip := fmt.Sprintf("127.32.%d.1", number)
	port, err := freePort(ip)
	if err != nil {
		return err
	}
	id, address := fmt.Sprintf("i-%d", number), fmt.Sprintf("%s:%d", ip, port)
	_, err = w.start("workers.log", nil, "target/review-standins-3", "worker", "-id", id, "-address", address,
		"-service", service, "-zone", zone, "-store", "http://"+w.store.address)
	w.note("worker %s of %s starts in %s", id, service, zone)
	return err
}

// startSmall starts three hosts in as many zones, and a number of workers of a service.
func startSmall(w *world, service string, workers int) ([]*host, error) {
	zones := []string{"bkk-a", "bkk-b", "bkk-c"}
	for i := range workers {
		if err := w.startWorker(service, zones[i%len(zones)], i+1); err != nil {
			return nil, err
		}
	}
	var hosts []*host
	for i, zone := range zones {
		h, err := w.newHost("front-"+zone+"-1", fmt.Sprintf("127.31.0.%d", i+1), zone)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
		if err := h.run(); err != nil {
			return nil, err
		}
	}
	if err := awaitReady(hosts); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	return hosts, nil
}
