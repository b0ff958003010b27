package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is one request of a client, which is sent once on a connection of its own.
type call struct {
	id, path, key string
	body          string
	deadline      time.Duration
	// tokens is the number of tokens that the request states, 0 if it states none.
	tokens int
	// patience is the longest gap in a stream after which the client leaves it; 0 means
	// that it waits until its deadline.
	patience time.Duration
}

// answer is what the client got.
type answer struct {
	status int
	// whole is set when the answer ended as a complete one in the protocol.
	whole  bool
	header http.Header
	body   string
	err    error
}

// send sends a request to a host and reads its answer.
func (c call) send(host string) answer {
	conn, err := net.DialTimeout("tcp4", host, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	end := time.Now().Add(c.deadline)
	_ = conn.SetDeadline(end)
	lines := []string{
		"POST " + c.path + " HTTP/1.1", "Host: desk.example", "X-Attempt-Id: " + c.id,
		fmt.Sprintf("X-Deadline-Ms: %d", c.deadline.Milliseconds()), fmt.Sprintf("Content-Length: %d", len(c.body)),
	}
	if c.tokens > 0 {
		lines = append(lines, "X-Model: m", fmt.Sprintf("X-Token-Usage: %d,%d", c.tokens-100, 100))
	}
	if c.key != "" {
		lines = append(lines, "X-Credential: "+c.key)
	}
	if _, err := io.WriteString(conn, strings.Join(lines, "\r\n")+"\r\n\r\n"+c.body); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, header: resp.Header}
	var body strings.Builder
	buf := make([]byte, 4<<10)
	for {
		if c.patience > 0 {
			_ = conn.SetDeadline(earlier(end, time.Now().Add(c.patience)))
		}
		n, err := resp.Body.Read(buf)
		body.Write(buf[:n])
		if err != nil {
			a.whole, a.body = err == io.EOF, body.String()
			if err != io.EOF {
				a.err = err
			}
			return a
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
