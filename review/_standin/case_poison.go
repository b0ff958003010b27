package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { cases["poison"] = poison }

const (
	crashingBody = "a draft that crashes"
	contact      = 3 * time.Second
	// The request comes again at any host, atOnce at a time every again.
	again  = 4 * time.Second
	atOnce = 3
	// killAt is the time of the kill of all hosts after the first request.
	killAt  = 20 * time.Second
	downFor = time.Second
	playFor = 48 * time.Second
)

// poison kills all hosts at once after a request has crashed three workers, and reports
// how often it reaches workers later.
func poison(b *bench) []string {
	b.publish(1, []map[string]any{route("draft", "advice", "streaming", 15000, 1, false)}, []map[string]any{service("advice", true)})
	o := workerOptions{Events: 10, GapMs: 100, CrashOn: crashingBody, CrashAfterMs: 300}
	var workers sync.WaitGroup
	over := make(chan struct{})
	for i := range 6 {
		w := b.startWorker("advice", zones[i%len(zones)], nil, o)
		workers.Go(func() {
			// A worker that has crashed is back after some seconds; its entry goes before.
			for {
				select {
				case <-over:
					return
				case <-w.ended:
				}
				time.Sleep(2 * time.Second)
				b.store.Put("keyed.servers", w.ID, nil)
				w = b.startWorker("advice", w.zone, nil, o)
			}
		})
	}
	b.startHosts(3)
	from := b.now()
	var mu sync.Mutex
	var bad, sound []answer
	send := func(into *[]answer, body, prefix string) {
		h := b.hosts[rand.IntN(len(b.hosts))]
		prompt := map[string]string{"X-Model": "m", "X-Token-Usage": "1460,60", "X-Prompt-Prefix": prefix}
		a := b.call(h.at(portCallers), http.MethodPost, "/draft/1", body, prompt, 15*time.Second)
		mu.Lock()
		defer mu.Unlock()
		*into = append(*into, a)
	}
	var callers sync.WaitGroup
	callers.Go(func() {
		for b.now()-from < playFor {
			for range atOnce {
				callers.Go(func() { send(&bad, crashingBody, "5c1e07a2:800,91bd3f06:410,e4402b7d:250") })
			}
			time.Sleep(again)
		}
	})
	callers.Go(func() {
		for i := 0; b.now()-from < playFor; i++ {
			callers.Go(func() {
				send(&sound, fmt.Sprint("draft ", i), fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%08x:250", 0x10000+i))
			})
			time.Sleep(300 * time.Millisecond)
		}
	})
	inTouchAgain := time.Duration(0)
	if b.trouble {
		time.Sleep(killAt - (b.now() - from))
		var ended []<-chan struct{}
		for _, h := range b.hosts {
			ended = append(ended, h.signal(syscall.SIGKILL))
		}
		for _, one := range ended {
			<-one
		}
		time.Sleep(downFor)
		for _, h := range b.hosts {
			h.run()
		}
		inTouchAgain = b.now() + contact
	}
	callers.Wait()
	close(over)
	return judgePoison(b, bad, sound, inTouchAgain)
}

// judgePoison counts as the rule does: the retries of the request that reach workers later
// than contact after it has crashed the third, sent by hosts in touch.
func judgePoison(b *bench, bad, sound []answer, inTouchAgain time.Duration) []string {
	var runs, crashes []event
	for _, a := range bad {
		for _, e := range b.did(a.attempt) {
			if e.Do == "runs" {
				runs = append(runs, e)
			}
		}
	}
	// A worker that crashes under several at once says so once or more often.
	crashed := map[string]bool{}
	for _, a := range bad {
		for _, e := range b.did(a.attempt) {
			if e.Do == "crashes the worker" && !crashed[e.Worker] {
				crashed[e.Worker] = true
				crashes = append(crashes, e)
			}
		}
	}
	byTime := func(x, y event) int { return cmp.Compare(x.At, y.At) }
	slices.SortFunc(crashes, byTime)
	slices.SortFunc(runs, byTime)
	cut, cutLate := 0, 0
	for _, a := range sound {
		if !a.unread && (a.err != nil || a.status == http.StatusBadGateway) {
			cut++
			if inTouchAgain > 0 && a.at > inTouchAgain {
				cutLate++
			}
		}
	}
	b.note("the request was sent %d times and reached workers %d times, %d workers crashed; %d sound streams were sent, %d of them broken off or failed, %d of these later than contactMs after the kill",
		len(bad), len(runs), len(crashes), len(sound), cut, cutLate)
	if len(crashes) < 3 {
		fail("only %d workers crashed", len(crashes))
	}
	late := 0
	for _, e := range runs {
		if e.At > crashes[2].At+contact && (inTouchAgain == 0 || e.At > inTouchAgain) {
			late++
			b.note("request %s reached %s %.1f s after the third crash, sent by a host in touch", e.Attempt, e.Worker, (e.At - crashes[2].At).Seconds())
		}
	}
	if late <= 3 {
		return nil
	}
	return []string{fmt.Sprintf("the request reached workers in %d retries, sent by machines in touch later than contactMs after it had crashed the third; 3 may", late)}
}
