package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stop }

// Planned work of the case: the host of a deployment with one machine is stopped with
// SIGTERM, and started again when it has ended.
const (
	stopRunFor = 100 * time.Second
	stopGap    = 9700 * time.Millisecond
	// One caller books at a steady pace, as at night. It keeps its connection.
	bookEvery = 1250 * time.Millisecond
	bookingMs = 500
)

// stop stops the host several times while a caller books, and reports the bookings that
// reached a worker from the stopping host and whose connection ended without an answer.
func stop(b *bench) []string {
	b.publish(1, []map[string]any{route("book", "booking", "non_idempotent", 1200, 1, false)}, []map[string]any{service("booking", false)})
	for i := range 2 {
		b.startWorker("booking", zones[i], nil, workerOptions{WorkMs: bookingMs})
	}
	b.startHosts(1)
	var mu sync.Mutex
	var answers []answer
	done := make(chan struct{})
	var callers sync.WaitGroup
	c := &caller{b: b, zone: zones[0], keep: 1, transport: newTransport()}
	callers.Go(func() {
		defer c.transport.CloseIdleConnections()
		ticker := time.NewTicker(bookEvery)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			a := c.call(http.MethodPost, "/book/1", "slot 7", 2500*time.Millisecond)
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		}
	})
	terms := map[string][]time.Duration{}
	for turn := 0; b.now() < stopRunFor; turn++ {
		time.Sleep(stopGap)
		if !b.trouble {
			continue
		}
		h := b.hosts[turn%len(b.hosts)]
		if !h.running() {
			continue
		}
		terms[h.at(portCallers)] = append(terms[h.at(portCallers)], b.now())
		ended := h.signal(syscall.SIGTERM)
		go func() {
			<-ended
			time.Sleep(300 * time.Millisecond)
			h.run()
		}()
	}
	close(done)
	callers.Wait()
	var breaks []string
	complete, refused := 0, 0
	for _, a := range answers {
		switch {
		case a.err == nil && a.status == http.StatusOK:
			complete++
		case a.err == nil || a.unread:
			refused++
		case len(b.did(a.attempt)) > 0:
			for _, at := range terms[a.host] {
				// From 3 s after SIGTERM, when no excuse is left, until 1 s after the grace period of 8 s.
				if a.sentAt > at+3*time.Second && a.at < at+9*time.Second {
					breaks = append(breaks, fmt.Sprintf("request %s, sent %.3f s after SIGTERM to %s, was passed on to a worker and its connection ended %.3f s after SIGTERM without an answer: %v",
						a.attempt, (a.sentAt-at).Seconds(), a.host, (a.at-at).Seconds(), a.err))
				}
			}
		}
	}
	b.note("%d answered, %d refused or not connected, %d stops", complete, refused, func() (n int) {
		for _, t := range terms {
			n += len(t)
		}
		return n
	}())
	return breaks
}
