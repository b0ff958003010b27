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
	"strings"
	"sync"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	status int
	header http.Header
	body   []byte
	// err is set if the answer did not end as one in the protocol does.
	err    error
	sentAt time.Time
}

// client sends requests to hosts that the directory names.
type client struct {
	fleet  *fleet
	near   *host
	http   *http.Client
	key    string
	mu     sync.Mutex
	known  []string
	until  time.Time
	random *rand.Rand
}

func (f *fleet) newClient(near *host, key string, seed uint64) *client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &client{
		fleet: f, near: near, key: key, random: rand.New(rand.NewPCG(seed, 2)),
		http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 8}},
	}
}

// resolve asks the directory for hosts, the nearest node first, and returns one of them.
func (c *client) resolve() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) && len(c.known) > 0 {
		return c.known[c.random.IntN(len(c.known))]
	}
	start := 0
	for i, h := range c.fleet.hosts {
		if h == c.near {
			start = i
		}
	}
	for k := range min(3, len(c.fleet.hosts)) {
		h := c.fleet.hosts[(start+k)%len(c.fleet.hosts)]
		asker := http.Client{Timeout: time.Second}
		resp, err := asker.Get("http://" + h.directory + "/resolve?name=svc.example&region=region&zone=" + c.near.zone)
		if err != nil {
			continue
		}
		var body struct {
			Addresses []string `json:"addresses"`
			TTLS      float64  `json:"ttlS"`
		}
		err = json.NewDecoder(resp.Body).Decode(&body)
		_ = resp.Body.Close()
		if err == nil && len(body.Addresses) > 0 {
			c.known, c.until = body.Addresses, time.Now().Add(time.Duration(min(body.TTLS, 5)*float64(time.Second)))
			break
		}
	}
	if len(c.known) == 0 {
		return ""
	}
	return c.known[c.random.IntN(len(c.known))]
}

// send sends a request to a host and reads its answer to the end.
func (c *client) send(address, id, path string, header map[string]string, body string, deadline time.Duration) answer {
	a := answer{sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader([]byte(body)))
	must(err)
	req.Host = "svc.example"
	// A client does not send a request again by itself.
	req.GetBody = nil
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if c.key != "" {
		req.Header.Set("X-Credential", c.key)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.header = resp.StatusCode, resp.Header
	a.body, a.err = io.ReadAll(resp.Body)
	return a
}

// events returns the number of whole events in a body, and what follows the last one.
func events(body []byte) (int, string) {
	end := bytes.LastIndex(body, []byte("\n\n"))
	if end < 0 {
		return 0, string(body)
	}
	return strings.Count(string(body[:end+2]), "\n\n"), string(body[end+2:])
}

func describe(a answer) string {
	whole, rest := events(a.body)
	text := fmt.Sprintf("status %d, %d whole events", a.status, whole)
	if rest != "" {
		text += fmt.Sprintf(" and %q", rest)
	}
	switch {
	case errors.Is(a.err, context.DeadlineExceeded):
		text += ", no end before the deadline"
	case a.err != nil:
		text += ", broken off: " + a.err.Error()
	default:
		text += ", ended as complete"
	}
	return text
}

// document is a configuration with one service.
func document(version int, routes []map[string]any, services []map[string]any, tenants []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func route(name, kind string, attempts int, resume bool, timeoutMs int, public bool) map[string]any {
	return map[string]any{
		"name": name, "hostname": "svc.example", "pathPrefix": "/" + name + "/", "routeType": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 800,
		"priority": 1, "service": "svc", "maxAttempts": attempts, "public": public, "streamResume": resume,
		"sessionAffinity": kind == "streaming", "gapAimMs": 500,
	}
}

func plainService() map[string]any {
	return map[string]any{"name": "svc", "healthPath": "/health", "maxConnections": 630}
}
