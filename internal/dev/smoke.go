package dev

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/entry"
	"github.com/marigoldmux/marigoldmux/internal/standin"
)

// ErrSmoke is the root of errors that name the failed step of the smoke test.
var ErrSmoke = eris.New("smoke test failed")

const (
	smokePrompt    = "my gauge reads high on the suction side of a cold room what do I check first"
	smokeTokens    = 24
	smokeLongTotal = 120
)

// Smoke sends one request of each kind through real sockets, prints one line for
// each step and returns an error at the first wrong response.
func (s *System) Smoke(ctx context.Context, out io.Writer) error {
	steps := []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"which hosts to use", s.smokeHosts},
		{"streamed question", s.smokeStream},
		{"long batch request", s.smokeBatch},
		{"call that must run once, and its repeat", s.smokeOnce},
		{"status look-up", s.smokeLookup},
	}
	for _, step := range steps {
		detail, err := step.run(ctx)
		if err != nil {
			_, _ = fmt.Fprintf(out, "FAIL %s: %v\n", step.name, err)
			return eris.Wrap(ErrSmoke, step.name)
		}
		_, _ = fmt.Fprintf(out, "ok   %s: %s\n", step.name, detail)
	}
	return nil
}

func smokeErrorf(format string, args ...any) error { return eris.Wrapf(ErrSmoke, format, args...) }

// findRoute returns the first service and route that satisfy a condition.
func (s *System) findRoute(match func(*document.Service, *document.Route) bool) (service, route string, err error) {
	for i := range s.document.Services {
		for j := range s.document.Services[i].Routes {
			if match(&s.document.Services[i], &s.document.Services[i].Routes[j]) {
				return s.document.Services[i].Name, s.document.Services[i].Routes[j].Name, nil
			}
		}
	}
	return "", "", smokeErrorf("the configuration has no such route")
}

func (s *System) post(ctx context.Context, index int, service, route string, body any, header map[string]string) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	address := s.Hosts[index%len(s.Hosts)].Self().Address
	url := "http://" + address + "/v1/services/" + service + "/routes/" + route
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set(entry.HeaderCustomer, s.document.Customers[0].Name)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	return http.DefaultClient.Do(req)
}

func readBody(resp *http.Response) ([]byte, error) {
	defer func() { _ = resp.Body.Close() }()
	return io.ReadAll(resp.Body)
}

func (s *System) smokeHosts(ctx context.Context) (string, error) {
	url := "http://" + s.Hosts[0].Self().Address + "/v1/hosts"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	body, err := readBody(resp)
	if err != nil {
		return "", err
	}
	var answer entry.HostsResponse
	if err := json.Unmarshal(body, &answer); err != nil {
		return "", err
	}
	zones := map[string]bool{}
	for _, host := range answer.Hosts {
		zones[host.Zone] = true
	}
	if len(answer.Hosts) < min(len(s.Hosts), 2) || len(zones) < min(len(s.Hosts), 2) {
		return "", smokeErrorf("hosts %v", answer.Hosts)
	}
	return fmt.Sprintf("%d hosts in %d zones", len(answer.Hosts), len(zones)), nil
}

func (s *System) smokeStream(ctx context.Context) (string, error) {
	service, route, err := s.findRoute(func(svc *document.Service, r *document.Route) bool {
		return svc.Kind == document.KindEngine && r.Class == document.ClassInteractive
	})
	if err != nil {
		return "", err
	}
	body := entry.EngineBody{Prompt: smokePrompt, MaxTokens: smokeTokens}
	resp, err := s.post(ctx, 0, service, route, body, map[string]string{"Accept": "text/event-stream"})
	if err != nil {
		return "", err
	}
	tokens, err := ReadTokens(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return "", err
	}
	want := strings.Join(standin.Answer(smokePrompt, smokeTokens), " ")
	if got := strings.Join(tokens, " "); got != want {
		return "", smokeErrorf("got %q, want %q", got, want)
	}
	return fmt.Sprintf("%d tokens, whole and in order", len(tokens)), nil
}

