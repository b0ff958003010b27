package main

import (
	"fmt"
	"net/http"
	"os"
	"sort"
	"sync"
	"syscall"
	"time"
)

func init() { cases["fresh-fleet"] = freshFleet }

// Figures of the case: a tenant of the site's kind of quota, which is 1.8 times what it usually
// sends, and a kind of request of 7,000 tokens.
const (
	tenantRate      = 100000.0
	tokensOfRequest = 7000
	usualPerSecond  = tenantRate / 1.8 / tokensOfRequest
	hotTimes        = 7.5
	quotaWindow     = 8 * time.Second
)

// freshFleet kills all processes while the partition of the store that holds the system's own
// host records is down, and lets a tenant send many times its usual.
func freshFleet(f *fleet, trouble bool) {
	for _, zone := range []string{"zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c", "zone-d"} {
		f.addHost(zone)
	}
	var mu sync.Mutex
	arrived := map[string]time.Time{}
	for i, zone := range []string{"zone-a", "zone-b", "zone-c", "zone-d"} {
		w := &worker{id: fmt.Sprintf("i-%d", i), zone: zone}
		w.handle = streamChunked(w.id, 4, 10*time.Millisecond)
		w.ran = func(w *worker, r *http.Request, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			arrived[r.Header.Get("X-Attempt-Id")] = at
		}
		w.serve("127.0.0.1:0")
		f.store.put("keyed.servers", w.id, w.report("svc", time.Now().UnixMilli()))
	}
	f.store.put("keyed.op", "config", document(3, []map[string]any{route("draft", "streaming", 1, false, 15000, false)},
		[]map[string]any{plainService()}, []map[string]any{{
			"name": "tenant-a", "apiKeys": []string{"key-a"}, "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": tenantRate, "burst": tenantRate,
		}}))
	for _, h := range f.hosts {
		h.start()
	}
	f.awaitReady()

	type sent struct {
		id     string
		at     time.Time
		status int
	}
	var requests []sent
	var clients []*client
	for i := range 28 {
		clients = append(clients, f.newClient(f.hosts[i%len(f.hosts)], "key-a", uint64(i)))
	}
	var pending sync.WaitGroup
	number := 0
	load := func(perSecond float64, length time.Duration) {
		pause := time.Duration(float64(time.Second) / perSecond)
		next := time.Now()
		for end := next.Add(length); time.Now().Before(end); {
			c, id := clients[number%len(clients)], fmt.Sprintf("a%07d", number)
			number++
			pending.Go(func() {
				address := c.resolve()
				if address == "" {
					return
				}
				a := c.send(address, id, "/draft/x", map[string]string{
					"X-Model": "m", "X-Token-Usage": "6610,390", "X-Prompt-Prefix": "5c1e07a2:800,91bd3f06:5410," + id[1:] + ":400",
				}, "prompt", 15*time.Second)
				f.record.event("request %s to %s: %s", id, address, describe(a))
				mu.Lock()
				defer mu.Unlock()
				requests = append(requests, sent{id, a.sentAt, a.status})
			})
			next = next.Add(pause)
			time.Sleep(time.Until(next))
		}
	}
	load(usualPerSecond, 3*time.Second)
	if trouble {
		f.record.event("the store's partition of keyed.hosts is down")
		f.store.setDown("keyed.hosts", true)
		time.AfterFunc(4500*time.Millisecond, func() {
			f.record.event("the store's partition of keyed.hosts is back")
			f.store.setDown("keyed.hosts", false)
		})
	}
	// TROUBLE=kills leaves the store in order, to tell the causes apart.
	if trouble || os.Getenv("TROUBLE") == "kills" {
		for _, h := range f.hosts {
			h.signal(syscall.SIGKILL)
		}
		time.Sleep(500 * time.Millisecond)
		for _, h := range f.hosts {
			<-h.ended
			h.start()
		}
	}
	load(usualPerSecond*hotTimes, 6500*time.Millisecond)
	load(usualPerSecond, 4*time.Second)
	pending.Wait()

	// The rule: requests of a tenant that are both sent and arrive at a worker in a window.
	type run struct{ sent, arrived time.Time }
	var runs []run
	for _, s := range requests {
		if at, ok := arrived[s.id]; ok {
			runs = append(runs, run{s.at, at})
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].sent.Before(runs[j].sent) })
	allowed := (tenantRate*quotaWindow.Seconds()+tenantRate)*1.1 + 140000
	most, from := 0.0, time.Time{}
	for _, first := range runs {
		tokens := 0.0
		for _, r := range runs {
			if !r.sent.Before(first.sent) && r.arrived.Before(first.sent.Add(quotaWindow)) {
				tokens += tokensOfRequest
			}
		}
		if tokens > most {
			most, from = tokens, first.sent
		}
	}
	f.record.event("%d requests sent, %d run; most in a window of 8 s: %.0f tokens, allowed %.0f", len(requests), len(runs), most, allowed)
	if most > allowed {
		f.record.breach("QUOTA: %.0f tokens of tenant-a were sent and run in 8 s from %.3f s; allowed %.0f", most, from.Sub(f.record.started).Seconds(), allowed)
	}
}
