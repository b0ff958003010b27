package main

import "time"

func init() { cases["11"] = skippedConfiguration }

// skippedConfiguration: a zone is to be emptied, and some seconds later the store comes back from
// a copy that lacks that order. Just after its return the operator takes a key away, and a second
// later writes the order again.
func skippedConfiguration(w *world, trouble bool) ([]string, error) {
	go w.store.expireServers(heartbeat)
	w.store.putJSON("keyed.op", "config", withTenants(7, []string{"hule", "fida"}))
	hosts, err := startSmall(w, "booking-app", 4)
	if err != nil {
		return nil, err
	}
	clients := sendWithKeys(w, hosts, "key-of-hule", "key-of-fida")
	time.Sleep(time.Second)
	copiedAt := time.Now()
	time.Sleep(500 * time.Millisecond)
	w.store.putJSON("keyed.op", "evacuate/bkk-c", map[string]any{})
	time.Sleep(2500 * time.Millisecond)
	var again []order
	if trouble {
		again = w.store.drill(copiedAt, awayFor)
	}
	time.Sleep(300 * time.Millisecond)
	w.store.putJSON("keyed.op", "config", withTenants(8, []string{"fida"}))
	taken := map[string]time.Time{"key-of-hule": time.Now()}
	time.Sleep(700 * time.Millisecond)
	w.store.writeAgain(again)
	time.Sleep(4 * revokeWithin)
	return judgeKeys(w, clients.end(), taken)
}
