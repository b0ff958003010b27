package main

import (
	"fmt"
	"sync"
	"time"
)

// revokeWithin is revokeMs.
const revokeWithin = 5 * time.Second

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

// keyClients are clients that send bookings, each with its key.
type keyClients struct {
	stop    chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex
	requests []*sent
}

// sendWithKeys starts a client for each key, which sends five bookings a second.
func sendWithKeys(w *world, hosts []*host, keys ...string) *keyClients {
	c := &keyClients{stop: make(chan struct{})}
	for _, key := range keys {
		c.running.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-c.stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				s := &sent{id: fmt.Sprintf("%s-%d", key, n), key: key, at: time.Now()}
				to := hosts[n%len(hosts)]
				if to.leaving.Load() {
					continue
				}
				a := call{id: s.id, path: "/book/1", key: key, body: "{}", deadline: 2500 * time.Millisecond}.send(to.callers)
				s.status = a.status
				w.note("%s sent to %s with key %s: status %d", s.id, to.name, key, a.status)
				c.mu.Lock()
				c.requests = append(c.requests, s)
				c.mu.Unlock()
			}
		})
	}
	return c
}

// end stops the clients and returns what they sent.
func (c *keyClients) end() []*sent {
	close(c.stop)
	c.running.Wait()
	return c.requests
}

// judgeKeys returns the requests that ran though their key was taken away before, or was never
// in a configuration.
func judgeKeys(w *world, requests []*sent, taken map[string]time.Time) ([]string, error) {
	ran, err := w.ran()
	if err != nil {
		return nil, err
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

// heartbeat is heartbeatMs.
const heartbeat = 1200 * time.Millisecond
