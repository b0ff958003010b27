// Package weightstore is a client of the platform's rate-limited store of model
// weights.
package weightstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/httpjson"
)

// ErrUnavailable is returned when a call to the store fails other than by its rate
// limit.
var ErrUnavailable = errors.New("weight store unavailable")

// RateLimitedError is returned when the store's rate limit is reached.
type RateLimitedError struct {
	// RetryAfter is how long to wait before a retry.
	RetryAfter time.Duration
}

// Error returns a text with the time to wait.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("weight store limited, retry after %v", e.RetryAfter)
}

// Reservation is a request to reserve one download of weights for an upstream
// host.
type Reservation struct {
	HostID string `json:"host"`
	// Artifact names the model or adapter and its version.
	Artifact string `json:"artifact"`
}

// Store grants downloads of weights.
type Store interface {
	// Reserve reserves one download. Its errors are *RateLimitedError and ErrUnavailable.
	Reserve(ctx context.Context, r Reservation) error
}

// Client calls the weight store over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the weight store at a base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// Reserve implements Store.
func (c *Client) Reserve(ctx context.Context, r Reservation) error {
	err := httpjson.Call(ctx, c.http, http.MethodPost, c.base+"/v1/loads", r, nil)
	var status *httpjson.StatusError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &status) && status.Code == http.StatusTooManyRequests:
		seconds, _ := strconv.ParseFloat(status.Header.Get("Retry-After"), 64)
		return &RateLimitedError{RetryAfter: time.Duration(seconds * float64(time.Second))}
	default:
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
}
