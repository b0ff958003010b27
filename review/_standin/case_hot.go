package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["hot"] = hot }

const (
	hotZone    = "bkk-a"
	lookMs     = 500
	lookPerS   = 40
	crashedFor = 4500 * time.Millisecond
	// recover is recoveryS: the case judges from so long after the workers are back.
	recoverIn = 12 * time.Second
	judgedFor = 20 * time.Second
)

// hot lets all workers of a zone crash at once while a lookup is popular, and reports how
// many of these lookups are served later.
func hot(b *bench) []string {
	first := route("look", "slots", "idempotent", 1200, 2, false)
	b.publish(1, []map[string]any{first}, []map[string]any{service("slots", false)})
	o := workerOptions{WorkMs: lookMs}
	var workers []*worker
	for range 3 {
		workers = append(workers, b.startWorker("slots", hotZone, nil, o))
	}
	b.startHosts(3)
	time.Sleep(time.Second)
	b.publish(2, []map[string]any{first, route("menu", "slots", "idempotent", 1200, 2, false)}, []map[string]any{service("slots", false)})
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	served, asked := map[string]int{}, map[string]int{}
	var judgedFrom time.Duration
	done := make(chan struct{})
	var callers sync.WaitGroup
	send := func(kind, path string) {
		a := b.call(b.hosts[rand.IntN(len(b.hosts))].at(portCallers), http.MethodGet, path, "", nil, 2500*time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		if judgedFrom == 0 || a.sentAt < judgedFrom {
			return
		}
		asked[kind]++
		if a.err == nil && a.status == http.StatusOK && strings.Contains(a.body, a.attempt) {
			served[kind]++
		}
	}
	callers.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() * float64(time.Second) / lookPerS)):
			}
			// Half of the lookups are about one thing, on the route that was added later.
			if rand.IntN(2) == 0 {
				callers.Go(func() { send("menu", "/menu/today") })
			} else {
				callers.Go(func() { send("look", fmt.Sprint("/look/", i)) })
			}
		}
	})
	time.Sleep(4 * time.Second)
	if b.trouble {
		b.note("the workers of %s crash", hotZone)
		for _, w := range workers {
			_ = w.cmd.Process.Kill()
		}
		time.Sleep(crashedFor)
		for _, w := range workers {
			b.store.Put("keyed.servers", w.ID, nil)
			b.startWorker("slots", hotZone, nil, o)
		}
	}
	time.Sleep(recoverIn)
	mu.Lock()
	judgedFrom = b.now()
	mu.Unlock()
	b.note("judged from here")
	time.Sleep(judgedFor)
	close(done)
	callers.Wait()
	b.note("served: %d of %d lookups on the first route, %d of %d on the one added later", served["look"], asked["look"], served["menu"], asked["menu"])
	if asked["menu"] < 20 || served["menu"]*asked["look"]*4 >= served["look"]*asked["menu"] {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d lookups on the route that was added later are served, and %d of %d on the first route", served["menu"], asked["menu"], served["look"], asked["look"])}
}
