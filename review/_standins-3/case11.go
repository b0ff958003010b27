package main

import (
	"fmt"
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

// crashBehindCut: one worker in five is cut off from all machines for some seconds, crashes
// behind the cut and starts again. Half of the streams have neither a length nor chunks.
func crashBehindCut(w *world, trouble bool) ([]string, error) {
	go w.store.expireServers(1200 * time.Millisecond)
	w.store.putJSON("keyed.op", "config", configuration(7))
	workers, hosts, err := startWithWorkers(w, "cake-llm", 5, true)
	if err != nil {
		return nil, err
	}
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

func playCrashBehindCut(lw *workerProcess) {
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
