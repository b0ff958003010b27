package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["reclaim"] = reclaim }

// reclaim takes a worker away after a notice while it sends streams without a length, and
// reports the streams that ended as complete before their last event.
func reclaim(b *bench) []string {
	const events, gapMs, leavesMs, rounds = 60, 100, 2500, 3
	b.publish(1, []map[string]any{route("draft", "advice", "streaming", 15000, 1, false)}, []map[string]any{service("advice", true)})
	spot := map[string]any{"spot": true}
	o := workerOptions{Events: events, GapMs: gapMs, Unframed: true}
	b.startWorker("advice", zones[0], nil, o)
	b.startHosts(3)
	var breaks []string
	for round := range rounds {
		leaver := b.startWorker("advice", zones[1], spot, o)
		time.Sleep(2 * time.Second)
		var mu sync.Mutex
		var answers []answer
		var callers sync.WaitGroup
		for i := range 12 {
			h := b.hosts[i%len(b.hosts)]
			callers.Go(func() {
				prompt := map[string]string{"X-Model": "m", "X-Token-Usage": "1460,360", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%08x:250", 0x100*round+i)}
				a := b.call(h.at(portCallers), http.MethodPost, "/draft/1", fmt.Sprint("draft ", round, i), prompt, 15*time.Second)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			})
		}
		time.Sleep(time.Second)
		if b.trouble {
			leaver.report["state"], leaver.report["leaves_ms"], leaver.report["sequence"] = "draining", leavesMs, 2
			b.putReport(leaver)
			b.note("worker %s is draining and leaves in %d ms", leaver.ID, leavesMs)
			time.Sleep(leavesMs * time.Millisecond)
			b.kill(leaver)
			b.store.Put("keyed.servers", leaver.ID, nil)
		}
		callers.Wait()
		for _, a := range answers {
			if got := eventsIn(a.body); a.err == nil && a.status == http.StatusOK && got < events {
				breaks = append(breaks, fmt.Sprintf("request %s: the stream ended as complete after %d of %d events", a.attempt, got, events))
			}
		}
	}
	return breaks
}
