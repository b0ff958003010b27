package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["15"] = hostsUnknownToEachOther }

// The figures of case 15: the quota of the tenant and its requests, in tokens.
const (
	quotaRate      = 222916
	quotaBurst     = 222916
	quotaExcess    = 0.1
	quotaSlack     = 140000
	quotaWindow    = 8 * time.Second
	requestTokens  = 7000
	usualPause     = 60 * time.Millisecond
	surge          = 7.5
	surgeFor       = 6500 * time.Millisecond
	beforeTheSurge = 6 * time.Second
)

// hostsUnknownToEachOther: four machines are added, two and then two. Between their starts the
// store comes back from a copy that was made before the first two. Then a tenant sends many times
// its usual.
func hostsUnknownToEachOther(w *world, trouble bool) ([]string, error) {
	go w.store.expireServers(heartbeat)
	doc := withTenants(7, []string{"hule"})
	w.store.putJSON("keyed.op", "config", doc)
	hosts, err := startSmall(w, "booking-app", 4)
	if err != nil {
		return nil, err
	}
	var added []*host
	for i, zone := range []string{"bkk-a", "bkk-b", "bkk-c", "bkk-d"} {
		h, err := w.newHost("front-"+zone+"-9", fmt.Sprintf("127.31.0.%d", len(hosts)+i+1), zone)
		if err != nil {
			return nil, err
		}
		added = append(added, h)
	}
	copiedAt := time.Now()
	time.Sleep(time.Second)
	for _, h := range added[:2] {
		if err := h.run(); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.store.writeAgain(w.store.drill(copiedAt, awayFor))
	}
	time.Sleep(3 * time.Second)
	for _, h := range added[2:] {
		if err := h.run(); err != nil {
			return nil, err
		}
	}
	hosts = append(hosts, added...)
	if err := awaitReady(hosts); err != nil {
		return nil, err
	}
	requests := sendSurge(w, hosts)
	return judgeQuota(w, requests)
}

// sendSurge sends the usual load of the tenant, and then many times as much.
func sendSurge(w *world, hosts []*host) []*sent {
	var mu sync.Mutex
	var requests []*sent
	var clients sync.WaitGroup
	usualFor := beforeTheSurge
	send := func(n int) {
		s := &sent{id: fmt.Sprintf("attempt-%d", n), at: time.Now()}
		to := hosts[n%len(hosts)]
		a := call{id: s.id, path: "/book/1", key: "key-of-hule", body: "{}", deadline: 2500 * time.Millisecond, tokens: requestTokens}.send(to.callers)
		s.status = a.status
		w.note("%s sent to %s: status %d", s.id, to.name, a.status)
		mu.Lock()
		defer mu.Unlock()
		requests = append(requests, s)
	}
	start := time.Now()
	surging := false
	for n := 0; time.Since(start) < usualFor+surgeFor; n++ {
		pause := usualPause
		if time.Since(start) > usualFor {
			if !surging {
				w.note("the tenant sends %.1f times its usual", surge)
			}
			surging = true
			pause = time.Duration(float64(usualPause) / surge)
		}
		clients.Go(func() { send(n) })
		time.Sleep(pause)
	}
	clients.Wait()
	return requests
}

// judgeQuota compares what ran in each window with the bound.
func judgeQuota(w *world, requests []*sent) ([]string, error) {
	ran, err := w.ran()
	if err != nil {
		return nil, err
	}
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaExcess) + quotaSlack
	most := 0.0
	for _, first := range requests {
		tokens := 0.0
		for _, s := range requests {
			if ran[s.id] && !s.at.Before(first.at) && s.at.Before(first.at.Add(quotaWindow)) {
				tokens += requestTokens
			}
		}
		most = max(most, tokens)
	}
	w.note("at most %.0f tokens in a window, %.0f may", most, bound)
	if most > bound {
		return []string{fmt.Sprintf("QUOTA: %.0f tokens of a tenant ran in %v, %.0f may", most, quotaWindow, bound)}, nil
	}
	return nil, nil
}
