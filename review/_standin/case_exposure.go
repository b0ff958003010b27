package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["exposure"] = exposure }

// The roll-out of the case.
const (
	deadlineS = 16
	// ratePerS is the usual rate of bookings, and burstX how many times as many come
	// during burstFor.
	ratePerS   = 53
	burstX     = 1.7
	burstAt    = time.Second
	burstFor   = 3 * time.Second
	retryAfter = 6
	// drainAfter is the time from the roll-back until the new workers drain.
	drainAfter = 6 * time.Second
)

// exposure orders a roll-out to a version that fails, lets a burst of callers come meanwhile,
// and reports how many requests the version gets.
func exposure(b *bench) []string {
	b.publish(1, []map[string]any{route("book", "booking", "non_idempotent", 4000, 1, false)}, []map[string]any{service("booking", false)})
	// The old workers carry 60 requests a second.
	old := workerOptions{WorkMs: 200, Slots: 6, Queue: 24, RetryAfterS: retryAfter}
	for i := range 2 {
		b.startWorker("booking", zones[i], map[string]any{"capacity": 6}, old)
	}
	b.startHosts(2)
	var mu sync.Mutex
	var answers []answer
	var callers sync.WaitGroup
	done := make(chan struct{})
	rate := float64(ratePerS)
	callers.Go(func() {
		for {
			mu.Lock()
			pause := time.Duration(rand.ExpFloat64() / rate * float64(time.Second))
			mu.Unlock()
			select {
			case <-done:
				return
			case <-time.After(pause):
			}
			h := b.hosts[rand.IntN(len(b.hosts))]
			callers.Go(func() {
				a := b.call(h.at(portCallers), http.MethodPost, "/book/1", "slot 7", nil, 4*time.Second)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}
	})
	time.Sleep(3 * time.Second)
	// The new workers are started alongside the old ones.
	bad := old
	bad.FailPercent = 60
	target := map[string]bool{}
	var targets []*worker
	for i := range 2 {
		w := b.startWorker("booking", zones[i], map[string]any{"capacity": 6, "version": "v2"}, bad)
		target[w.ID], targets = true, append(targets, w)
	}
	b.store.Put("keyed.op", "rollout/booking", map[string]any{"service": "booking", "target": "v2", "deadlineS": deadlineS})
	orderedAt := b.now()
	b.note("roll-out of v2 is ordered, deadline %d s", deadlineS)
	if b.trouble {
		callers.Go(func() {
			time.Sleep(burstAt)
			b.note("burst begins")
			mu.Lock()
			rate = ratePerS * burstX
			mu.Unlock()
			time.Sleep(burstFor)
			b.note("burst ends")
			mu.Lock()
			rate = ratePerS
			mu.Unlock()
		})
	}
	seen, rolledBack := 0, false
	for b.now()-orderedAt < deadlineS*time.Second {
		time.Sleep(50 * time.Millisecond)
		for _, r := range b.store.Records("keyed.status")[seen:] {
			seen++
			b.note("%s: %s", r.Key, r.Value)
			if strings.Contains(string(r.Value), "rolled_back") && !rolledBack {
				rolledBack = true
				time.AfterFunc(drainAfter, func() {
					for _, w := range targets {
						w.report["state"], w.report["sequence"] = "draining", 2
						b.putReport(w)
					}
					b.note("the workers of v2 drain")
				})
			}
		}
	}
	deadline := b.now()
	close(done)
	callers.Wait()
	return judgeExposure(b, answers, target, orderedAt, deadline)
}

// judgeExposure counts the requests that reach the service and the new version between the
// order and its deadline.
func judgeExposure(b *bench, answers []answer, target map[string]bool, from, to time.Duration) []string {
	all, exposed, failed, away := 0, 0, 0, 0
	for _, a := range answers {
		reached, atTarget := false, false
		for _, e := range b.did(a.attempt) {
			if e.At < from || e.At > to {
				continue
			}
			reached = true
			atTarget = atTarget || target[e.Worker]
			if strings.HasPrefix(e.Do, "is turned away") {
				away++
			}
		}
		if reached {
			all++
		}
		if atTarget {
			exposed++
			if a.status == http.StatusInternalServerError {
				failed++
			}
		}
	}
	allowed := 0.1*float64(all) + 50
	b.note("%d requests reached the service, %d of them v2, where %d failed; workers turned %d away; %.0f may reach v2", all, exposed, failed, away, allowed)
	if float64(exposed) <= allowed {
		return nil
	}
	return []string{fmt.Sprintf("v2 got %d of %d requests between the order and its deadline; %.0f it may", exposed, all, allowed)}
}
