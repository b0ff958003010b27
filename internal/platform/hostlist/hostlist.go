// Package hostlist reads the platform's list of live and leaving hosts.
package hostlist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/httpjson"
)

// ErrUnavailable is returned when the list cannot be read.
var ErrUnavailable = errors.New("host list unavailable")

// Role is what runs on a host.
type Role string

// The roles of a host.
const (
	// RoleEntry marks an entry host of this system.
	RoleEntry Role = "entry"
	// RoleUpstream marks a host that runs an upstream.
	RoleUpstream Role = "upstream"
)

// Host is one entry of the list.
type Host struct {
	ID      string             `json:"id"`
	Role    Role               `json:"role"`
	Address string             `json:"address"`
	Zone    string             `json:"availabilityZone"`
	Class   document.HostClass `json:"class"`
	// Service and Version name what an upstream host serves.
	Service string `json:"service,omitempty"`
	Version string `json:"version,omitempty"`
	// Leaving is set for a host that is about to stop or to be reclaimed.
	Leaving bool `json:"leaving,omitempty"`
}

// List is the host list as of a wall-clock time in the past.
type List struct {
	AsOf  time.Time `json:"asOf"`
	Hosts []Host    `json:"hosts"`
}

// Source provides the host list.
type Source interface {
	// Hosts returns the newest list. Its error is ErrUnavailable.
	Hosts(ctx context.Context) (List, error)
}

// Client reads the host list over HTTP. It sends conditional requests, so that an
// unchanged list is not transferred again.
type Client struct {
	base string
	http *http.Client

	mu   sync.Mutex
	etag string
	last List
}

var _ Source = (*Client)(nil)

// NewClient returns a client of the host list at a base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// Hosts implements Source.
func (c *Client) Hosts(ctx context.Context) (List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/hosts", nil)
	if err != nil {
		return List{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	resp, err := httpjson.Send(c.http, req)
	if httpjson.Status(err) == http.StatusNotModified {
		return c.last, nil
	}
	if err != nil {
		return List{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	var list List
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return List{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	c.etag, c.last = resp.Header.Get("ETag"), list
	return list, nil
}
