package forward

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/gateway/advisory"
	"github.com/marigoldmux/marigoldmux/internal/gateway/brittle"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/cold"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/explain"
	"github.com/marigoldmux/marigoldmux/internal/gateway/inflight"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
	"github.com/marigoldmux/marigoldmux/internal/gateway/observation"
	"github.com/marigoldmux/marigoldmux/internal/gateway/poison"
	"github.com/marigoldmux/marigoldmux/internal/gateway/promptcache"
	"github.com/marigoldmux/marigoldmux/internal/gateway/quota"
	"github.com/marigoldmux/marigoldmux/internal/gateway/retry"
	"github.com/marigoldmux/marigoldmux/internal/gateway/usage"
)

// fixedState is a snapshot and the rollout shares that do not change.
type fixedState struct {
	snapshot *control.Snapshot
	share    float64
}

func (s *fixedState) Snapshot() *control.Snapshot { return s.snapshot }
func (s *fixedState) Share(_, _ string) float64   { return s.share }
func (s *fixedState) member(id string) *catalog.Member {
	for _, list := range s.snapshot.View.Members {
		for _, m := range list {
			if m.ID == id {
				return m
			}
		}
	}
	return nil
}

const secretKey = "key-of-web-chat"

// newFixture returns a handler with 12 engines of a service "chat", 6 of "protected", which
// limits requests to cold ones, and 5 plain upstreams of each of two services.
func newFixture(t *testing.T) (*Handler, *fixedState) {
	t.Helper()
	now := boottime.Now()
	engine := &catalog.Engine{Slots: 8, MemoryTokens: 100_000}
	view := &catalog.View{ConfirmedAt: now + time.Minute, ListedAt: now, Members: map[string][]*catalog.Member{}, ExcludedZones: map[string]bool{}, Rollouts: map[string]catalog.Rollout{}}
	view.Document = &catalog.Document{
		Version: 7,
		Services: []catalog.Service{
			{Name: "chat", Engine: engine}, {Name: "protected", Engine: engine, ColdRate: 1}, {Name: "look"}, {Name: "look-too"},
		},
		Routes: []catalog.Route{
			{Name: "chat", HostName: "api", PathPrefix: "/chat", Affinity: true, Kind: catalog.Stream, Target: time.Second, Backends: []catalog.Backend{{Service: "chat", Weight: 1}}},
			{Name: "protected", HostName: "api", PathPrefix: "/protected", Affinity: true, Backends: []catalog.Backend{{Service: "protected", Weight: 1}}},
			{Name: "look", HostName: "api", PathPrefix: "/look", Public: true, Backends: []catalog.Backend{{Service: "look", Weight: 3}, {Service: "look-too", Weight: 1}}},
		},
		Customers: []catalog.Customer{{Name: "web-chat", Keys: []string{secretKey}, Rate: 1_000_000, Burst: 1_000_000, InTokens: true}},
	}
	view.Index()
	for service, count := range map[string]int{"chat": 12, "protected": 6, "look": 5, "look-too": 5} {
		for i := range count {
			m := &catalog.Member{Upstream: catalog.Upstream{ID: fmt.Sprintf("%s-%02d", service, i), Service: service, Zone: "a", Version: "v1", Slots: 8}}
			view.Members[service] = append(view.Members[service], m)
		}
	}
	state := &fixedState{snapshot: &control.Snapshot{View: view, SenderNames: []string{"host-1"}, SenderCount: 1, RemoteLoads: map[uint32]members.LoadSum{}}}
	h := New(Deps{
		Snapshots: state, VersionShares: state, InFlight: inflight.NewTracker(func(string) int { return 0 }),
		Quota: quota.NewLimiter(quota.Tolerance{}), Cold: cold.NewLimiter("host-1", now-time.Minute),
		Retry: retry.NewBudget(retry.Limit{Window: time.Second}), Poison: poison.NewTable(), Advisories: advisory.NewTable(), Brittle: brittle.NewLimiter("host-a"),
		Observed: observation.NewRecorder("127.0.0.1:1"), Usage: usage.NewCounter(time.Second), Stats: &Stats{},
		Host: "host-1", Zone: "a", RevokeWithin: 5 * time.Second,
	})
	processes := map[uint32]int64{}
	for _, m := range view.Members["chat"] {
		processes[inflight.Hash(m.ID)] = m.Born
	}
	h.Observed.SetEngines(processes)
	return h, state
}

