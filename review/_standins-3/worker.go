package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// workerOptions are the options of a worker process.
type workerOptions struct {
	id, address, service, zone, version, store string
	heartbeat                                  time.Duration
	capacity                                   int
}

// worker is a sound worker as the pages describe it: it serves one request at a time on a
// connection, echoes the ID, signs its answers, and answers 421 to requests that expect
// another instance. It writes what it runs to its standard output.
type worker struct {
	workerOptions
	born int64

	mu       sync.Mutex
	sequence int
}

func runWorker(args []string) {
	w := &worker{born: time.Now().UnixMilli()}
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	flags.StringVar(&w.id, "id", "", "")
	flags.StringVar(&w.address, "address", "", "")
	flags.StringVar(&w.service, "service", "", "")
	flags.StringVar(&w.zone, "zone", "", "")
	flags.StringVar(&w.version, "version", "v1", "")
	flags.StringVar(&w.store, "store", "", "the URL of the store")
	flags.DurationVar(&w.heartbeat, "heartbeat", 1200*time.Millisecond, "")
	flags.IntVar(&w.capacity, "capacity", 128, "")
	_ = flags.Parse(args)
	listener, err := net.Listen("tcp4", w.address)
	if err != nil {
		fmt.Println("cannot listen:", err)
		os.Exit(1)
	}
	go w.report()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go w.serve(conn)
	}
}

// report writes the worker's entry to the store at each heartbeat.
func (w *worker) report() {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		w.sequence++
		entry, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "capacity": w.capacity,
			"state": "ready", "coldRemainingMs": 0, "sequence": w.sequence, "born": w.born,
		})
		resp, err := client.Post(w.store+"/standin/put?topic=keyed.servers&key="+w.id, "application/json", bytes.NewReader(entry))
		if err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(w.heartbeat)
	}
}

func (w *worker) say(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Printf("%d %s %s\n", time.Now().UnixMilli(), w.id, fmt.Sprintf(format, args...))
}

func (w *worker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !w.handle(conn, request) {
			return
		}
	}
}

// handle serves one request and reports whether the connection is kept.
func (w *worker) handle(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Attempt-Id")
	head := func(status string, more ...string) string {
		lines := append([]string{"HTTP/1.1 " + status, "X-Attempt-Id: " + id, "X-Instance-Id: " + w.id}, more...)
		return strings.Join(lines, "\r\n") + "\r\n\r\n"
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		w.say("misdirected %s", id)
		_, err := io.WriteString(conn, head("421 Misdirected Request", "Content-Length: 0"))
		return err == nil
	}
	signature := "X-Response-Signature: " + w.id + "." + id
	w.say("runs %s", id)
	time.Sleep(30 * time.Millisecond)
	body := strings.Repeat("x", 800)
	_, err := io.WriteString(conn, head("200 OK", signature, "Content-Length: "+strconv.Itoa(len(body)))+body)
	w.say("ends %s", id)
	return err == nil
}
