package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/marigoldmux/marigoldmux/internal/burn"
	"github.com/marigoldmux/marigoldmux/internal/document"
)

// maxResponseBytes bounds how much of a response body a client reads.
const maxResponseBytes = 64 << 20

// ErrCall is the root of all errors from calls to the administration API.
var ErrCall = eris.New("administration call failed")

// Client calls the administration API of a host.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client for the host at a base URL. With an empty token, it
// sends no Authorization header.
func NewClient(base, token string, client *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/") + "/admin/v1", token: token, http: client}
}

// Config returns the active configuration of the host.
func (c *Client) Config(ctx context.Context) (Config, error) {
	var config Config
	return config, c.call(ctx, http.MethodGet, "/config", nil, &config)
}

// Put requests a change of the configuration. A change that was not accepted is
// not an error: the response has its status.
func (c *Client) Put(ctx context.Context, change Change) (PutResponse, error) {
	var resp PutResponse
	return resp, c.call(ctx, http.MethodPost, "/config", change, &resp)
}

// SetZone takes an availability zone out of service or back in.
func (c *Client) SetZone(ctx context.Context, zone string, state document.ZoneState) (PutResponse, error) {
	var resp PutResponse
	return resp, c.call(ctx, http.MethodPost, "/zones/"+url.PathEscape(zone), ZoneChange{State: state}, &resp)
}

// Status returns the state of the deployment.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	return status, c.call(ctx, http.MethodGet, "/status", nil, &status)
}

// Rollouts returns the state of the rollouts.
func (c *Client) Rollouts(ctx context.Context) ([]Rollout, error) {
	var list []Rollout
	return list, c.call(ctx, http.MethodGet, "/rollouts", nil, &list)
}

// Report returns the service-level report of all hosts.
func (c *Client) Report(ctx context.Context) (burn.Report, error) {
	var report burn.Report
	return report, c.call(ctx, http.MethodGet, "/report", nil, &report)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return eris.Wrap(ErrCall, err.Error())
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return eris.Wrap(ErrCall, err.Error())
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(ErrCall, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrap(ErrCall, err.Error())
	}
	return decodeResponse(resp.StatusCode, data, out)
}

// decodeResponse decodes a response body into out. A PutResponse is the body with
// any status; other responses that are not a success hold a Problem.
func decodeResponse(status int, data []byte, out any) error {
	resp, isPut := out.(*PutResponse)
	if status/100 == 2 || isPut {
		if err := json.Unmarshal(data, out); err == nil && (!isPut || resp.Status != "") {
			return nil
		}
	}
	var problem Problem
	if json.Unmarshal(data, &problem) != nil || problem.Detail == "" {
		problem.Detail = strings.TrimSpace(string(data[:min(len(data), bodyOverhead)]))
	}
	return eris.Wrap(ErrCall, fmt.Sprintf("status %d: %s", status, problem.Detail))
}
