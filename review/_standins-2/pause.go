package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["restart-pause"] = restartPause }

// restartPause lets a worker crash and start again under its id. It serves a moment before it writes
// its new entry, and turns requests away for a pause at first.
func restartPause(f *fleet, trouble bool) {
	const (
		pause    = 5 * time.Second
		answerIn = 150 * time.Millisecond
		entryIn  = 800 * time.Millisecond
	)
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		f.addHost(zone)
	}
	type moment struct {
		host string
		at   time.Time
	}
	var mu sync.Mutex
	var arrivals, refusals []moment
	turnsAway := false
	ok := func(conn net.Conn, r *http.Request, w *worker) bool {
		_, err := io.WriteString(conn, head(r, w.id, "Content-Length: 2\r\n")+"ok")
		return err == nil
	}
	first, second := &worker{id: "i-0", zone: "zone-a"}, &worker{id: "i-1", zone: "zone-b"}
	second.handle = func(conn net.Conn, r *http.Request, _ []byte) bool {
		time.Sleep(20 * time.Millisecond)
		return ok(conn, r, second)
	}
	var conns []net.Conn
	first.handle = func(conn net.Conn, r *http.Request, _ []byte) bool {
		id := r.Header.Get("X-Attempt-Id")
		host, _, _ := strings.Cut(id, "-")
		mu.Lock()
		conns = append(conns, conn)
		away := turnsAway
		if away {
			arrivals = append(arrivals, moment{host, time.Now()})
		}
		mu.Unlock()
		if !away {
			time.Sleep(20 * time.Millisecond)
			return ok(conn, r, first)
		}
		time.Sleep(answerIn)
		f.record.event("worker i-0 turns %s away for %v", id, pause)
		mu.Lock()
		refusals = append(refusals, moment{host, time.Now()})
		mu.Unlock()
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nRetry-After: 5\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	first.address = listener.Addr().String()
	serve := func(l net.Listener) {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go first.serveConn(conn)
		}
	}
	go serve(listener)
	second.serve("127.0.0.1:0")
	f.store.put("keyed.servers", "i-0", first.report("svc", time.Now().UnixMilli()))
	f.store.put("keyed.servers", "i-1", second.report("svc", time.Now().UnixMilli()))
	f.store.put("keyed.op", "config", document(3, []map[string]any{route("look", "idempotent", 2, false, 3000, true)}, []map[string]any{plainService()}, nil))
	for _, h := range f.hosts {
		h.start()
	}
	f.awaitReady()
	var pending sync.WaitGroup
	stop := make(chan struct{})
	go func() {
		var clients []*client
		for i, h := range f.hosts {
			clients = append(clients, f.newClient(h, "", uint64(i)))
		}
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(3 * time.Millisecond):
			}
			k := n % len(clients)
			pending.Go(func() {
				clients[k].send(f.hosts[k].front, fmt.Sprintf("h%d-%06d", k, n), "/look/x", nil, "", 3*time.Second)
			})
		}
	}()
	time.Sleep(2 * time.Second)
	if trouble {
		f.record.event("worker i-0 crashes")
		_ = listener.Close()
		mu.Lock()
		for _, conn := range conns {
			_ = conn.Close()
		}
		turnsAway = true
		mu.Unlock()
		time.Sleep(time.Second)
		again, err := net.Listen("tcp4", first.address)
		must(err)
		go serve(again)
		f.record.event("worker i-0 serves again")
		time.Sleep(entryIn)
		f.store.put("keyed.servers", "i-0", first.report("svc", time.Now().UnixMilli()))
		f.record.event("worker i-0 writes its new entry")
	}
	time.Sleep(5 * time.Second)
	close(stop)
	pending.Wait()
	mu.Lock()
	defer mu.Unlock()
	for k := range f.hosts {
		host, late := fmt.Sprint("h", k), 0
		for _, a := range arrivals {
			for _, r := range refusals {
				if a.host == host && r.host == host && a.at.After(r.at.Add(500*time.Millisecond)) && a.at.Before(r.at.Add(pause)) {
					late++
					break
				}
			}
		}
		f.record.event("%s: %d requests between 0.5 s after an answer with a pause and its end, 2 may", host, late)
		if late > 2 {
			f.record.breach("BUDGET: %d requests reached i-0 from %s in the pause that it had asked for", late, host)
		}
	}
}
