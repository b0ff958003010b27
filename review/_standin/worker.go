package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// workerOptions describes a worker process; it reads them from its standard input.
type workerOptions struct {
	ID, Address string
	// WorkMs is how long a plain request takes.
	WorkMs int
	// Events is the number of events of a stream, and GapMs the pause between two.
	Events, GapMs int
	// Unframed lets streams come with neither a length nor chunks.
	Unframed bool
	// Slots is the number of plain requests that run at once, Queue that of those that may
	// wait, 0 for no bound; the others are turned away with RetryAfterS, if it is set.
	Slots, Queue, RetryAfterS int
	// FailPercent is the share of plain requests that fail.
	FailPercent int
	// EndlessOn is the text in a body on which the worker answers with text without end, of
	// MBPerS megabytes a second, with an empty line after each LinesPerGap lines.
	EndlessOn           string
	MBPerS, LinesPerGap int
	// CrashOn is the text in a body or a prefix of a prompt that crashes the worker, CrashAfterMs how long
	// after it began to run the request.
	CrashOn      string
	CrashAfterMs int
}

// event is what a worker did with a request.
type event struct {
	At                  time.Duration
	Worker, Attempt, Do string
}

// worker is a worker process as the bench sees it.
type worker struct {
	workerOptions
	service, zone string
	report        map[string]any
	cmd           *exec.Cmd
	ended         chan struct{}
}

// startWorker starts a worker process and writes its report.
func (b *bench) startWorker(service, zone string, more map[string]any, o workerOptions) *worker {
	b.mu.Lock()
	b.addable++
	number := b.addable
	b.mu.Unlock()
	o.ID = fmt.Sprintf("i-%08x", 0x7f3a9100+number)
	o.Address = net.JoinHostPort(b.address(100+number%100), strconv.Itoa(8300+number))
	w := &worker{workerOptions: o, service: service, zone: zone, ended: make(chan struct{})}
	w.report = map[string]any{
		"service": service, "address": o.Address, "zone": zone, "version": "v1", "capacity": 128, "state": "ready",
		"coldRemainingMs": 0, "stage": "both", "models": []any{}, "sequence": 1, "born": time.Now().UnixMilli(),
	}
	for name, value := range more {
		w.report[name] = value
	}
	program, err := os.Executable()
	if err != nil {
		fail("worker: %v", err)
	}
	w.cmd = exec.Command(program, "worker")
	in, err := w.cmd.StdinPipe()
	if err != nil {
		fail("worker: %v", err)
	}
	out, err := w.cmd.StdoutPipe()
	if err != nil {
		fail("worker: %v", err)
	}
	b.spawn(w.cmd)
	if err := json.NewEncoder(in).Encode(o); err != nil {
		fail("worker: %v", err)
	}
	ready := make(chan struct{})
	go b.follow(w, out, ready)
	select {
	case <-ready:
	case <-time.After(5 * time.Second):
		fail("worker %s does not listen", o.ID)
	}
	b.mu.Lock()
	b.workers[o.ID] = w
	b.mu.Unlock()
	b.note("worker %s of %s at %s in %s starts", w.ID, service, w.Address, zone)
	b.putReport(w)
	return w
}

// putReport writes the worker's report to the store.
func (b *bench) putReport(w *worker) {
	report := map[string]any{}
	for name, value := range w.report {
		report[name] = value
	}
	b.store.Put("keyed.servers", w.ID, report)
}

// follow records what a worker says that it does.
func (b *bench) follow(w *worker, out io.Reader, ready chan struct{}) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if lines.Text() == "listens" {
			close(ready)
			continue
		}
		attempt, do, _ := strings.Cut(lines.Text(), " ")
		b.note("worker %s, request %s: %s", w.ID, attempt, do)
		b.mu.Lock()
		b.events[attempt] = append(b.events[attempt], event{b.now(), w.ID, attempt, do})
		b.mu.Unlock()
	}
	_ = w.cmd.Wait()
	b.note("worker %s has ended", w.ID)
	close(w.ended)
}

// did returns what workers did with a request.
func (b *bench) did(attempt string) []event {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]event(nil), b.events[attempt]...)
}

// kill kills the worker's process.
func (b *bench) kill(w *worker) {
	b.note("worker %s is killed", w.ID)
	_ = w.cmd.Process.Kill()
	<-w.ended
}

