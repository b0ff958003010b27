package main

import (
	"fmt"
	"os/exec"
	"strings"
	"sync"
	"time"
)

func init() { cases["11"] = crashBehindCut }

// The times of case 11, from the start of the traffic.
const (
	cutAt       = 4 * time.Second
	crashAfter  = 300 * time.Millisecond
	againAfter  = 2 * time.Second
	healAfter   = 3 * time.Second
	trafficFor  = 12 * time.Second
	sendPause   = 50 * time.Millisecond
	streamLimit = 15 * time.Second
	// gapPatience is eight times the pause that the sheet allows: a client leaves a stream
	// after two seconds, four times the objective or that, whichever is longest.
	gapPatience = 4 * time.Second
)

// linkedWorker is a worker behind links to the hosts and to the store.
type linkedWorker struct {
	w                *world
	service, zone    string
	listen           string
	toHosts, toStore *link
	starts           int
	cmd              *exec.Cmd
	number           int
}

func newLinkedWorker(w *world, service, zone string, number int) (*linkedWorker, error) {
	ip := fmt.Sprintf("127.32.%d.1", number)
	port, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	lw := &linkedWorker{w: w, service: service, zone: zone, listen: fmt.Sprintf("%s:%d", ip, port), number: number}
	if lw.toHosts, err = newLink(fmt.Sprintf("127.33.%d.1", number), lw.listen); err != nil {
		return nil, err
	}
	if lw.toStore, err = newLink(fmt.Sprintf("127.34.%d.1", number), w.store.address); err != nil {
		return nil, err
	}
	return lw, lw.run()
}

// run starts the process of the worker, each time under a new ID.
func (lw *linkedWorker) run() error {
	lw.starts++
	id := fmt.Sprintf("i-%d-%d", lw.number, lw.starts)
	cmd, err := lw.w.start("workers.log", nil, "target/review-standins-3", "worker", "-id", id, "-listen", lw.listen,
		"-address", lw.toHosts.address, "-service", lw.service, "-zone", lw.zone, "-store", "http://"+lw.toStore.address)
	lw.cmd = cmd
	lw.w.note("worker %s of %s starts", id, lw.service)
	return err
}

// setCut cuts the worker off from all hosts and from the store, or heals that.
func (lw *linkedWorker) setCut(cut bool) {
	lw.toHosts.setCut(cut)
	lw.toStore.setCut(cut)
	lw.w.note("worker %d cut off: %v", lw.number, cut)
}

// crashBehindCut: one worker in five is cut off from all machines for some seconds, crashes
// behind the cut and starts again. Half of the streams have neither a length nor chunks.
func crashBehindCut(w *world, trouble bool) ([]string, error) {
	zones := []string{"bkk-a", "bkk-b", "bkk-c"}
	go w.store.expireServers(1200 * time.Millisecond)
	w.store.putJSON("keyed.op", "config", configuration(7))
	var workers []*linkedWorker
	for i := range 5 {
		lw, err := newLinkedWorker(w, "cake-llm", zones[i%len(zones)], i+1)
		if err != nil {
			return nil, err
		}
		workers = append(workers, lw)
	}
	var hosts []*host
	for i, zone := range zones {
		h, err := w.newHost("front-"+zone+"-1", fmt.Sprintf("127.31.0.%d", i+1), zone, w.store.address)
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
	w.note("traffic starts")
	var troubled sync.WaitGroup
	if trouble {
		troubled.Go(func() { playCrashBehindCut(workers[0]) })
	}
	breaches, served := sendStreams(w, hosts)
	troubled.Wait()
	if served < 50 {
		return nil, fmt.Errorf("only %d streams were served whole", served)
	}
	return breaches, nil
}

func playCrashBehindCut(lw *linkedWorker) {
	time.Sleep(cutAt)
	lw.setCut(true)
	time.Sleep(crashAfter)
	lw.w.note("worker %d crashes", lw.number)
	kill(lw.cmd)
	time.Sleep(againAfter - crashAfter)
	if err := lw.run(); err != nil {
		lw.w.note("not started: %v", err)
	}
	time.Sleep(healAfter - againAfter)
	lw.setCut(false)
}

// sendStreams sends streams and returns those that ended as complete before their last piece.
func sendStreams(w *world, hosts []*host) (breaches []string, served int) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	for n, start := 0, time.Now(); time.Since(start) < trafficFor; n++ {
		path := "/stream/framed/1"
		if n%2 == 1 {
			path = "/stream/plain/1"
		}
		c := call{id: fmt.Sprintf("attempt-%d", n), path: path, key: clientKey, body: "{}", deadline: streamLimit, patience: gapPatience}
		to := hosts[n%len(hosts)]
		clients.Go(func() {
			w.note("%s: POST %s to %s", c.id, c.path, to.name)
			a := c.send(to.callers)
			pieces := strings.Count(a.body, "data: ")
			w.note("%s: status %d, whole %v, %d pieces, signature %q, error %v", c.id, a.status, a.whole, pieces, a.header.Get("X-Response-Signature"), a.err)
			mu.Lock()
			defer mu.Unlock()
			if a.status == 200 && a.whole {
				served++
				if !strings.HasSuffix(a.body, "data: piece 64 of 64\n\n") || pieces != 64 {
					breaches = append(breaches, fmt.Sprintf("MIXED, ORDER: %s got 200 and a stream that ends as complete with %d pieces of 64", c.id, pieces))
				}
			}
		})
		time.Sleep(sendPause)
	}
	clients.Wait()
	return breaches, served
}
