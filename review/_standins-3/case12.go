package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["12"] = lastKeysTakenAway }

// The times and bounds of case 12.
const (
	revokeGap    = 1500 * time.Millisecond
	revokeWithin = 5 * time.Second
	settleBefore = 3 * time.Second
	sendAfter    = 4 * time.Second
)

// neverHeld is a key that no configuration holds.
const neverHeld = "zzzzzzzzzzzzzzzzzzzz"

// sent is a request with the time at which it was sent.
type sent struct {
	id, key string
	at      time.Time
	status  int
}

// withTenants returns a configuration with the given tenants, each with one key of its name.
func withTenants(version int, names []string) map[string]any {
	doc := configuration(version)
	tenants := []any{}
	for _, name := range names {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": []any{"key-of-" + name}, "priority": 1, "unit": "tokens",
			"plainTokens": 200, "ratePerS": 222916, "burst": 222916})
	}
	doc["tenants"] = tenants
	return doc
}

// lastKeysTakenAway: three keys are taken away one after the other, which are the last ones.
// Clients go on with their keys.
func lastKeysTakenAway(w *world, trouble bool) ([]string, error) {
	go w.store.expireServers(1200 * time.Millisecond)
	names := []string{"hule", "fida", "wuno"}
	w.store.putJSON("keyed.op", "config", withTenants(7, names))
	hosts, err := startSmall(w, "booking-app", 4)
	if err != nil {
		return nil, err
	}
	var requests []*sent
	var mu sync.Mutex
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, key := range []string{"key-of-hule", "key-of-fida", "key-of-wuno", neverHeld} {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				s := &sent{id: fmt.Sprintf("%s-%d", key, n), key: key, at: time.Now()}
				to := hosts[n%len(hosts)]
				a := call{id: s.id, path: "/book/1", key: key, body: "{}", deadline: 2500 * time.Millisecond}.send(to.callers)
				s.status = a.status
				w.note("%s sent to %s with key %s: status %d", s.id, to.name, key, a.status)
				mu.Lock()
				requests = append(requests, s)
				mu.Unlock()
			}
		})
	}
	time.Sleep(settleBefore)
	taken := map[string]time.Time{}
	if trouble {
		for i := range names {
			w.store.putJSON("keyed.op", "config", withTenants(8+i, names[i+1:]))
			taken["key-of-"+names[i]] = time.Now()
			time.Sleep(revokeGap)
		}
	} else {
		time.Sleep(time.Duration(len(names)) * revokeGap)
	}
	time.Sleep(revokeWithin + sendAfter)
	close(stop)
	clients.Wait()
	return judgeKeys(w, requests, taken)
}

// judgeKeys returns the requests that ran though their key was taken away before, or was never
// in a configuration.
func judgeKeys(w *world, requests []*sent, taken map[string]time.Time) ([]string, error) {
	runs, err := os.ReadFile(filepath.Join(w.temp, "workers.log"))
	if err != nil {
		return nil, err
	}
	ran := map[string]bool{}
	for line := range strings.Lines(string(runs)) {
		if fields := strings.Fields(line); len(fields) == 4 && fields[2] == "runs" {
			ran[fields[3]] = true
		}
	}
	var breaches []string
	served := 0
	for _, s := range requests {
		if s.status == 200 {
			served++
		}
		takenAt, revoked := taken[s.key]
		late := s.at.Sub(takenAt)
		switch {
		case ran[s.id] && revoked && late > revokeWithin:
			breaches = append(breaches, fmt.Sprintf("CONFIG: %s was sent %.1f s after its key was taken away, and ran", s.id, late.Seconds()))
		case ran[s.id] && s.key == neverHeld:
			breaches = append(breaches, fmt.Sprintf("ROUTE: %s ran, whose key no configuration ever held", s.id))
		}
	}
	if served < 20 {
		return nil, fmt.Errorf("only %d requests were served", served)
	}
	return breaches, nil
}