// requestOf returns a request as ServeHTTP has it before the first attempt.
func requestOf(h *Handler, q *explain.Query) *proxyRequest {
	now := boottime.Now()
	view := h.Snapshots.Snapshot().View
	p := &proxyRequest{h: h, call: hypotheticalCall(q, now), attempted: map[string]bool{}}
	for i := range view.Document.Routes {
		if view.Document.Routes[i].Name == q.Route {
			p.route = &view.Document.Routes[i]
		}
	}
	p.deadline = now + p.timeout()
	p.service = pickService(p.route)
	return p
}

// probabilities returns the probability of each upstream according to an answer.
func probabilities(a *explain.Answer) map[string]float64 {
	sums := map[string]float64{}
	for _, c := range a.Cases {
		for _, choice := range c.Choices {
			sums[choice.ID] += c.Share * choice.Share
		}
	}
	return sums
}

func find(t *testing.T, c *explain.Case, id string) *explain.Upstream {
	t.Helper()
	i := slices.IndexFunc(c.Upstreams, func(u explain.Upstream) bool { return u.ID == id })
	require.GreaterOrEqual(t, i, 0, "upstream %s", id)
	return &c.Upstreams[i]
}

var chatQuery = explain.Query{
	Route: "chat", Customer: "web-chat", Model: "m", OutputTokens: 200,
	Parts: []explain.Part{{ID: "system", Tokens: 2000}, {ID: "session", Tokens: 3000}, {ID: "last", Tokens: 500}},
}

// shortQuery and longQuery have prompts of the other kinds.
var (
	shortQuery = explain.Query{Route: "chat", Model: "m", OutputTokens: 200, Parts: []explain.Part{{ID: "system", Tokens: 1000}, {ID: "last", Tokens: 200}}}
	longQuery  = explain.Query{Route: "chat", Model: "m", OutputTokens: 200, Parts: []explain.Part{{ID: "book", Tokens: 80_000}, {ID: "last", Tokens: 500}}}
)

// disturb makes upstreams of chat differ in all that a choice depends on.
func disturb(h *Handler, state *fixedState) {
	now := boottime.Now()
	view := state.snapshot.View
	state.member("chat-00").Draining = true
	state.member("chat-01").Zone, view.ExcludedZones["out"] = "out", true
	h.Advisories.Leave(advisory.InstanceOf(state.member("chat-02")), now)
	h.Advisories.Pause(state.member("chat-03"), time.Minute, now, time.Now())
	h.InFlight.MarkSuspect("chat-04", now+time.Minute)
	state.member("chat-05").Zone = "b"
	h.InFlight.RecordFailure("chat-06", now)
	h.InFlight.RecordLatency("chat-06", 50*time.Millisecond, now)
	h.Observed.Speeds.Record(inflight.Hash("chat-07"), 1.7, now)
	h.Observed.Speeds.Record(inflight.Hash("chat-08"), 0.7, now)
	state.snapshot.RemoteLoads[inflight.Hash("chat-09")] = members.LoadSum{Requests: 9, Tokens: 4000}
	prompt := hypotheticalCall(&chatQuery, now).Prompt
	h.Observed.Prompts.Record(inflight.Hash("chat-09"), promptcache.Prefixes(prompt), 5500)
	h.InFlight.Begin("chat-10", "chat", 3000, now+time.Hour)
}

