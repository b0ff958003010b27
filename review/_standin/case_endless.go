package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["endless"] = endless }

// memoryMB is the limit of a process; the platform kills one that exceeds it.
const memoryMB = 284

// residentMB returns the memory of the host's process, 0 if it does not run.
func (h *host) residentMB() int {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb >> 10
		}
	}
	return 0
}

// watch kills the host's process when it exceeds its memory, and starts it again, as the
// platform does. It returns the number of kills when done is closed.
func (h *host) watch(done chan struct{}) int {
	kills, most := 0, 0
	for {
		select {
		case <-done:
			h.b.note("host %s took %d MB at most", h.name, most)
			return kills
		case <-time.After(5 * time.Millisecond):
		}
		now := h.residentMB()
		most = max(most, now)
		if now > memoryMB {
			kills++
			h.b.note("host %s takes %d MB of %d: the platform kills it", h.name, now, memoryMB)
			<-h.signal(syscall.SIGKILL)
			time.Sleep(500 * time.Millisecond)
			h.run()
		}
	}
}

// endless lets one worker answer streams with text without end, and reports the bookings at
// other workers that are lost with the host's process.
func endless(b *bench) []string {
	const playFor = 60 * time.Second
	b.publish(1, []map[string]any{
		route("draft", "advice", "streaming", 15000, 1, false), route("book", "booking", "non_idempotent", 1200, 1, false),
	}, []map[string]any{service("advice", true), service("booking", false)})
	o := workerOptions{Events: 20, GapMs: 100}
	for i := range 2 {
		b.startWorker("advice", zones[i], nil, o)
		b.startWorker("booking", zones[i], nil, workerOptions{WorkMs: 400})
	}
	b.startHosts(2)
	done, over := make(chan struct{}), make(chan struct{})
	var watched, callers sync.WaitGroup
	kills := make([]int, len(b.hosts))
	var mu sync.Mutex
	var bookings []answer
	// Each caller keeps its connection.
	each := func(pause time.Duration, send func(transport *http.Transport)) {
		callers.Go(func() {
			transport := newTransport()
			defer transport.CloseIdleConnections()
			for {
				select {
				case <-over:
					return
				case <-time.After(pause):
				}
				send(transport)
			}
		})
	}
	for i, h := range b.hosts {
		watched.Go(func() { kills[i] = h.watch(done) })
		for range 6 {
			each(200*time.Millisecond, func(transport *http.Transport) {
				a := b.callOn(transport, h.at(portCallers), http.MethodPost, "/book/1", "slot 7", nil, 2500*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				bookings = append(bookings, a)
			})
		}
		for j := range 3 {
			prompt := map[string]string{"X-Model": "m", "X-Token-Usage": "1460,120", "X-Prompt-Prefix": fmt.Sprintf("%08x:800,%08x:250", 0x5c1e0000+0x1111*(3*i+j), 0x9100+3*i+j)}
			each(300*time.Millisecond, func(transport *http.Transport) {
				b.callOn(transport, h.at(portCallers), http.MethodPost, "/draft/1", "draft", prompt, 15*time.Second)
			})
		}
	}
	time.Sleep(5 * time.Second)
	if b.trouble {
		// A worker in trouble answers all that reaches it with text without end.
		bad := o
		bad.EndlessOn, bad.MBPerS, bad.LinesPerGap = "draft", 20, 600
		b.startWorker("advice", zones[2], nil, bad)
	}
	time.Sleep(playFor)
	close(over)
	callers.Wait()
	close(done)
	watched.Wait()
	lost, answered, total := 0, 0, 0
	for _, a := range bookings {
		switch {
		case a.err == nil && a.status == http.StatusOK:
			answered++
		case a.err != nil && a.status == 0 && len(b.did(a.attempt)) > 0:
			lost++
			b.note("booking %s was passed on to a sound worker and its connection ended without an answer: %v", a.attempt, a.err)
		}
	}
	for _, n := range kills {
		total += n
	}
	b.note("processes exceeded their memory %d times; %d bookings answered, %d lost", total, answered, lost)
	if lost <= 3 {
		return nil
	}
	return []string{fmt.Sprintf("%d bookings were passed on to sound workers and their connections ended without an answer; the hosts' processes exceeded their memory %d times", lost, total)}
}
