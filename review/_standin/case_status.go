package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["status"] = status }

const statusTopic = "topic=keyed.status"

// lateStore passes calls on to the store. It leaves the first write of a status without an
// answer, and carries it out later.
type lateStore struct {
	b       *bench
	target  string
	carryAt time.Duration

	mu   sync.Mutex
	lost bool
}

func (s *lateStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	call := func() (*http.Response, error) {
		req, err := http.NewRequest(r.Method, "http://"+s.target+r.URL.RequestURI(), bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		return http.DefaultTransport.RoundTrip(req)
	}
	if s.b.trouble && strings.Contains(r.URL.RawQuery, statusTopic) && s.loses() {
		s.b.note("store: a write of a status gets no answer: %s", body[5:])
		time.AfterFunc(s.carryAt, func() {
			s.b.note("store: it is carried out")
			if resp, err := call(); err == nil {
				_ = resp.Body.Close()
			}
		})
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.Close()
		}
		return
	}
	resp, err := call()
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

// loses reports whether a write is the first.
func (s *lateStore) loses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !s.lost
	s.lost = true
	return first
}

// status orders a roll-out to a version that fails, and reports whether it is rolled back at
// its deadline for the operator, who reads the status.
func status(b *bench) []string {
	const deadlineS, lateFor = 12, 5 * time.Second
	listener, err := net.Listen("tcp4", b.address(2)+":8225")
	if err != nil {
		fail("store: %v", err)
	}
	defer func() { _ = listener.Close() }()
	server := &http.Server{Handler: &lateStore{b: b, target: b.store.Address(), carryAt: lateFor}}
	go func() { _ = server.Serve(listener) }()
	b.logAddress = listener.Addr().String()
	b.publish(1, []map[string]any{route("book", "booking", "non_idempotent", 1200, 1, false)}, []map[string]any{service("booking", false)})
	for i := range 2 {
		b.startWorker("booking", zones[i], nil, workerOptions{WorkMs: 30})
	}
	b.startHosts(3)
	done := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() * float64(50*time.Millisecond))):
			}
			callers.Go(func() {
				b.call(b.hosts[rand.IntN(len(b.hosts))].at(portCallers), http.MethodPost, "/book/1", "slot 7", nil, 2500*time.Millisecond)
			})
		}
	})
	time.Sleep(3 * time.Second)
	for i := range 2 {
		b.startWorker("booking", zones[i], map[string]any{"version": "v2"}, workerOptions{WorkMs: 30, FailPercent: 60})
	}
	b.store.Put("keyed.op", "rollout/booking", map[string]any{"service": "booking", "target": "v2", "deadlineS": deadlineS})
	b.note("roll-out of v2 is ordered, deadline %d s", deadlineS)
	orderedAt, last := b.now(), ""
	for seen := 0; b.now()-orderedAt < deadlineS*time.Second; time.Sleep(50 * time.Millisecond) {
		for _, r := range b.store.Records("keyed.status")[seen:] {
			seen++
			last = string(r.Value)
			b.note("%s: %s", r.Key, r.Value)
		}
	}
	close(done)
	callers.Wait()
	if strings.Contains(last, "rolled_back") {
		return nil
	}
	return []string{fmt.Sprintf("at the deadline the status of the bad version is %s", last)}
}