// TestExplainedChoiceIsTheOneOfRequests guards against an explanation that differs from what
// requests get: each upstream is chosen as often as the answer says.
func TestExplainedChoiceIsTheOneOfRequests(t *testing.T) {
	const draws = 20_000
	tests := map[string]struct {
		query  explain.Query
		change func(*Handler, *fixedState)
	}{
		"idle engines":    {chatQuery, func(*Handler, *fixedState) {}},
		"differ":          {chatQuery, disturb},
		"short prompt":    {shortQuery, disturb},
		"long prompt":     {longQuery, disturb},
		"no shared parts": {explain.Query{Route: "chat", Parts: []explain.Part{{ID: "x", Tokens: 100}}}, disturb},
		"without prompt":  {explain.Query{Route: "chat"}, disturb},
		"plain services":  {explain.Query{Route: "look"}, func(h *Handler, _ *fixedState) { h.InFlight.Begin("look-01", "look", 0, boottime.Now()) }},
		"rollout": {explain.Query{Route: "look"}, func(_ *Handler, s *fixedState) {
			s.snapshot.View.Rollouts["look"], s.share = catalog.Rollout{Service: "look", Target: "v2"}, 0.25
			s.member("look-03").Version, s.member("look-04").Version = "v2", "v2"
		}},
		"rollout without upstreams of the target": {explain.Query{Route: "look"}, func(_ *Handler, s *fixedState) {
			s.snapshot.View.Rollouts["look"], s.share = catalog.Rollout{Service: "look", Target: "v2"}, 0.25
		}},
		"all suspect": {chatQuery, func(h *Handler, s *fixedState) {
			for _, m := range s.snapshot.View.Members["chat"] {
				h.InFlight.MarkSuspect(m.ID, boottime.Now()+time.Minute)
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, state := newFixture(t)
			test.change(h, state)
			answer, err := h.Explain(&test.query)
			require.NoError(t, err)
			require.Empty(t, answer.Refusal)
			expected := probabilities(answer)
			counts := map[string]int{}
			for range draws {
				m, reason := requestOf(h, &test.query).chooseUpstream()
				require.NotNil(t, m, reason)
				counts[m.ID]++
			}
			for id := range counts {
				require.Contains(t, expected, id)
			}
			total := 0.0
			for id, share := range expected {
				total += share
				require.InDelta(t, share, float64(counts[id])/draws, 0.02, "share of %s", id)
			}
			require.InDelta(t, 1, total, 1e-9)
		})
	}
}

func TestExplainSaysWhatRulesOutUpstreams(t *testing.T) {
	h, state := newFixture(t)
	disturb(h, state)
	answer, err := h.Explain(&chatQuery)
	require.NoError(t, err)
	require.Len(t, answer.Cases, 1)
	c := &answer.Cases[0]
	require.Len(t, c.Upstreams, 12)
	for id, rule := range map[string]string{
		"chat-00": "draining", "chat-01": "zone excluded", "chat-02": "leaves", "chat-03": "pauses", "chat-04": "suspect", "chat-05": "",
	} {
		require.Equal(t, rule, find(t, c, id).RuledOut, id)
	}
	require.Positive(t, find(t, c, "chat-03").PausedForMs)
	require.Positive(t, find(t, c, "chat-05").Costs.ZoneMs)
	require.Positive(t, find(t, c, "chat-06").Costs.FailuresMs)
	require.Positive(t, find(t, c, "chat-06").Costs.LatencyMs)
	require.Equal(t, 1.0, find(t, c, "chat-08").Slowdown, "the fastest engine")
	require.InDelta(t, 1.7/0.7, find(t, c, "chat-07").Slowdown, 1e-9)
	holder := find(t, c, "chat-09")
	require.Equal(t, 5000, holder.HeldTokens)
	require.Zero(t, holder.Costs.RereadMs)
	require.Positive(t, holder.Costs.QueueMs)
	require.Equal(t, 9, holder.Requests)
	require.Equal(t, 3000, find(t, c, "chat-10").Tokens)
	for _, u := range c.Upstreams {
		if u.State == nil {
			continue
		}
		k := u.Costs
		sum := k.ExpectedWaitMs + k.ExpectedReadMs + k.RereadMs + k.MissMs + k.MisplacedMs + k.OutputMs + k.RequestsMs + k.QueueMs + k.LatencyMs + k.FailuresMs + k.ZoneMs
		require.InDelta(t, u.CostMs, sum, 0.01, "the parts are the whole cost of %s", u.ID)
	}
}

// TestExplainShowsTheCostsOfEachKindOfPrompt guards against costs of one kind of prompts that
// are shown for another.
func TestExplainShowsTheCostsOfEachKindOfPrompt(t *testing.T) {
	for kind, query := range map[string]explain.Query{"short": shortQuery, "medium": chatQuery, "long": longQuery} {
		h, state := newFixture(t)
		disturb(h, state)
		answer, err := h.Explain(&query)
		require.NoError(t, err)
		c := &answer.Cases[0]
		require.Equal(t, kind, c.PromptKind)
		forLong, misses := 0, 0
		for _, u := range c.Upstreams {
			if u.State == nil {
				continue
			}
			if u.ForLongPrompts {
				forLong++
			}
			if u.Costs.MissMs > 0 {
				misses++
			}
			require.Equal(t, u.ForLongPrompts != (kind == "long"), u.Costs.MisplacedMs > 0, "%s: %s", kind, u.ID)
			require.Equal(t, kind != "short", u.Costs.ExpectedReadMs > 0, "%s: %s", kind, u.ID)
		}
		require.Positive(t, forLong)
		require.Equal(t, kind == "short", misses > 0)
	}
}

// TestRefusalByForecastKeepsWhatWasExpected guards against a refusal whose log line does not
// have the forecast, and against a decision that changes the request before it is made.
func TestRefusalByForecastKeepsWhatWasExpected(t *testing.T) {
	h, state := newFixture(t)
	disturb(h, state)
	query := explain.Query{Route: "chat", Parts: []explain.Part{{ID: "x", Tokens: 1_000_000}}, DeadlineMs: 500}
	p, now := requestOf(h, &query), boottime.Now()
	service := state.snapshot.View.Service("chat")
	prompt, engines := p.enginePrompt(service), p.engines(state.snapshot, service, state.snapshot.View.Members["chat"], now)
	before := dump(reflect.ValueOf(p.placed))
	choice := p.decideEngine(prompt, engines, now, 0)
	require.NotEmpty(t, choice.refusal)
	require.Equal(t, before, dump(reflect.ValueOf(p.placed)))
	member, reason := p.chooseUpstream()
	require.Nil(t, member)
	require.NotEmpty(t, reason)
	require.True(t, p.placed.byExpectedWait)
	require.Positive(t, p.placed.refusedFor)
	require.Positive(t, p.placed.forecast.Read)
	require.Positive(t, p.placed.slowdown)
	require.EqualValues(t, 1, h.Stats.ForecastRefusals.Load())
}

func TestExplainColdUpstreams(t *testing.T) {
	h, state := newFixture(t)
	query := &explain.Query{Route: "protected", Parts: chatQuery.Parts}
	for _, m := range state.snapshot.View.Members["protected"] {
		m.ColdUntil = boottime.Now() + time.Minute
	}
	answer, err := h.Explain(query)
	require.NoError(t, err)
	require.Len(t, answer.Cases[0].Choices, 1)
	chosen, _ := requestOf(h, query).chooseUpstream()
	require.Equal(t, answer.Cases[0].Choices[0].ID, chosen.ID)
	answer, err = h.Explain(query)
	require.NoError(t, err)
	require.Equal(t, "cold", find(t, &answer.Cases[0], chosen.ID).RuledOut, "it got the request that it may get")
	require.NotEqual(t, chosen.ID, answer.Cases[0].Choices[0].ID)
	for range 5 {
		_, reason := requestOf(h, query).chooseUpstream()
		require.Empty(t, reason)
	}
	answer, err = h.Explain(query)
	require.NoError(t, err)
	_, reason := requestOf(h, query).chooseUpstream()
	require.Equal(t, "all upstreams are cold", reason)
	require.Equal(t, reason, answer.Cases[0].Refusal)
	require.Empty(t, answer.Cases[0].Choices)
}

func TestExplainRefusals(t *testing.T) {
	tests := map[string]struct {
		query  explain.Query
		change func(*Handler, *fixedState)
		prefix string
	}{
		"forecast": {explain.Query{Route: "chat", Parts: []explain.Part{{ID: "x", Tokens: 1_000_000}}, DeadlineMs: 500}, disturb, "no engine can begin in time: first event in "},
		"pauses": {chatQuery, func(h *Handler, s *fixedState) {
			for _, m := range s.snapshot.View.Members["chat"] {
				h.Advisories.Pause(m, time.Minute, boottime.Now(), time.Now())
			}
		}, "all upstreams pause"},
		"none": {chatQuery, func(_ *Handler, s *fixedState) { s.snapshot.View.Members["chat"] = nil }, "no upstream"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, state := newFixture(t)
			test.change(h, state)
			answer, err := h.Explain(&test.query)
			require.NoError(t, err)
			member, reason := requestOf(h, &test.query).chooseUpstream()
			require.Nil(t, member)
			require.True(t, strings.HasPrefix(reason, test.prefix), reason)
			require.Equal(t, reason, answer.Cases[0].Refusal)
			require.Empty(t, answer.Cases[0].Choices)
		})
	}
}