// runWorker is the worker process.
func runWorker() {
	var o workerOptions
	if err := json.NewDecoder(os.Stdin).Decode(&o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	listener, err := net.Listen("tcp4", o.Address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	s := &server{workerOptions: o}
	if o.Slots > 0 {
		s.places, s.slots = make(chan struct{}, o.Slots+o.Queue), make(chan struct{}, o.Slots)
	}
	s.say("listens")
	for {
		conn, err := listener.Accept()
		if err != nil {
			os.Exit(exitFailed)
		}
		go s.serve(conn)
	}
}

// server serves requests in a worker process.
type server struct {
	workerOptions
	mu sync.Mutex
	// places holds those that run or wait, and slots those that run.
	places, slots chan struct{}
}

func (s *server) say(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

func (s *server) serve(conn net.Conn) {
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
		if !s.handle(conn, r, string(body)) {
			return
		}
	}
}

// handle answers a request and reports whether the connection stays open.
func (s *server) handle(conn net.Conn, r *http.Request, body string) bool {
	attempt := r.Header.Get("X-Attempt-Id")
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.ID {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", attempt, s.ID)
		return err == nil
	}
	if s.Slots > 0 {
		select {
		case s.places <- struct{}{}:
			defer func() { <-s.places }()
		default:
			s.say("%s is turned away", attempt)
			_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nRetry-After: %d\r\nContent-Length: 0\r\n\r\n", attempt, s.RetryAfterS)
			return err == nil
		}
		s.slots <- struct{}{}
		defer func() { <-s.slots }()
	}
	s.say("%s runs", attempt)
	if s.CrashOn != "" && strings.Contains(body+r.Header.Get("X-Prompt-Prefix"), s.CrashOn) {
		time.Sleep(time.Duration(s.CrashAfterMs) * time.Millisecond)
		s.say("%s crashes the worker", attempt)
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {}
	}
	if s.EndlessOn != "" && strings.Contains(body, s.EndlessOn) {
		return s.endless(conn, attempt)
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: 3e1b.%s\r\n", attempt, attempt)
	if s.Events > 0 {
		return s.stream(conn, attempt, head)
	}
	time.Sleep(time.Duration(s.WorkMs) * time.Millisecond)
	answer := "answer to " + attempt
	if rand.IntN(100) < s.FailPercent {
		head = strings.Replace(head, "200 OK", "500 Internal Server Error", 1)
		s.say("%s fails", attempt)
	}
	_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(answer), answer)
	if err != nil {
		s.say("%s cannot be answered: %v", attempt, err)
		return false
	}
	s.say("%s is answered", attempt)
	return true
}

// stream sends a stream of events.
func (s *server) stream(conn net.Conn, attempt, head string) bool {
	head += "Content-Type: text/event-stream\r\n"
	framed := func(piece string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece) }
	if s.Unframed {
		head += "Connection: close\r\n\r\n"
		framed = func(piece string) string { return piece }
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	for i := 1; i <= s.Events; i++ {
		time.Sleep(time.Duration(s.GapMs) * time.Millisecond)
		if _, err := io.WriteString(conn, framed(fmt.Sprintf("id: %d\ndata: piece-%d-of-%d\n\n", i, i, s.Events))); err != nil {
			s.say("%s: the caller left after %d events", attempt, i-1)
			return false
		}
	}
	s.say("%s: all %d events were sent", attempt, s.Events)
	if s.Unframed {
		return false
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// endless answers with text until the caller closes.
func (s *server) endless(conn net.Conn, attempt string) bool {
	line := strings.Repeat("stack trace ", 8) + "\n"
	gap := strings.Repeat(line, s.LinesPerGap) + "\n"
	// It is written in blocks, as by a buffered writer.
	const block = 64 << 10
	text := []byte(strings.Repeat(gap, 2+block/len(gap)))
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: 3e1b.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", attempt, attempt)
	sent, start := 0, time.Now()
	for err == nil {
		var n int
		from := sent % len(gap)
		n, err = conn.Write(text[from : from+block])
		sent += n
		time.Sleep(time.Duration(float64(sent)/float64(s.MBPerS<<20)*float64(time.Second)) - time.Since(start))
	}
	s.say("%s: the caller left after %d MB", attempt, sent>>20)
	return false
}
