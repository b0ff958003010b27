package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

func init() { cases["many-tenants"] = manyTenants }

// manyTenants gives a deployment over a thousand tenants, which send requests now and
// then; one of them sends five times its quota. Nothing else is disturbed.
func manyTenants(f *fleet, trouble bool) {
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		f.addHost(zone)
	}
	count := 5
	if trouble {
		count = 1300
	}
	var mu sync.Mutex
	arrived := map[string]time.Time{}
	w := &worker{id: "i-0", zone: "zone-a"}
	w.handle = streamChunked(w.id, 1, 0)
	w.ran = func(_ *worker, r *http.Request, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		arrived[r.Header.Get("X-Attempt-Id")] = at
	}
	w.serve("127.0.0.1:0")
	f.store.put("keyed.servers", w.id, w.report("svc", time.Now().UnixMilli()))
	var tenants []map[string]any
	for i := range count {
		tenants = append(tenants, map[string]any{
			"name": fmt.Sprintf("tenant-%04d", i), "apiKeys": []string{fmt.Sprintf("key-%04d", i)}, "priority": 1, "unit": "tokens",
			"plainTokens": 200, "ratePerS": tenantRate, "burst": tenantRate,
		})
	}
	f.store.put("keyed.op", "config", document(3, []map[string]any{route("draft", "streaming", 1, false, 15000, false)}, []map[string]any{plainService()}, tenants))
	for _, h := range f.hosts {
		h.start()
	}
	f.awaitReady()
	time.Sleep(time.Second)
	header := map[string]string{"X-Model": "m", "X-Token-Usage": "6610,390", "X-Prompt-Prefix": "5c1e07a2:800,91bd3f06:5810"}
	var pending sync.WaitGroup
	stop := make(chan struct{})
	var others []*client
	for _, h := range f.hosts {
		others = append(others, f.newClient(h, "", 1))
	}
	// All tenants but the first send a small request each few seconds, to any machine.
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(3 * time.Millisecond):
			}
			go func() {
				one := map[string]string{"X-Credential": fmt.Sprintf("key-%04d", 1+n%(count-1)), "X-Token-Usage": "10,10"}
				others[n%3].send(f.hosts[n%3].front, fmt.Sprintf("t%07d", n), "/draft/x", one, "prompt", 5*time.Second)
			}()
		}
	}()
	defer close(stop)
	// A host that is silent counts for 15 s more.
	time.Sleep(30 * time.Second)
	for _, h := range f.hosts {
		c := f.newClient(h, "", 1)
		c.resolve()
		f.record.event("the directory of %s names %d machines", h.name, len(c.known))
	}
	type run struct{ sent, arrived time.Time }
	var runs []run
	var clients []*client
	for _, h := range f.hosts {
		clients = append(clients, f.newClient(h, "key-0000", 7))
	}
	statuses := map[int]int{}
	for i := 0; i < 8*5*int(tenantRate)/tokensOfRequest; i++ {
		id, c, h := fmt.Sprintf("q%06d", i), clients[i%3], f.hosts[i%3]
		pending.Go(func() {
			a := c.send(h.front, id, "/draft/x", header, "prompt", 5*time.Second)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
			if at, ok := arrived[id]; ok {
				runs = append(runs, run{a.sentAt, at})
			}
		})
		time.Sleep(time.Duration(float64(time.Second) * tokensOfRequest / tenantRate / 5))
	}
	pending.Wait()
	sort.Slice(runs, func(i, j int) bool { return runs[i].sent.Before(runs[j].sent) })
	allowed := (tenantRate*quotaWindow.Seconds()+tenantRate)*1.1 + 140000
	most := 0.0
	for _, first := range runs {
		tokens := 0.0
		for _, r := range runs {
			if !r.sent.Before(first.sent) && r.arrived.Before(first.sent.Add(quotaWindow)) {
				tokens += tokensOfRequest
			}
		}
		most = max(most, tokens)
	}
	f.record.event("statuses %v; most in a window of 8 s: %.0f tokens, allowed %.0f", statuses, most, allowed)
	if most > allowed {
		f.record.breach("QUOTA: %.0f tokens of tenant-0000 were sent and run in 8 s; allowed %.0f", most, allowed)
	}
}
