package dev_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/dev"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/entry"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/platform/cloud"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
	"github.com/marigoldmux/marigoldmux/internal/standin"
)

const (
	interfacesPage = "../../docs/INTERFACES.md"
	anyText        = "…"
	requestID      = "{id}"
)

// example is a request and its expected response on the page interfacesPage.
type example struct {
	server   string
	request  string
	response string
	line     int
}

var blockPattern = regexp.MustCompile("(?s)```request (\\w+)\n(.*?)```\n\n```response\n(.*?)```")

func examples(t *testing.T) []example {
	page, err := os.ReadFile(interfacesPage)
	require.NoError(t, err)
	var found []example
	for _, at := range blockPattern.FindAllSubmatchIndex(page, -1) {
		found = append(found, example{
			server:   string(page[at[2]:at[3]]),
			request:  string(page[at[4]:at[5]]),
			response: string(page[at[6]:at[7]]),
			line:     1 + strings.Count(string(page[:at[0]]), "\n"),
		})
	}
	require.Equal(t, strings.Count(string(page), "```request"), len(found), "a block is not well formed")
	return found
}

// TestInterfaces sends each example request of interfacesPage and compares the response.
func TestInterfaces(t *testing.T) {
	servers := startServers(t)
	id := ""
	for _, e := range examples(t) {
		t.Run("line "+strconv.Itoa(e.line), func(t *testing.T) {
			resp := send(t, servers[e.server], strings.ReplaceAll(e.request, requestID, id))
			defer func() { _ = resp.Body.Close() }()
			if accepted := resp.Header.Get(entry.HeaderRequestID); e.server == "entry" && accepted != "" {
				id = accepted
			}
			compare(t, strings.ReplaceAll(e.response, requestID, id), resp)
		})
	}
}

func startServers(t *testing.T) map[string]string {
	config, err := deploy.Config("chomkaew")
	require.NoError(t, err)
	system, err := dev.Start(dev.Options{Config: config, Hosts: 3, Events: event.Discard(), Instant: true})
	require.NoError(t, err)
	t.Cleanup(system.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	require.NoError(t, system.AwaitReady(ctx))

	hosts := standin.NewHosts(0)
	hosts.Put(hostlist.Host{
		ID: "h1", Role: hostlist.RoleUpstream, Address: "127.0.0.1:7001", Zone: "bkk-a",
		Class: document.Reclaimable, Service: "advice", Version: "v1",
	})
	api := standin.NewCloud(nil, nil)
	api.Notify(cloud.Notice{HostID: "h2", Deadline: time.Unix(1796000000, 0)})
	weights := standin.NewWeights(time.Hour)
	e := standin.NewEngine(standin.EngineOptions{Version: "v1", Slots: 4, ColdSlots: 4, ChecksFencing: true})
	return map[string]string{
		"entry":    "http://" + system.Hosts[0].Self().Address,
		"platform": serve(t, standin.PlatformHandler(standin.NewLog(1), hosts, api, weights)),
		"engine":   serve(t, standin.EngineHandler(e)),
		"plain":    serve(t, standin.PlainHandler(standin.NewPlain("p1", standin.NewPlainStore(), 0, 1))),
	}
}

func serve(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

// send sends a request given as a request line, headers, a blank line and a body.
func send(t *testing.T, base, text string) *http.Response {
	head, body, _ := strings.Cut(text, "\n\n")
	lines := strings.Split(strings.TrimSpace(head), "\n")
	method, path, found := strings.Cut(lines[0], " ")
	require.True(t, found, "no request line")
	req, err := http.NewRequestWithContext(t.Context(), method, base+path, strings.NewReader(strings.TrimSpace(body)))
	require.NoError(t, err)
	req.Header.Set("Content-Type", "application/json")
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	return resp
}

func compare(t *testing.T, want string, resp *http.Response) {
	head, wantBody, _ := strings.Cut(want, "\n\n")
	lines := strings.Split(strings.TrimSpace(head), "\n")
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, lines[0], strconv.Itoa(resp.StatusCode), string(body))
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		require.Regexp(t, pattern(value), resp.Header.Get(name), name)
	}
	require.Regexp(t, pattern(strings.TrimSpace(wantBody)), strings.TrimSpace(string(body)))
}

// pattern converts a text of the page into a regular expression that matches a
// whole text.
func pattern(text string) string {
	return `(?s)^` + strings.ReplaceAll(regexp.QuoteMeta(text), anyText, ".*") + `$`
}
