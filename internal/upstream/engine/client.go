package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/marigoldmux/marigoldmux/internal/httpjson"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
)

const (
	initialLineBytes = 8 << 10
	// maxLineBytes is the maximum length of one line of a server-sent event.
	maxLineBytes = 64 << 10
)

var dataPrefix = []byte("data: ")

// Client is an Engine that is reached over HTTP and streams tokens as server-sent
// events.
type Client struct {
	base string
	http *http.Client
}

var _ Engine = (*Client)(nil)

// NewClient returns a client of the engine at a base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// Generate implements Engine.
func (c *Client) Generate(ctx context.Context, req GenerateRequest) (Stream, error) {
	data, err := json.Marshal(req)
	if err != nil {
		return nil, &upstream.Failure{Kind: upstream.NotSent, Err: err}
	}
	ctx, cancel := context.WithCancel(ctx)
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/generate", bytes.NewReader(data))
	if err != nil {
		cancel()
		return nil, &upstream.Failure{Kind: upstream.NotSent, Err: err}
	}
	post.Header.Set("Content-Type", "application/json")
	resp, err := httpjson.Send(c.http, post)
	if err != nil {
		cancel()
		return nil, upstream.Classify(err)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, initialLineBytes), maxLineBytes)
	return &clientStream{body: resp.Body, lines: lines, cancel: cancel}, nil
}

type clientStream struct {
	body   io.ReadCloser
	lines  *bufio.Scanner
	cancel context.CancelFunc
}

// Next implements Stream.
func (s *clientStream) Next() (Chunk, error) {
	for s.lines.Scan() {
		data, found := bytes.CutPrefix(s.lines.Bytes(), dataPrefix)
		if !found {
			continue
		}
		var chunk Chunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return Chunk{}, &upstream.Failure{Kind: upstream.Lost, Err: err}
		}
		return chunk, nil
	}
	err := s.lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return Chunk{}, &upstream.Failure{Kind: upstream.Lost, Err: err}
}

// Close implements Stream.
func (s *clientStream) Close() error {
	s.cancel()
	return s.body.Close()
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodDelete, "/v1/generate/"+url.PathEscape(id), nil, nil)
}

// ExportRequest is the HTTP request body of a KV cache export.
type ExportRequest struct {
	ID string `json:"id"`
}

// ExportKV implements Engine.
func (c *Client) ExportKV(ctx context.Context, id string) (KV, error) {
	var kv KV
	err := c.call(ctx, http.MethodPost, "/v1/kv/export", ExportRequest{ID: id}, &kv)
	return kv, err
}

// ImportKV implements Engine.
func (c *Client) ImportKV(ctx context.Context, kv KV) error {
	return c.call(ctx, http.MethodPost, "/v1/kv/import", kv, nil)
}

// Load implements Engine.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	err := c.call(ctx, http.MethodGet, "/v1/load", nil, &load)
	return load, err
}

// CacheEvents implements Engine.
func (c *Client) CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.call(ctx, http.MethodGet, "/v1/cache/events?after="+strconv.FormatInt(after, 10), nil, &events)
	return events, err
}

// Order implements Engine.
func (c *Client) Order(ctx context.Context, order Order) error {
	err := c.call(ctx, http.MethodPost, "/v1/orders", order, nil)
	if httpjson.Status(err) == http.StatusConflict {
		return errors.Join(ErrStaleFence, err)
	}
	return err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	if err := httpjson.Call(ctx, c.http, method, c.base+path, in, out); err != nil {
		return upstream.Classify(err)
	}
	return nil
}
