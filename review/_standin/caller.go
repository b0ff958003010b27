package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

var attempts atomic.Int64

// answer is what a caller saw of one attempt.
type answer struct {
	attempt, host string
	sentAt, at    time.Duration
	status        int
	body          string
	// size is the length of the whole body.
	size int64
	// close is set when the answer says that the connection ends.
	close bool
	// err is the error of a request that got no complete answer; unread is set if it
	// never reached a host.
	err    error
	unread bool
}

// maxKept bounds what is kept of a body.
const maxKept = 64 << 10

// newTransport returns the connections of one caller.
func newTransport() *http.Transport {
	return &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 1,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
}

// call sends a request to a host on a new connection.
func (b *bench) call(address, method, path, body string, header map[string]string, timeout time.Duration) answer {
	transport := newTransport()
	defer transport.CloseIdleConnections()
	return b.callOn(transport, address, method, path, body, header, timeout)
}

// callOn sends a request to a host on a connection of a caller.
func (b *bench) callOn(transport *http.Transport, address, method, path, body string, header map[string]string, timeout time.Duration) (a answer) {
	a = answer{attempt: fmt.Sprintf("%016x", 0x1c41d07be2a30000+attempts.Add(1)), host: address, sentAt: b.now()}
	defer func() {
		a.at = b.now()
		if a.err != nil {
			b.note("caller, request %s: status %d, %d bytes, then %s", a.attempt, a.status, a.size, a.err)
		} else {
			b.note("caller, request %s: status %d, %d bytes, complete", a.attempt, a.status, a.size)
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		fail("request: %v", err)
	}
	req.Host = hostName
	req.Header.Set("X-Attempt-Id", a.attempt)
	req.Header.Set("X-Credential", key)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	b.note("caller, request %s: %s %s sent to %s", a.attempt, method, path, address)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.err, a.unread = err, errors.Is(err, syscall.ECONNREFUSED)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	// The rest of a longer body is read and not kept.
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxKept))
	rest := int64(0)
	if err == nil {
		rest, err = io.Copy(io.Discard, resp.Body)
	}
	a.status, a.body, a.size, a.close, a.err = resp.StatusCode, string(data), int64(len(data))+rest, resp.Close, err
	return a
}

// caller asks the directory where to connect and keeps the answer, as the pages say.
type caller struct {
	b    *bench
	zone string
	// keep is how long it keeps an answer, as a multiple of its time to live.
	keep      float64
	addresses []string
	until     time.Time
	// failed holds the addresses that failed since the last answer.
	failed map[string]bool
	// current is the address of the open connection, "" if there is none.
	current   string
	transport *http.Transport
}

// call sends a request on the open connection, or on a new one.
func (c *caller) call(method, path, body string, timeout time.Duration) answer {
	address := c.address()
	if address == "" {
		return answer{err: errNoAddress, unread: true}
	}
	if address != c.current {
		c.transport.CloseIdleConnections()
	}
	a := c.b.callOn(c.transport, address, method, path, body, nil, timeout)
	c.current = address
	if a.err != nil {
		c.failed[address] = true
	}
	if a.err != nil || a.close {
		c.current = ""
	}
	return a
}

var errNoAddress = errors.New("the directory names no address")

// address returns the address for the next request, "" if there is none.
func (c *caller) address() string {
	if time.Now().After(c.until) {
		c.resolve()
	}
	var left []string
	for _, address := range c.addresses {
		if !c.failed[address] {
			left = append(left, address)
		}
	}
	if len(left) == 0 {
		// All have failed it; it begins anew.
		left, c.failed = c.addresses, map[string]bool{}
	}
	if len(left) == 0 {
		return ""
	}
	if slices.Contains(left, c.current) {
		return c.current
	}
	return left[rand.IntN(len(left))]
}

// resolve asks up to three directories, nearest first.
func (c *caller) resolve() {
	hosts := append([]*host(nil), c.b.hosts...)
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	var order []*host
	for _, near := range []bool{true, false} {
		for _, h := range hosts {
			if (h.zone == c.zone) == near {
				order = append(order, h)
			}
		}
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, h := range order[:min(3, len(order))] {
		query := url.Values{"name": {hostName}, "region": {"bkk"}, "zone": {c.zone}}
		resp, err := client.Get("http://" + h.at(portDirectory) + "/resolve?" + query.Encode())
		if err != nil {
			continue
		}
		var found struct {
			Addresses []string `json:"addresses"`
			TTLS      float64  `json:"ttlS"`
		}
		err = json.NewDecoder(resp.Body).Decode(&found)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK || len(found.Addresses) == 0 {
			continue
		}
		c.addresses, c.failed = found.Addresses, map[string]bool{}
		c.until = time.Now().Add(time.Duration(min(found.TTLS, 5) * c.keep * float64(time.Second)))
		return
	}
}

// eventsIn returns the number of events of a stream that a caller has.
func eventsIn(body string) int { return strings.Count(body, "data: piece-") }
