package console_test

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/html"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/dev"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/event"
	_ "github.com/marigoldmux/marigoldmux/internal/modules"
)

const testDeadline = 30 * time.Second

func startDev(t *testing.T) *dev.System {
	config, err := deploy.Config("chomkaew")
	require.NoError(t, err)
	system, err := dev.Start(dev.Options{Config: config, Hosts: 3, Events: event.Discard(), Seed: 1})
	require.NoError(t, err)
	t.Cleanup(system.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	defer cancel()
	require.NoError(t, system.AwaitReady(ctx))
	return system
}

// browser loads one page at a time and submits its forms like a browser without
// scripts.
type browser struct {
	t    *testing.T
	base string
	root *html.Node
	text string
	code int
}

func open(t *testing.T, system *dev.System, host int) *browser {
	b := &browser{t: t, base: "http://" + system.Hosts[host].Self().Address}
	b.get("/console")
	return b
}

func (b *browser) get(path string) {
	resp, err := http.Get(b.base + path)
	b.show(resp, err)
}

func (b *browser) show(resp *http.Response, err error) {
	require.NoError(b.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(b.t, err)
	b.root, err = html.Parse(strings.NewReader(string(data)))
	require.NoError(b.t, err)
	b.code, b.text = resp.StatusCode, html.UnescapeString(string(data))
	require.Equal(b.t, http.StatusOK, b.code, b.text)
}

func attr(n *html.Node, name string) (string, bool) {
	for _, a := range n.Attr {
		if a.Key == name {
			return a.Val, true
		}
	}
	return "", false
}

// all returns the elements with a name below a node.
func all(root *html.Node, name string) []*html.Node {
	var found []*html.Node
	for n := range root.Descendants() {
		if n.Type == html.ElementNode && n.Data == name {
			found = append(found, n)
		}
	}
	return found
}

func textOf(root *html.Node) string {
	var out strings.Builder
	for n := range root.Descendants() {
		if n.Type == html.TextNode {
			out.WriteString(n.Data)
		}
	}
	return strings.TrimSpace(out.String())
}

// values returns the form values that a browser submits for a form.
func values(root *html.Node) url.Values {
	sent := url.Values{}
	for _, input := range all(root, "input") {
		name, _ := attr(input, "name")
		value, _ := attr(input, "value")
		kind, _ := attr(input, "type")
		_, checked := attr(input, "checked")
		if kind == "checkbox" && !checked {
			continue
		}
		if kind == "checkbox" {
			value = "on"
		}
		sent.Set(name, strings.ReplaceAll(value, "\n", "\r\n"))
	}
	for _, choice := range all(root, "select") {
		name, _ := attr(choice, "name")
		for _, option := range all(choice, "option") {
			if _, selected := attr(option, "selected"); selected {
				sent.Set(name, textOf(option))
			}
		}
	}
	return sent
}

// click sets the typed values and submits a form with the button of a label.
func (b *browser) click(label string, typed map[string]string) {
	for _, f := range all(b.root, "form") {
		for _, button := range all(f, "button") {
			name, labelled := attr(button, "aria-label")
			if !labelled {
				name = textOf(button)
			}
			if _, hidden := attr(button, "hidden"); hidden || name != label {
				continue
			}
			sent := values(f)
			for name, value := range typed {
				require.Contains(b.t, sent, name, "the form has no such control")
				sent.Set(name, value)
			}
			if key, ok := attr(button, "name"); ok {
				value, _ := attr(button, "value")
				sent.Set(key, value)
			}
			action, _ := attr(f, "action")
			resp, err := http.PostForm(b.base+action, sent)
			b.show(resp, err)
			return
		}
	}
	require.Fail(b.t, "no button "+label, b.text)
}

// input returns the input element with a name.
func (b *browser) input(name string) *html.Node {
	for _, input := range all(b.root, "input") {
		if n, _ := attr(input, "name"); n == name {
			return input
		}
	}
	require.Fail(b.t, "no control "+name)
	return nil
}

// awaitEverywhere reloads the status page until the change is active on all hosts.
func (b *browser) awaitEverywhere() {
	deadline := time.Now().Add(testDeadline)
	for !strings.Contains(b.text, "In force on all 3 hosts") {
		require.True(b.t, time.Now().Before(deadline), b.text)
		time.Sleep(50 * time.Millisecond)
		b.get("/console/status")
	}
}

func TestEditedConfigurationBecomesActive(t *testing.T) {
	system := startDev(t)
	b := open(t, system, 0)
	b.click("Edit advice", nil)

	const objective, deadline = "/services/0/routes/0/objective", "/services/0/routes/0/deadline"
	b.click("Check and show the difference", map[string]string{objective: "1.5", deadline: "soon"})
	for name, typed := range map[string]string{objective: "1.5", deadline: "soon"} {
		input := b.input(name)
		value, _ := attr(input, "value")
		require.Equal(t, typed, value, "the input is lost")
	}
	described, _ := attr(b.input(deadline), "aria-describedby")
	require.Equal(t, deadline+"!", described)
	require.Contains(t, b.text, `want a duration such as "250ms"`)

	b.click("Check and show the difference", map[string]string{deadline: "7s"})
	described, _ = attr(b.input(objective), "aria-describedby")
	require.Equal(t, objective+"!", described)
	require.Contains(t, b.text, "want a share above 0 and below 1")

	b.click("Check and show the difference", map[string]string{objective: "0.98"})
	require.Contains(t, b.text, `+        {"name": "menu", "idempotent": true, "class": "interactive", "deadline": "7s",`)
	require.Equal(t, int64(0), system.Hosts[0].Loop().Snapshot().Offset, "the draft must not be active before the operator submits it")

	b.click("Put in force", nil)
	require.Contains(t, b.text, "Your change was accepted at offset 1.")
	b.awaitEverywhere()
	for _, h := range system.Hosts {
		snapshot := h.Loop().Snapshot()
		require.InDelta(t, 0.98, snapshot.Document.Service("advice").Route("menu").Objective, 1e-9)
		require.Contains(t, snapshot.Text, "// A couple on chat wants quick menu advice.", "comments are lost")
	}
}

func TestAddVersionsAndCustomers(t *testing.T) {
	system := startDev(t)
	b := open(t, system, 0)
	b.click("Edit advice", nil)
	b.click("Add to versions", nil)
	b.click("Check and show the difference", map[string]string{
		"/services/0/versions/0/goal": "0.5",
		"/services/0/versions/1/name": "v2", "/services/0/versions/1/goal": "0.4",
	})
	require.Contains(t, b.text, "goals sum to 0.9, not to 1")
	b.click("Check and show the difference", map[string]string{"/services/0/versions/1/goal": "0.5"})
	b.click("Add to Customers", nil)
	b.click("Check and show the difference", map[string]string{"/customers/5/name": "couples", "/customers/5/share": "2"})
	b.click("Put in force", nil)
	b.awaitEverywhere()
	doc := system.Hosts[2].Loop().Snapshot().Document
	require.NotNil(t, doc.Service("advice").Version("v2"))
	require.NotNil(t, doc.Customer("couples"))
}

func TestZoneOutAndBackIn(t *testing.T) {
	system := startDev(t)
	b := open(t, system, 1)
	b.click("Take out bkk-b", nil)
	b.click("Put in force", nil)
	b.awaitEverywhere()
	require.Equal(t, document.ZoneExcluded, system.Hosts[2].Loop().Snapshot().Document.Zone("bkk-b").State)
	b = open(t, system, 2)
	b.click("Bring back bkk-b", nil)
	b.click("Put in force", nil)
	b.awaitEverywhere()
	require.Equal(t, document.ZoneServing, system.Hosts[0].Loop().Snapshot().Document.Zone("bkk-b").State)
}

// TestConflictingChangesAreMerged has two operators change the same objective, and
// each of them another value. The later one must be shown the change that was
// accepted first, and must be able to apply the own change on top without losing
// either.
func TestConflictingChangesAreMerged(t *testing.T) {
	system := startDev(t)
	first, second := open(t, system, 0), open(t, system, 1)
	const objective = "/services/0/routes/0/objective"
	first.click("Take out bkk-b", nil)
	first.click("Edit advice", nil)
	first.click("Check and show the difference", map[string]string{objective: "0.97"})
	second.click("Edit web-chat", nil)
	second.click("Check and show the difference", map[string]string{"/customers/1/share": "7"})
	second.click("Edit advice", nil)
	second.click("Check and show the difference", map[string]string{objective: "0.96"})

	first.click("Put in force", nil)
	first.awaitEverywhere()
	second.click("Put in force", nil)
	require.Contains(t, second.text, "Another change came first")
	require.Contains(t, second.text, `"state": "out"`, "the change that was accepted first is not shown")
	require.Contains(t, second.text, `"share": 7`, "the input is not shown")
	require.Contains(t, second.text, "/services/advice/routes/menu/objective")
	require.Equal(t, int64(1), system.Hosts[0].Loop().Snapshot().Offset)

	second.click("Apply yours to the configuration in force now", nil)
	second.click("Put in force", nil)
	second.awaitEverywhere()
	doc := system.Hosts[0].Loop().Snapshot().Document
	require.Equal(t, document.ZoneExcluded, doc.Zone("bkk-b").State, "the first operator's change is lost")
	require.InDelta(t, 7, doc.Customers[1].Share, 0)
	require.InDelta(t, 0.96, doc.Service("advice").Route("menu").Objective, 1e-9)
}

func TestDraftSurvivesLogOutage(t *testing.T) {
	system := startDev(t)
	b := open(t, system, 0)
	b.click("Take out bkk-b", nil)
	system.Log.SetDown(true)
	b.click("Put in force", nil)
	require.Contains(t, b.text, "Nothing was put in force")
	require.Contains(t, b.text, "nothing was accepted")
	require.Contains(t, b.text, `+    {"name": "bkk-b", "region": "bangkok", "state": "out"`)
	require.Equal(t, int64(0), system.Hosts[0].Loop().Snapshot().Offset)

	system.Log.SetDown(false)
	b.click("Try again", nil)
	b.awaitEverywhere()
	require.Equal(t, document.ZoneExcluded, system.Hosts[1].Loop().Snapshot().Document.Zone("bkk-b").State)
}

func TestReportPageHasPlots(t *testing.T) {
	system := startDev(t)
	b := open(t, system, 0)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, b.base+"/v1/services/advice/routes/menu",
		strings.NewReader(`{"prompt": "which cake travels well", "maxTokens": 2}`))
	require.NoError(t, err)
	req.Header.Set("X-Customer", "web-chat")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	_ = resp.Body.Close()
	b.get("/console/report")
	require.NotEmpty(t, all(b.root, "svg"))
	require.Contains(t, b.text, "from 3 hosts")
}

func TestCrossOriginRequestsAreRejected(t *testing.T) {
	system := startDev(t)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		"http://"+system.Hosts[0].Self().Address+"/console/put", strings.NewReader("base=0"))
	require.NoError(t, err)
	req.Header.Set("Origin", "https://elsewhere.example")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Equal(t, http.StatusForbidden, resp.StatusCode)
}
