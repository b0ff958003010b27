package relay_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/relay"
	"github.com/marigoldmux/marigoldmux/internal/gateway/view"
)

// log is a log of upstream reports and operator changes; both topics have one
// record for each step.
type log struct {
	reports []catalog.UpstreamChange
	changes []catalog.OperatorChange
}

func drawLog(t *rapid.T) *log {
	l := &log{}
	for i := range rapid.IntRange(1, 60).Draw(t, "length") {
		id := fmt.Sprint("u", rapid.IntRange(0, 3).Draw(t, "id"))
		report := catalog.UpstreamChange{ID: id}
		if rapid.IntRange(0, 3).Draw(t, "present") > 0 {
			report.Upstream = &catalog.Upstream{
				ID: id, Service: "s", Address: "a", Draining: rapid.Bool().Draw(t, "draining"),
			}
		}
		l.reports = append(l.reports, report)
		removed := rapid.Bool().Draw(t, "removed")
		switch rapid.IntRange(0, 2).Draw(t, "sort") {
		case 0:
			l.changes = append(l.changes, catalog.OperatorChange{Document: &catalog.Document{Version: int64(i) + 1}})
		case 1:
			l.changes = append(l.changes, catalog.OperatorChange{Zone: "z", Removed: removed})
		case 2:
			change := catalog.OperatorChange{RolloutService: "s", Removed: removed}
			if !removed {
				change.Rollout = catalog.Rollout{Service: "s", Target: fmt.Sprint(i)}
			}
			l.changes = append(l.changes, change)
		}
	}
	return l
}

// sink applies updates: a cache or a view.
type sink interface {
	ApplyOperator(u catalog.OperatorUpdate, requestedAt time.Duration) bool
	ApplyUpstreams(u catalog.UpstreamUpdate, requestedAt time.Duration) bool
}

type viewSink struct{ *view.Builder }

func (b viewSink) ApplyUpstreams(u catalog.UpstreamUpdate, requestedAt time.Duration) bool {
	b.Builder.ApplyUpstreams(u, requestedAt)
	return true
}

// read reads the log from one offset to another; from < 0 reads it as a whole.
func (l *log) read(from, to int64, into sink, requestedAt time.Duration) {
	whole := from < 0
	start := max(from, 0)
	into.ApplyOperator(catalog.OperatorUpdate{Changes: l.changes[start:to], Whole: whole, Next: to}, requestedAt)
	into.ApplyUpstreams(catalog.UpstreamUpdate{Changes: l.upstreamChanges(start, to, whole), Whole: whole, Next: to}, requestedAt)
}

// upstreamChanges returns the reports of a read; a whole read has the newest
// report of each upstream that is present.
func (l *log) upstreamChanges(from, to int64, whole bool) []catalog.UpstreamChange {
	if !whole {
		return l.reports[from:to]
	}
	last := map[string]catalog.UpstreamChange{}
	for _, r := range l.reports[:to] {
		last[r.ID] = r
	}
	var present []catalog.UpstreamChange
	for _, r := range last {
		if r.Upstream != nil {
			present = append(present, r)
		}
	}
	return present
}

func operatorOffset(c *relay.Cache) int64 {
	at, _ := c.Positions()
	return at.Offset
}

// A follower of any readers in any order ends with the same view as a host that
// reads the log.
func TestFollowerViewMatchesLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLog(t)
		end := int64(len(l.reports))
		readers := []*relay.Cache{relay.NewCache(), relay.NewCache()}
		own := relay.NewCache()
		follower := viewSink{view.NewBuilder()}
		now := time.Second
		follow := func(reader *relay.Cache) {
			now += time.Millisecond
			operator, upstreams := own.Positions()
			response := reader.Respond(t.Context(), relay.Request{Operator: operator.Offset, Upstreams: upstreams.Offset}, now)
			if response.Operator.Next >= max(operator.Offset, 0) {
				own.ApplyOperator(response.Operator, now-response.OperatorAge)
				follower.ApplyOperator(response.Operator, now-response.OperatorAge)
			}
			if response.Upstreams.Next >= max(upstreams.Offset, 0) {
				own.ApplyUpstreams(response.Upstreams, now-response.UpstreamsAge)
				follower.ApplyUpstreams(response.Upstreams, now-response.UpstreamsAge)
			}
		}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			reader := readers[rapid.IntRange(0, 1).Draw(t, "reader")]
			if rapid.Bool().Draw(t, "reads") {
				from := operatorOffset(reader)
				if rapid.IntRange(0, 2).Draw(t, "forgot") == 0 {
					from = -1
				}
				l.read(from, rapid.Int64Range(max(operatorOffset(reader), 0), end).Draw(t, "to"), reader, now)
				continue
			}
			follow(reader)
		}
		last := readers[rapid.IntRange(0, 1).Draw(t, "last")]
		l.read(operatorOffset(last), end, last, now)
		follow(last)
		want := viewSink{view.NewBuilder()}
		l.read(-1, 0, want, now)
		l.read(0, end, want, now)
		got, expected := follower.View(), want.View()
		require.Equal(t, versionOf(expected), versionOf(got))
		require.Equal(t, expected.ExcludedZones, got.ExcludedZones)
		require.Equal(t, expected.Rollouts, got.Rollouts)
		require.Equal(t, expected.Members, got.Members)
	})
}

func versionOf(v *catalog.View) int64 {
	if v.Document == nil {
		return 0
	}
	return v.Document.Version
}

