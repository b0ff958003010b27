package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
)

// usageReport is a usage report that the platform accepted.
type usageReport struct {
	holder string
	token  int64
	counts map[string]int64
}

// cloud is a stand-in of the platform's API for duties. It checks fencing tokens.
type cloud struct {
	w       *world
	address string

	mu sync.Mutex
	// highest is the highest token seen by duty and subject, and holders the names of those
	// that sent a token, by duty, subject and token.
	highest map[string]int64
	holders map[string][]string
	// reports holds the accepted reports by window.
	reports map[int64][]usageReport
	// breaches are the breaches of ONE that it has seen.
	breaches []string
}

func newCloud(w *world) (*cloud, error) {
	c := &cloud{w: w, highest: map[string]int64{}, holders: map[string][]string{}, reports: map[int64][]usageReport{}}
	listener, err := net.Listen("tcp4", "127.30.0.2:0")
	if err != nil {
		return nil, err
	}
	c.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, c) }()
	return c, nil
}

func (c *cloud) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	token, err := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	holder := r.Header.Get("X-Duty-Holder")
	var body struct {
		WindowID int64            `json:"windowId"`
		Counts   map[string]int64 `json:"counts"`
		Service  string           `json:"service"`
		Zone     string           `json:"zone"`
	}
	if decodeErr := json.NewDecoder(r.Body).Decode(&body); err != nil || decodeErr != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	subject := r.URL.Path + " " + body.Service + " " + body.Zone
	if token < c.highest[subject] {
		c.w.note("cloud: %s by %s with token %d is refused, %d was seen", r.URL.Path, holder, token, c.highest[subject])
		rw.WriteHeader(http.StatusConflict)
		return
	}
	c.highest[subject] = token
	c.addHolder(subject, token, holder)
	if r.URL.Path == "/usage" {
		c.addReport(body.WindowID, usageReport{holder: holder, token: token, counts: body.Counts})
	}
}

func (c *cloud) addHolder(subject string, token int64, holder string) {
	key := fmt.Sprintf("%s token %d", subject, token)
	for _, other := range c.holders[key] {
		if other == holder {
			return
		}
	}
	c.holders[key] = append(c.holders[key], holder)
	c.w.note("cloud: %s acts on %s", holder, key)
	if holders := c.holders[key]; len(holders) > 1 {
		c.breaches = append(c.breaches, fmt.Sprintf("ONE: %v send the same fencing token: %s", holders, key))
	}
}

func (c *cloud) addReport(window int64, report usageReport) {
	before := c.reports[window]
	c.reports[window] = append(before, report)
	c.w.note("cloud: usage of window %d by %s with token %d: %v", window, report.holder, report.token, report.counts)
	for _, other := range before {
		if fmt.Sprint(other.counts) != fmt.Sprint(report.counts) {
			c.breaches = append(c.breaches, fmt.Sprintf("ONE: window %d is reported with %v by %s and with %v by %s",
				window, other.counts, other.holder, report.counts, report.holder))
			return
		}
	}
}

// broken returns the breaches so far.
func (c *cloud) broken() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.breaches...)
}
