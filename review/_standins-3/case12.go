package main

import (
	"time"
)

func init() { cases["12"] = lastKeysTakenAway }

// The times and bounds of case 12.
const (
	revokeGap    = 1500 * time.Millisecond
	settleBefore = 3 * time.Second
	sendAfter    = 4 * time.Second
)

// lastKeysTakenAway: three keys are taken away one after the other, which are the last ones.
// Clients go on with their keys.
func lastKeysTakenAway(w *world, trouble bool) ([]string, error) {
	go w.store.expireServers(heartbeat)
	names := []string{"hule", "fida", "wuno"}
	w.store.putJSON("keyed.op", "config", withTenants(7, names))
	hosts, err := startSmall(w, "booking-app", 4)
	if err != nil {
		return nil, err
	}
	clients := sendWithKeys(w, hosts, "key-of-hule", "key-of-fida", "key-of-wuno", neverHeld)
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
	return judgeKeys(w, clients.end(), taken)
}
