package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["mid-event"] = midEvent }

// midEvent lets one of two workers be faulty: it stops in the middle of an event, and ends its
// answer there as HTTP wants it, with the last chunk or at the length that it stated.
func midEvent(f *fleet, trouble bool) {
	const stopAfter = 12
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		f.addHost(zone)
	}
	faulty := &worker{id: "i-0", zone: "zone-a"}
	sound := &worker{id: "i-1", zone: "zone-a"}
	whole := streamChunked(faulty.id, streamEvents, 5*time.Millisecond)
	faulty.handle = func(conn net.Conn, r *http.Request, body []byte) bool {
		if !trouble {
			return whole(conn, r, body)
		}
		var text string
		for n := 1; n <= stopAfter; n++ {
			text += event(n)
		}
		text += event(stopAfter + 1)[:30]
		lines := fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n", len(text))
		if r.Header.Get("X-Kind") == "chunks" {
			lines, text = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", chunk(text)+"0\r\n\r\n"
		}
		_, err := io.WriteString(conn, head(r, faulty.id, lines)+text)
		return err == nil
	}
	sound.handle = func(conn net.Conn, r *http.Request, _ []byte) bool {
		first := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
		if _, err := io.WriteString(conn, head(r, sound.id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")); err != nil {
			return false
		}
		for n := first + 1; n <= streamEvents; n++ {
			if _, err := io.WriteString(conn, chunk(event(n))); err != nil {
				return false
			}
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
	for _, w := range []*worker{faulty, sound} {
		w.ran = func(w *worker, r *http.Request, _ time.Time) {
			f.record.event("worker %s runs %s, to go on after %q", w.id, r.Header.Get("X-Attempt-Id"), r.Header.Get("Last-Event-Id"))
		}
		w.serve("127.0.0.1:0")
		f.store.put("keyed.servers", w.id, w.report("svc", time.Now().UnixMilli()))
	}
	f.store.put("keyed.op", "config", document(3, []map[string]any{
		route("draft", "streaming", 1, false, 15000, true), route("chat", "streaming", 2, true, 12000, true),
	}, []map[string]any{plainService()}, nil))
	for _, h := range f.hosts {
		h.start()
	}
	f.awaitReady()
	number := 0
	for _, path := range []string{"/draft/x", "/chat/x"} {
		for _, kind := range []string{"chunks", "length"} {
			for range 8 {
				h := f.hosts[number%len(f.hosts)]
				number++
				id := fmt.Sprintf("c%07d", number)
				a := f.newClient(h, "", uint64(number)).send(h.front, id, path, map[string]string{"X-Kind": kind}, "prompt", 12*time.Second)
				f.record.event("request %s to %s%s, answer signed %q: %s", id, h.name, path, a.header.Get("X-Response-Signature"), describe(a))
				got, rest := events(a.body)
				if a.err == nil && a.status == 200 && (got < streamEvents || rest != "") {
					f.record.breach("ORDER: stream %s (%s, %s) ended as complete after %d of %d events and %q", id, path, kind, got, streamEvents, rest)
				}
			}
		}
	}
}