// ReadTokens reads a stream of server-sent events up to its "done" event and
// returns the tokens. A gap in the offsets, an error event or an early end is an
// error.
func ReadTokens(r io.Reader) ([]string, error) {
	var tokens []string
	name := ""
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "event: "); ok {
			name = text
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case name == "done":
			return tokens, nil
		case name == "token":
			var token entry.TokenEvent
			if err := json.Unmarshal([]byte(data), &token); err != nil {
				return nil, err
			}
			if token.Offset != len(tokens) {
				return nil, smokeErrorf("token %d after %d tokens", token.Offset, len(tokens))
			}
			tokens = append(tokens, token.Token)
		default:
			return nil, smokeErrorf("event %q: %s", name, data)
		}
	}
	return nil, smokeErrorf("the stream ended after %d tokens", len(tokens))
}

func (s *System) smokeBatch(ctx context.Context) (string, error) {
	service, route, err := s.findRoute(func(svc *document.Service, r *document.Route) bool {
		return svc.Kind == document.KindEngine && r.Class == document.ClassBatch
	})
	if err != nil {
		return "", err
	}
	body := entry.EngineBody{Prompt: smokePrompt, MaxTokens: smokeLongTotal}
	resp, err := s.post(ctx, 1, service, route, body, map[string]string{"Prefer": "respond-async"})
	if err != nil {
		return "", err
	}
	if _, err := readBody(resp); err != nil {
		return "", err
	}
	// Fetch the result from a different host than the one that accepted the request.
	url := "http://" + s.Hosts[len(s.Hosts)-1].Self().Address + resp.Header.Get("Location")
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	if resp, err = http.DefaultClient.Do(req); err != nil {
		return "", err
	}
	data, err := readBody(resp)
	if err != nil {
		return "", err
	}
	var answer entry.CompleteResponse
	if err := json.Unmarshal(data, &answer); err != nil {
		return "", err
	}
	if answer.Text != strings.Join(standin.Answer(smokePrompt, smokeLongTotal), " ") {
		return "", smokeErrorf("status %d: %s", resp.StatusCode, data)
	}
	return fmt.Sprintf("%d tokens, collected at another host", answer.Tokens), nil
}

func (s *System) smokeOnce(ctx context.Context) (string, error) {
	service, route, err := s.findRoute(func(_ *document.Service, r *document.Route) bool { return !r.Idempotent })
	if err != nil {
		return "", err
	}
	before := len(s.Store.Runs())
	body := map[string]string{"name": "Ana", "day": "Friday"}
	header := map[string]string{entry.HeaderIdempotencyKey: fmt.Sprintf("%d.smoke", time.Now().Unix())}
	var answers [2]string
	for i := range answers {
		resp, err := s.post(ctx, i, service, route, body, header)
		if err != nil {
			return "", err
		}
		data, err := readBody(resp)
		if err != nil {
			return "", err
		}
		if resp.StatusCode != http.StatusOK {
			return "", smokeErrorf("status %d: %s", resp.StatusCode, data)
		}
		answers[i] = string(data)
	}
	if runs := len(s.Store.Runs()) - before; runs != 1 {
		return "", smokeErrorf("it ran %d times", runs)
	}
	if answers[0] != answers[1] {
		return "", smokeErrorf("first %s, then %s", answers[0], answers[1])
	}
	return "ran once, the repeat at another host got the same answer", nil
}

func (s *System) smokeLookup(ctx context.Context) (string, error) {
	service, route, err := s.findRoute(func(svc *document.Service, r *document.Route) bool {
		return svc.Kind == document.KindPlain && r.Idempotent
	})
	if err != nil {
		return "", err
	}
	resp, err := s.post(ctx, 2, service, route, map[string]int{"number": 1}, nil)
	if err != nil {
		return "", err
	}
	data, err := readBody(resp)
	if err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK || !bytes.Contains(data, []byte(`"number":1`)) {
		return "", smokeErrorf("status %d: %s", resp.StatusCode, data)
	}
	return "answered", nil
}