func TestExplainRefusalsBeforeTheChoice(t *testing.T) {
	h, state := newFixture(t)
	customer := &state.snapshot.View.Document.Customers[0]
	for {
		answer, err := h.Explain(&chatQuery)
		require.NoError(t, err)
		allowed, _ := h.Quota.Take(customer, 5700, boottime.Now())
		require.Equal(t, allowed, answer.Quota.Allowed, "the quota is as the next request finds it")
		if !allowed {
			require.Equal(t, quotaReason(customer, 5700), answer.Refusal)
			require.Positive(t, answer.Quota.RetryAfterMs)
			break
		}
		require.Empty(t, answer.Refusal)
	}
	state.snapshot.View.ConfirmedAt = boottime.Now() - 5*time.Second
	answer, err := h.Explain(&chatQuery)
	require.NoError(t, err)
	require.Equal(t, "keys unproven", answer.Refusal)
	h.Stop(StopDeadlines{})
	answer, err = h.Explain(&explain.Query{Host: "api:443", Path: "/look/1"})
	require.NoError(t, err)
	require.Equal(t, "host stops", answer.Refusal)
}

func TestExplainErrors(t *testing.T) {
	h, state := newFixture(t)
	for text, query := range map[string]explain.Query{
		`no route "none"`:                               {Route: "none"},
		`no customer "none"`:                            {Route: "chat", Customer: "none"},
		`no route has the host name "web"`:              {Host: "web", Path: "/chat"},
		`no route of host name "api" has the path "/x"`: {Host: "api", Path: "/x"},
	} {
		_, err := h.Explain(&query)
		require.ErrorIs(t, err, explain.ErrUnknown)
		require.ErrorContains(t, err, text)
	}
	for _, query := range []explain.Query{
		{}, {Route: "chat", Host: "api"}, {Route: "chat", OutputTokens: -1}, {Route: "chat", DeadlineMs: -1},
		{Route: "chat", Parts: []explain.Part{{ID: "x", Tokens: -1}}}, {Route: "chat", Parts: make([]explain.Part, 1000)},
	} {
		_, err := h.Explain(&query)
		require.ErrorIs(t, err, explain.ErrInvalid)
	}
	state.snapshot = &control.Snapshot{View: &catalog.View{}}
	_, err := h.Explain(&chatQuery)
	require.ErrorIs(t, err, explain.ErrNoConfiguration)
}