// The age of a follower's view counts from the reader's request to the log, so it
// is never too young.
func TestAgeCountsFromTheReadersRequest(t *testing.T) {
	c := relay.NewCache()
	c.ApplyOperator(catalog.OperatorUpdate{Next: 4}, 10*time.Second)
	c.ApplyUpstreams(catalog.UpstreamUpdate{Next: 7}, 11*time.Second)
	response := c.Respond(t.Context(), relay.Request{Operator: 4, Upstreams: 7}, 12*time.Second)
	require.Equal(t, 2*time.Second, response.OperatorAge)
	require.Equal(t, time.Second, response.UpstreamsAge)
	require.EqualValues(t, 4, response.Operator.Next)
	require.Empty(t, response.Upstreams.Changes)
}

func TestFollowersGetChangesAtOnceAndNoRepeatedReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := relay.NewCache()
		report := func(next int64, draining bool) {
			u := &catalog.Upstream{ID: "u", Service: "s", Draining: draining}
			c.ApplyUpstreams(catalog.UpstreamUpdate{Next: next, Changes: []catalog.UpstreamChange{{ID: "u", Upstream: u}}}, time.Second)
		}
		report(1, false)
		request := relay.Request{Operator: -1, Upstreams: 1, Wait: relay.MaxWait}
		go func() {
			time.Sleep(100 * time.Millisecond)
			report(2, false)
			time.Sleep(100 * time.Millisecond)
			report(3, true)
		}()
		start := time.Now()
		response := c.Respond(t.Context(), request, 0)
		require.Equal(t, 200*time.Millisecond, time.Since(start), "a repeated report is no change, a drain is")
		require.Len(t, response.Upstreams.Changes, 1)
		request.Upstreams = response.Upstreams.Next
		start = time.Now()
		response = c.Respond(t.Context(), request, 0)
		require.Equal(t, relay.MaxWait, time.Since(start))
		require.Empty(t, response.Upstreams.Changes)
	})
}

func TestColdUpstreamReportsAreChanges(t *testing.T) {
	c := relay.NewCache()
	for next := range int64(3) {
		u := &catalog.Upstream{ID: "u", Cold: time.Second}
		c.ApplyUpstreams(catalog.UpstreamUpdate{Next: next, Changes: []catalog.UpstreamChange{{ID: "u", Upstream: u}}}, time.Second)
	}
	require.Len(t, c.Respond(t.Context(), relay.Request{Operator: -1, Upstreams: 1}, 0).Upstreams.Changes, 1)
}

func TestResponseRoundTrip(t *testing.T) {
	c := relay.NewCache()
	doc := &catalog.Document{
		Version: 3, Routes: []catalog.Route{{Name: "r", Timeout: time.Second, Backends: []catalog.Backend{{Service: "s", Weight: 2}}}},
		Services:  []catalog.Service{{Name: "s", Engine: &catalog.Engine{Slots: 4}, Capacity: &catalog.Capacity{ZonePrices: map[string]float64{"z": 0.8}}}},
		Customers: []catalog.Customer{{Name: "c", Keys: []string{"k"}, Rate: 5}},
	}
	c.ApplyOperator(catalog.OperatorUpdate{Whole: true, Next: 2, Changes: []catalog.OperatorChange{{Document: doc}}}, time.Second)
	c.ApplyUpstreams(catalog.UpstreamUpdate{Whole: true, Next: 1, Changes: []catalog.UpstreamChange{
		{ID: "u", Upstream: &catalog.Upstream{ID: "u", Cold: time.Second, Born: 5, Spot: true}},
	}}, time.Second)
	server := httptest.NewServer(relay.Handler(c, func() relay.Hosts { return relay.Hosts{} }))
	defer server.Close()
	response, err := relay.NewClient().Read(t.Context(), strings.TrimPrefix(server.URL, "http://"), relay.Request{Operator: -1, Upstreams: -1})
	require.NoError(t, err)
	require.True(t, response.Operator.Whole)
	require.Equal(t, doc, response.Operator.Changes[0].Document)
	require.Equal(t, &catalog.Upstream{ID: "u", Cold: time.Second, Born: 5, Spot: true}, response.Upstreams.Changes[0].Upstream)
}

func TestUnavailableReaderIsAnError(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := relay.NewClient().Read(ctx, "127.0.0.1:1", relay.Request{})
	require.ErrorIs(t, err, relay.ErrReaderUnavailable)
}

// Scenario: a reader is cut off from the log for so long that the log drops
// its history meanwhile. The reader then reads the log as a whole and gets no
// record of an upstream that came and went during the cut; a follower that knows
// this upstream must stop sending to it.
func TestReaderThatMissedHistorySendsWholeTable(t *testing.T) {
	reader := relay.NewCache()
	reader.ApplyUpstreams(catalog.UpstreamUpdate{Whole: true, Next: 300}, time.Second)
	other := []catalog.UpstreamChange{{ID: "other", Upstream: &catalog.Upstream{ID: "other"}}}
	reader.ApplyUpstreams(catalog.UpstreamUpdate{Whole: true, Next: 900, Changes: other}, 13*time.Second)
	response := reader.Respond(t.Context(), relay.Request{Operator: -1, Upstreams: 890}, 14*time.Second)
	require.True(t, response.Upstreams.Whole, "the upstream that is not listed is gone")
	require.Equal(t, other, response.Upstreams.Changes)
}
