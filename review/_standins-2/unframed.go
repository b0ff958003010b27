package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["restart-unseen"] = restartUnseen }

// Figures of the case.
const (
	streamEvents = 40
	streamPause  = 50 * time.Millisecond
	// awayFor is how long a machine stands still or a worker is cut off, and downFor how long
	// the worker is down.
	awayFor = 3 * time.Second
	downFor = time.Second
)

// restartUnseen lets workers answer with streams that have neither a length nor chunks. A worker
// crashes in the middle of them, and starts again, while the machine that passes them on does not
// see it: in two rounds since the machine stands still, in two since the worker is cut off.
func restartUnseen(f *fleet, trouble bool) {
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		f.addHost(zone)
	}
	var workers []*workerProcess
	var links []*link
	publish := func(i int) {
		report := workers[i].report("svc", time.Now().UnixMilli())
		report["address"] = links[i].address
		f.store.put("keyed.servers", workers[i].id, report)
	}
	for i, zone := range []string{"zone-a", "zone-b"} {
		workers = append(workers, f.startWorker(fmt.Sprintf("i-%d", i), zone, "127.0.0.1:0", streamEvents, streamPause))
		links = append(links, newLink(workers[i].address))
		publish(i)
	}
	f.store.put("keyed.op", "config", document(3, []map[string]any{route("draft", "streaming", 1, false, 15000, true)},
		[]map[string]any{plainService()}, nil))
	for _, h := range f.hosts {
		h.start()
	}
	f.awaitReady()
	for round := range 4 {
		h := f.hosts[round%len(f.hosts)]
		c := f.newClient(h, "", uint64(round))
		var pending sync.WaitGroup
		for i := range 6 {
			id := fmt.Sprintf("b%d%06d", round, i)
			pending.Go(func() {
				a := c.send(h.front, id, "/draft/x", nil, "prompt", 15*time.Second)
				f.record.event("request %s to %s, answer signed %q: %s", id, h.name, a.header.Get("X-Response-Signature"), describe(a))
				whole, _ := events(a.body)
				if a.err == nil && a.status == 200 && whole < streamEvents {
					f.record.breach("MIXED, ORDER: request %s got a success that looks complete, with %d of %d events", id, whole, streamEvents)
				}
			})
		}
		time.Sleep(600 * time.Millisecond)
		if trouble {
			k := round % len(workers)
			if round < 2 {
				h.signal(syscall.SIGSTOP)
			} else {
				f.record.event("worker %s is cut off from all machines", workers[k].id)
				links[k].cut()
			}
			time.Sleep(300 * time.Millisecond)
			f.record.event("worker %s crashes", workers[k].id)
			_ = workers[k].cmd.Process.Kill()
			<-workers[k].ended
			f.store.put("keyed.servers", workers[k].id, nil)
			time.Sleep(downFor)
			workers[k] = f.startWorker(fmt.Sprintf("%s-%d", workers[k].id, round), workers[k].zone, workers[k].address, streamEvents, streamPause)
			publish(k)
			time.Sleep(awayFor - 300*time.Millisecond - downFor)
			if round < 2 {
				h.signal(syscall.SIGCONT)
			} else {
				f.record.event("the cut heals")
				links[k].heal()
			}
		}
		pending.Wait()
		time.Sleep(500 * time.Millisecond)
	}
}
