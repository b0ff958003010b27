package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["late-page"] = latePage }

// bigDocument returns a configuration with many routes, of a bit less than a record may have.
func bigDocument(version int, keys []string) map[string]any {
	routes := []map[string]any{route("look", "idempotent", 2, false, 3000, false)}
	for i := range 950 {
		routes = append(routes, route(fmt.Sprintf("idle-%06d", i), "idempotent", 2, false, 3000, false))
	}
	return document(version, routes, []map[string]any{plainService()}, []map[string]any{{
		"name": "tenant-a", "apiKeys": keys, "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 1e6, "burst": 1e6,
	}})
}

// latePage takes a key away, behind many changes of a configuration with many routes, while the
// only machine that is left stands still. A read of the store returns 1 MB at most.
func latePage(f *fleet, trouble bool) {
	const (
		revoke = 5 * time.Second
		freeze = 7500 * time.Millisecond
	)
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		f.addHost(zone)
	}
	var mu sync.Mutex
	ran := map[string]time.Time{}
	w := &worker{id: "i-0", zone: "zone-a"}
	w.handle = streamChunked(w.id, 1, 0)
	w.ran = func(w *worker, r *http.Request, at time.Time) {
		f.record.event("worker %s runs %s for tenant %q", w.id, r.Header.Get("X-Attempt-Id"), r.Header.Get("X-Tenant"))
		mu.Lock()
		defer mu.Unlock()
		ran[r.Header.Get("X-Attempt-Id")] = at
	}
	w.serve("127.0.0.1:0")
	f.store.put("keyed.servers", w.id, w.report("svc", time.Now().UnixMilli()))
	version := 3
	keys := []string{"key-kept", "key-taken"}
	publish := func(keys []string) {
		version += 3
		f.store.put("keyed.op", "config", bigDocument(version, keys))
	}
	publish(keys)
	for _, h := range f.hosts {
		h.start()
	}
	f.awaitReady()
	h := f.hosts[0]
	c := f.newClient(h, "key-taken", 1)
	a := c.send(h.front, "kfirst", "/look/x", nil, "", 3*time.Second)
	f.record.event("request kfirst to %s: %s", h.name, describe(a))
	if trouble {
		for _, other := range f.hosts[1:] {
			f.record.event("%s loses its power", other.name)
			other.kill()
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		h.signal(syscall.SIGSTOP)
	}
	began := time.Now()
	for range 25 {
		publish(keys)
		time.Sleep(60 * time.Millisecond)
	}
	f.record.event("25 configurations came, up to %d", version)
	publish(keys[:1])
	taken := time.Now()
	f.record.event("configuration %d, without the key, is acknowledged", version)
	time.Sleep(time.Until(taken.Add(revoke + 50*time.Millisecond)))
	var pending sync.WaitGroup
	type sent struct {
		id string
		a  answer
	}
	var all []sent
	stopped := trouble
	for i := 0; time.Since(began) < freeze+time.Second; i++ {
		if stopped && time.Since(began) >= freeze {
			stopped = false
			h.signal(syscall.SIGCONT)
		}
		id := fmt.Sprintf("k%06d", i)
		pending.Go(func() {
			a := c.send(h.front, id, "/look/x", nil, "", 3*time.Second)
			f.record.event("request %s to %s: %s", id, h.name, describe(a))
			mu.Lock()
			defer mu.Unlock()
			all = append(all, sent{id, a})
		})
		time.Sleep(5 * time.Millisecond)
	}
	pending.Wait()
	mu.Lock()
	defer mu.Unlock()
	statuses := map[int]int{}
	for _, s := range all {
		statuses[s.a.status]++
		if at, ok := ran[s.id]; ok && s.a.sentAt.After(taken.Add(revoke)) {
			f.record.breach("CONFIG: request %s, sent %.3f s after the configuration without its key was acknowledged, was run %.3f s after it", s.id,
				s.a.sentAt.Sub(taken).Seconds(), at.Sub(taken).Seconds())
		}
	}
	f.record.event("statuses of the requests with the key: %v", statuses)
}
