package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["silent-stream"] = silentStream }

// silentStream stops machines in turn while streams of the only worker that takes requests are
// under way there. The worker is silent for a while in the middle of each, and goes on.
func silentStream(f *fleet, trouble bool) {
	const (
		half   = 10
		pause  = 50 * time.Millisecond
		silent = 3400 * time.Millisecond
	)
	// TROUBLE=stop leaves the silence out, and TROUBLE=silence the stops, to tell them apart.
	stops, silence := trouble && os.Getenv("TROUBLE") != "silence", trouble && os.Getenv("TROUBLE") != "stop"
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		f.addHost(zone)
	}
	var mu sync.Mutex
	whole, broken := map[string]time.Time{}, map[string]time.Time{}
	at := func(m map[string]time.Time, id string) (time.Time, bool) {
		mu.Lock()
		defer mu.Unlock()
		t, ok := m[id]
		return t, ok
	}
	busy := &worker{id: "i-0", zone: "zone-a"}
	busy.handle = func(conn net.Conn, r *http.Request, _ []byte) bool {
		id := r.Header.Get("X-Attempt-Id")
		note := func(m map[string]time.Time, text string) {
			f.record.event("worker i-0: %s of %s", text, id)
			mu.Lock()
			defer mu.Unlock()
			m[id] = time.Now()
		}
		first := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
		if _, err := io.WriteString(conn, head(r, busy.id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")); err != nil {
			return false
		}
		gone := make(chan struct{})
		go func() {
			// A worker drops a request when its connection closes.
			if _, err := conn.Read(make([]byte, 1)); err != nil {
				close(gone)
			}
		}()
		for n := first + 1; n <= 2*half; n++ {
			if _, err := io.WriteString(conn, chunk(event(n))); err != nil {
				note(broken, "connection closed in the middle")
				return false
			}
			wait := pause
			if n == half && silence {
				wait = silent
			}
			select {
			case <-time.After(wait):
			case <-gone:
				note(broken, "connection closed in the middle")
				return false
			}
		}
		if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
			note(broken, "connection closed in the middle")
			return false
		}
		note(whole, "end")
		return false
	}
	leaving := &worker{id: "i-1", zone: "zone-b"}
	leaving.handle = streamChunked(leaving.id, 2*half, pause)
	for _, w := range []*worker{busy, leaving} {
		w.ran = func(w *worker, r *http.Request, _ time.Time) {
			f.record.event("worker %s runs %s", w.id, r.Header.Get("X-Attempt-Id"))
		}
		w.serve("127.0.0.1:0")
	}
	f.store.put("keyed.servers", busy.id, busy.report("svc", time.Now().UnixMilli()))
	report := leaving.report("svc", time.Now().UnixMilli())
	report["state"] = "draining"
	f.store.put("keyed.servers", leaving.id, report)
	f.store.put("keyed.op", "config", document(3, []map[string]any{route("chat", "streaming", 2, true, 12000, true)}, []map[string]any{plainService()}, nil))
	for _, h := range f.hosts {
		h.start()
	}
	f.awaitReady()
	// From here on, no machine has been started in the last contactMs.
	time.Sleep(3200 * time.Millisecond)
	for round, h := range f.hosts {
		c := f.newClient(h, "", uint64(round))
		var pending sync.WaitGroup
		var stopAt time.Time
		for i := range 4 {
			id := fmt.Sprintf("s%d%06d", round, i)
			pending.Go(func() {
				a := c.send(h.front, id, "/chat/x", nil, "prompt", 12*time.Second)
				ended := time.Now()
				f.record.event("request %s to %s, answer signed %q: %s", id, h.name, a.header.Get("X-Response-Signature"), describe(a))
				got, _ := events(a.body)
				if a.err == nil && got == 2*half {
					return
				}
				cut, closed := at(broken, id)
				if _, done := at(whole, id); closed && !done && a.status == 200 {
					f.record.breach("LOST: the connection of %s ended without a complete answer %.3f s after it was sent, %.3f s after SIGTERM, with %d of %d events; its worker was at work and saw the close at %.3f s",
						id, ended.Sub(a.sentAt).Seconds(), ended.Sub(stopAt).Seconds(), got, 2*half, cut.Sub(f.record.started).Seconds())
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		stopAt = time.Now()
		if stops {
			h.signal(syscall.SIGTERM)
		}
		pending.Wait()
		if stops {
			<-h.ended
			f.record.event("%s has ended", h.name)
			h.start()
			f.awaitReady()
			time.Sleep(3 * time.Second)
		}
	}
}