// TestExplainChangesNoState guards against an explanation that takes quota, requests to cold
// upstreams or counters from requests, or ages what is known of upstreams.
func TestExplainChangesNoState(t *testing.T) {
	h, state := newFixture(t)
	disturb(h, state)
	for _, m := range state.snapshot.View.Members["protected"] {
		m.ColdUntil = boottime.Now() + time.Minute
	}
	_, reason := requestOf(h, &explain.Query{Route: "protected"}).chooseUpstream()
	require.Empty(t, reason)
	customer := &state.snapshot.View.Document.Customers[0]
	h.Quota.SetGraduated(true)
	// The bucket is full after a while, and then partly used.
	h.Quota.Take(customer, 100, boottime.Now()-10*time.Second)
	h.Quota.Take(customer, 700_000, boottime.Now())
	before := dump(reflect.ValueOf(h))
	require.Contains(t, before, "chat-06")
	answer, err := h.Explain(&chatQuery)
	require.NoError(t, err)
	require.Positive(t, answer.Quota.Chance)
	require.Less(t, answer.Quota.Chance, 1.0, "admission is by chance, so that a draw would show")
	for _, query := range []explain.Query{
		chatQuery, shortQuery, longQuery, {Route: "protected", Customer: "web-chat", Parts: chatQuery.Parts}, {Route: "look"}, {Route: "none"},
		{Route: "chat", Parts: []explain.Part{{ID: "x", Tokens: 1_000_000}}, DeadlineMs: 500},
	} {
		time.Sleep(2 * time.Millisecond)
		answer, err := h.Explain(&query)
		if err == nil {
			var text strings.Builder
			require.NoError(t, answer.Text(&text))
			require.NotContains(t, text.String()+dump(reflect.ValueOf(answer)), secretKey)
		}
	}
	require.Equal(t, before, dump(reflect.ValueOf(h)))
}

// dump returns all that a value refers to, also through unexported fields.
func dump(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			return "nil"
		}
		return "&" + dump(v.Elem())
	case reflect.Struct:
		var fields []string
		for i := range v.NumField() {
			fields = append(fields, v.Type().Field(i).Name+":"+dump(v.Field(i)))
		}
		return "{" + strings.Join(fields, " ") + "}"
	case reflect.Map:
		var entries []string
		for _, key := range v.MapKeys() {
			entries = append(entries, dump(key)+":"+dump(v.MapIndex(key)))
		}
		slices.Sort(entries)
		return "map[" + strings.Join(entries, " ") + "]"
	case reflect.Slice, reflect.Array:
		var items []string
		for i := range v.Len() {
			items = append(items, dump(v.Index(i)))
		}
		return "[" + strings.Join(items, " ") + "]"
	case reflect.Func, reflect.Chan:
		return v.Type().String()
	default:
		return fmt.Sprint(v)
	}
}
