// Package hostlist reads the platform's list of live and leaving hosts.
package hostlist

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/httpjson"
)

// ErrUnavailable says that the list could not be read.
var ErrUnavailable = errors.New("host list unavailable")

// Role says what runs on a host.
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
	// Service and Version say what an upstream host serves.
	Service string `json:"service,omitempty"`
	Version string `json:"version,omitempty"`
	// Leaving marks a host that is about to stop or to be reclaimed.
	Leaving bool `json:"leaving,omitempty"`
}

// List is the host list as of a time in the past.
type List struct {
	AsOf  time.Time `json:"asOf"`
	Hosts []Host    `json:"hosts"`
}

// Source gives the host list.
type Source interface {
	// Hosts returns the newest list. Its error is ErrUnavailable.
	Hosts(ctx context.Context) (List, error)
}

// Client reads the host list over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ Source = (*Client)(nil)

// NewClient returns a client of the host list at a base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// Hosts implements Source.
func (c *Client) Hosts(ctx context.Context) (List, error) {
	var list List
	if err := httpjson.Call(ctx, c.http, http.MethodGet, c.base+"/v1/hosts", nil, &list); err != nil {
		return List{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return list, nil
}
