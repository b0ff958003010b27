package main

import "time"

func init() { cases["11"] = skippedConfiguration }

// judgedFor is the time for which a round of case 11 looks at a key that was taken away.
const judgedFor = revokeWithin + 4*time.Second

// drilled is the deployment of case 11 with the operator's part in it.
type drilled struct {
	w       *world
	trouble bool
	taken   map[string]time.Time
}

// skippedConfiguration: twice, the operator writes orders, and some seconds later the store comes
// back from a copy that lacks them. The orders are written again, and a key is taken away. In the
// first round the newest record of each key is written again, before the key is taken away; in the
// second all that is gone, shortly after it.
func skippedConfiguration(w *world, trouble bool) ([]string, error) {
	go w.store.expireServers(heartbeat)
	w.store.putJSON("keyed.op", "config", withTenants(7, []string{"hule", "wuno", "fida"}))
	hosts, err := startSmall(w, "booking-app", 4)
	if err != nil {
		return nil, err
	}
	clients := sendWithKeys(w, hosts, "key-of-hule", "key-of-wuno", "key-of-fida")
	d := &drilled{w: w, trouble: trouble, taken: map[string]time.Time{}}
	time.Sleep(time.Second)

	w.note("first round")
	again := d.drillBehind(func() {
		w.store.putJSON("keyed.op", "config", withTenants(8, []string{"hule", "wuno", "fida"}))
		w.store.putJSON("keyed.op", "config", withTenants(9, []string{"hule", "wuno", "fida"}))
	})
	if len(again) > 0 {
		w.store.writeAgain(again[len(again)-1:])
	}
	time.Sleep(300 * time.Millisecond)
	d.takeAway("key-of-hule", withTenants(10, []string{"wuno", "fida"}))
	time.Sleep(judgedFor)

	w.note("second round")
	w.store.putJSON("keyed.op", "config", withTenants(11, []string{"wuno", "fida"}))
	time.Sleep(time.Second)
	again = d.drillBehind(func() { w.store.putJSON("keyed.op", "evacuate/bkk-c", map[string]any{}) })
	time.Sleep(300 * time.Millisecond)
	d.takeAway("key-of-wuno", withTenants(12, []string{"fida"}))
	time.Sleep(700 * time.Millisecond)
	w.store.writeAgain(again)
	time.Sleep(judgedFor)
	return judgeKeys(w, clients.end(), d.taken)
}

// drillBehind writes orders and has the store come back, 2.5 s later, from a copy of just before.
// It returns the operator's records that are gone.
func (d *drilled) drillBehind(write func()) []order {
	copiedAt := time.Now()
	time.Sleep(500 * time.Millisecond)
	write()
	time.Sleep(2500 * time.Millisecond)
	if !d.trouble {
		return nil
	}
	return d.w.store.drill(copiedAt, awayFor)
}

// takeAway writes a configuration that lacks a key.
func (d *drilled) takeAway(key string, doc map[string]any) {
	d.w.store.putJSON("keyed.op", "config", doc)
	d.taken[key] = time.Now()
}
