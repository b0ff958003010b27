package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker. It refuses with 421 what is meant for another one.
type worker struct {
	id, address, zone string
	// handle answers a request that the worker runs, and reports whether the connection stays.
	handle func(conn net.Conn, r *http.Request, body []byte) bool
	// ran is called when the worker begins to run a request.
	ran func(w *worker, r *http.Request, at time.Time)
}

// serve serves on an address; port 0 stands for a free one.
func (w *worker) serve(address string) {
	var l net.Listener
	var err error
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if l, err = net.Listen("tcp4", address); err == nil || time.Now().After(end) {
			break
		}
	}
	must(err)
	w.address = l.Addr().String()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go w.serveConn(conn)
		}
	}()
}

func (w *worker) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		if w.ran != nil {
			w.ran(w, r, time.Now())
		}
		if !w.handle(conn, r, body) {
			return
		}
	}
}

// report is the worker's entry in the store.
func (w *worker) report(service string, born int64) map[string]any {
	return map[string]any{
		"service": service, "address": w.address, "zone": w.zone, "version": "v1", "capacity": 128, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "born": born,
	}
}

// head returns the head of a signed answer, with more header lines.
func head(r *http.Request, worker, lines string) string {
	id := r.Header.Get("X-Attempt-Id")
	return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: " + worker + "." + id + "\r\n" + lines + "\r\n"
}

// event returns an event of a stream.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 48)) }

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// streamChunked answers with a stream of events in chunks.
func streamChunked(worker string, events int, pause time.Duration) func(net.Conn, *http.Request, []byte) bool {
	return func(conn net.Conn, r *http.Request, _ []byte) bool {
		if _, err := io.WriteString(conn, head(r, worker, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")); err != nil {
			return false
		}
		for n := 1; n <= events; n++ {
			if _, err := io.WriteString(conn, chunk(event(n))); err != nil {
				return false
			}
			time.Sleep(pause)
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
}

// streamUnframed answers with a stream that has neither a length nor chunks.
func streamUnframed(worker string, events int, pause time.Duration) func(net.Conn, *http.Request, []byte) bool {
	return func(conn net.Conn, r *http.Request, _ []byte) bool {
		if _, err := io.WriteString(conn, head(r, worker, "Content-Type: text/event-stream\r\nConnection: close\r\n")); err != nil {
			return false
		}
		for n := 1; n <= events; n++ {
			if _, err := io.WriteString(conn, event(n)); err != nil {
				return false
			}
			time.Sleep(pause)
		}
		return false
	}
}

// runWorker runs a worker as a process of its own, which tells its address and what it runs.
func runWorker(args []string) {
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	id := flags.String("id", "", "")
	address := flags.String("address", "127.0.0.1:0", "")
	events := flags.Int("events", 40, "")
	pause := flags.Duration("pause", 50*time.Millisecond, "")
	_ = flags.Parse(args)
	var mu sync.Mutex
	say := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf(format+"\n", args...)
	}
	w := &worker{id: *id, handle: streamUnframed(*id, *events, *pause)}
	w.ran = func(_ *worker, r *http.Request, _ time.Time) { say("runs %s", r.Header.Get("X-Attempt-Id")) }
	w.serve(*address)
	say("serves %s", w.address)
	// The process ends when the one that started it has ended.
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// workerProcess is a worker that runs as a process of its own.
type workerProcess struct {
	worker
	cmd   *exec.Cmd
	ended chan struct{}
	stdin io.Closer
}

// startWorker starts a worker process at an address; port 0 stands for a free one.
func (f *fleet) startWorker(id, zone, address string, events int, pause time.Duration) *workerProcess {
	self, err := os.Executable()
	must(err)
	cmd := exec.Command(self, "worker", "-id", id, "-address", address, "-events", fmt.Sprint(events), "-pause", pause.String())
	in, err := cmd.StdinPipe()
	must(err)
	out, err := cmd.StdoutPipe()
	must(err)
	p := &workerProcess{worker: worker{id: id, zone: zone}, cmd: cmd, stdin: in}
	p.ended = f.run(cmd)
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		f.record.unable("worker %s did not start", id)
	}
	p.address = strings.TrimPrefix(lines.Text(), "serves ")
	f.record.event("worker %s starts at %s", id, p.address)
	go func() {
		for lines.Scan() {
			f.record.event("worker %s %s", id, lines.Text())
		}
	}()
	return p
}
