package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["odd-entry"] = oddEntry }

// oddEntry empties a zone. When its workers get nothing more, an entry without some of its fields
// stands in the place of that of one of them, until that worker writes its next one.
func oddEntry(f *fleet, trouble bool) {
	const heartbeat = 1200 * time.Millisecond
	const evacuation = 5 * time.Second
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		f.addHost(zone)
	}
	var mu sync.Mutex
	type arrival struct {
		worker, id string
		at         time.Time
	}
	var arrivals []arrival
	var workers []*worker
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		w := &worker{id: fmt.Sprintf("i-%d", i), zone: zone}
		w.handle = streamChunked(w.id, 4, 10*time.Millisecond)
		w.ran = func(w *worker, r *http.Request, at time.Time) {
			f.record.event("worker %s in %s runs %s", w.id, w.zone, r.Header.Get("X-Attempt-Id"))
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, arrival{w.id, r.Header.Get("X-Attempt-Id"), at})
		}
		w.serve("127.0.0.1:0")
		workers = append(workers, w)
	}
	born, stop := time.Now().UnixMilli(), make(chan struct{})
	beat := make(chan struct{}, 1)
	for i, w := range workers {
		go func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			for sequence := 1; ; sequence++ {
				report := w.report("svc", born)
				report["sequence"] = sequence
				f.store.put("keyed.servers", w.id, report)
				if i == 0 {
					select {
					case beat <- struct{}{}:
					default:
					}
				}
				select {
				case <-stop:
					return
				case <-time.After(heartbeat):
				}
			}
		}()
	}
	defer close(stop)
	f.store.put("keyed.op", "config", document(3, []map[string]any{route("draft", "streaming", 1, false, 15000, true)}, []map[string]any{plainService()}, nil))
	for _, h := range f.hosts {
		h.start()
	}
	f.awaitReady()
	var pending sync.WaitGroup
	number := 0
	load := func(length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			number++
			h, id := f.hosts[number%len(f.hosts)], fmt.Sprintf("e%07d", number)
			pending.Go(func() {
				a := f.newClient(h, "", uint64(number)).send(h.front, id, "/draft/x", nil, "prompt", 5*time.Second)
				f.record.event("request %s to %s: %s", id, h.name, describe(a))
			})
		}
	}
	load(time.Second)
	f.store.put("keyed.op", "evacuate/zone-a", map[string]any{"zone": "zone-a"})
	acknowledged := time.Now()
	f.record.event("the evacuation of zone-a is acknowledged")
	load(evacuation + time.Second)
	if trouble {
		// Just behind an entry of the worker, so that the odd one stands for about a heartbeat.
		<-beat
		<-beat
		time.Sleep(20 * time.Millisecond)
		f.store.put("keyed.servers", "i-0", map[string]any{"service": "svc", "address": workers[0].address, "state": "ready"})
		f.record.event("an entry without a zone from another writer stands under servers/i-0")
	}
	load(3 * time.Second)
	f.store.put("keyed.op", "evacuate/zone-a", nil)
	back := time.Now()
	pending.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, a := range arrivals {
		if a.worker == "i-0" && a.at.After(acknowledged.Add(evacuation)) && a.at.Before(back) {
			late++
		}
	}
	f.record.event("%d requests sent; %d reached a worker in zone-a later than 5 s after the acknowledgement", number, late)
	if late > 0 {
		f.record.breach("EVAC: %d requests reached a worker in zone-a later than evacuationMs after the acknowledgement", late)
	}
}
