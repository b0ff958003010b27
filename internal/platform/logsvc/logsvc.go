// Package logsvc is a client of the platform's append-only log service.
package logsvc

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/httpjson"
)

// The errors of the log service.
var (
	// ErrUnavailable is returned when a read failed or an append had no effect.
	ErrUnavailable = errors.New("log service unavailable")
	// ErrOutcomeUnknown is returned when an append failed but may have taken
	// effect.
	ErrOutcomeUnknown = errors.New("outcome of the append unknown")
)

// TruncatedError is returned when the requested records are no longer retained.
type TruncatedError struct {
	// Oldest is the offset of the oldest retained record.
	Oldest int64
}

// Error returns a text with the oldest offset.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("records before offset %d are no longer retained", e.Oldest)
}

// Record is one record of a stream.
type Record struct {
	// Offset is the record's position, which increases along the stream.
	Offset int64 `json:"offset"`
	// Time is the wall-clock time at which the service accepted the record.
	Time time.Time `json:"time"`
	// ID is the appender's unique name for the record. A retried append may
	// leave several records with one ID.
	ID string `json:"id"`
	// Data is the record's content.
	Data []byte `json:"data"`
}

// Page is a run of records in the order of their offsets.
type Page struct {
	Records []Record `json:"records"`
	// Oldest is the offset of the oldest retained record.
	Oldest int64 `json:"oldest"`
	// Next is the offset from which to continue reading.
	Next int64 `json:"next"`
}

// Log is the log service.
type Log interface {
	// Append adds a record and returns its offset. Its errors are
	// ErrUnavailable and ErrOutcomeUnknown.
	Append(ctx context.Context, stream, id string, data []byte) (int64, error)
	// Read returns up to limit records at or after the offset from. If there are
	// none yet, it waits for them for up to wait. Its errors are ErrUnavailable
	// and *TruncatedError.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error)
}

// The streams of the log service.
const (
	// StreamConfig holds the configuration documents that operators activated.
	StreamConfig = "config"
	// StreamRollout holds decisions on rollouts.
	StreamRollout = "rollout"
	// StreamHolds holds the fingerprints of requests that are kept from being
	// dispatched, since they crash upstreams.
	StreamHolds = "holds"
	// StreamClaims is the prefix of the streams of claims and results.
	StreamClaims = "claims"
	// StreamAudit holds the administration API's audit trail.
	StreamAudit = "audit"
	// StreamFleet holds the leases of the fleet's controllers.
	StreamFleet = "fleet"
)

// The wait of a read grows with the number of hosts that read the same stream, so
// that all hosts together send about readsPerSecond reads per second to a stream
// without new records.
const (
	minReadWait    = time.Second
	maxReadWait    = 15 * time.Second
	readsPerSecond = 50
)

// ReadWait returns how long a read should wait for records of a stream that a
// number of hosts read.
func ReadWait(hosts int) time.Duration {
	wait := time.Duration(hosts) * time.Second / readsPerSecond
	return min(max(wait, minReadWait), maxReadWait)
}

// AppendRequest is the body of an append over HTTP.
type AppendRequest struct {
	ID   string `json:"id"`
	Data []byte `json:"data"`
}

// AppendResponse is the response to an append over HTTP.
type AppendResponse struct {
	Offset int64 `json:"offset"`
}

// Client calls a log service over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ Log = (*Client)(nil)

// NewClient returns a client of the log service at a base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

func (c *Client) url(stream string) string {
	return c.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream, id string, data []byte) (int64, error) {
	var resp AppendResponse
	err := httpjson.Call(ctx, c.http, http.MethodPost, c.url(stream), AppendRequest{ID: id, Data: data}, &resp)
	switch {
	case err == nil:
		return resp.Offset, nil
	case httpjson.NeverSent(err), httpjson.Status(err) == http.StatusServiceUnavailable:
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	default:
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error) {
	query := url.Values{
		"from":    {strconv.FormatInt(from, 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var page Page
	err := httpjson.Call(ctx, c.http, http.MethodGet, c.url(stream)+"?"+query.Encode(), nil, &page)
	if err == nil {
		return page, nil
	}
	var status *httpjson.StatusError
	if errors.As(err, &status) && status.Code == http.StatusGone {
		oldest, parseErr := strconv.ParseInt(status.Header.Get("Oldest-Offset"), 10, 64)
		if parseErr == nil {
			return Page{}, &TruncatedError{Oldest: oldest}
		}
	}
	return Page{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
}
