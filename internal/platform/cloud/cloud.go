// Package cloud is a client of the platform's API for starting and stopping hosts.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/httpjson"
)

// The errors of the cloud API.
var (
	// ErrRefused is returned when the platform has no such host available now.
	ErrRefused = errors.New("start refused")
	// ErrUnavailable is returned for any other failed call. The call may have
	// taken effect and has to be retried with the same ID.
	ErrUnavailable = errors.New("cloud API unavailable")
)

// StartRequest is the request for a host that runs an upstream.
type StartRequest struct {
	// ID makes the start idempotent; it becomes the host's ID.
	ID      string             `json:"id"`
	Service string             `json:"service"`
	Version string             `json:"version"`
	Zone    string             `json:"availabilityZone"`
	Class   document.HostClass `json:"class"`
}

// Notice announces that a host is about to be reclaimed.
type Notice struct {
	HostID string `json:"host"`
	// Deadline is the wall-clock time at which the host is reclaimed.
	Deadline time.Time `json:"deadline"`
}

// API starts and stops hosts.
type API interface {
	// Start requests a host. Its errors are ErrRefused and ErrUnavailable.
	Start(ctx context.Context, req StartRequest) error
	// Stop releases a host; stopping an unknown host succeeds. Its error is
	// ErrUnavailable.
	Stop(ctx context.Context, hostID string) error
	// Notices returns the current reclaim notices. Its error is ErrUnavailable.
	Notices(ctx context.Context) ([]Notice, error)
}

// Client calls the cloud API over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ API = (*Client)(nil)

// NewClient returns a client of the cloud API at a base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// Start implements API.
func (c *Client) Start(ctx context.Context, req StartRequest) error {
	err := httpjson.Call(ctx, c.http, http.MethodPost, c.base+"/v1/hosts", req, nil)
	if httpjson.Status(err) == http.StatusConflict {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return unavailable(err)
}

// Stop implements API.
func (c *Client) Stop(ctx context.Context, hostID string) error {
	return unavailable(httpjson.Call(ctx, c.http, http.MethodDelete, c.base+"/v1/hosts/"+url.PathEscape(hostID), nil, nil))
}

// Notices implements API.
func (c *Client) Notices(ctx context.Context) ([]Notice, error) {
	var notices []Notice
	err := httpjson.Call(ctx, c.http, http.MethodGet, c.base+"/v1/notices", nil, &notices)
	return notices, unavailable(err)
}

func unavailable(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}
