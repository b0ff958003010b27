package burn_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/burn"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/dispatch"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/request"
	_ "github.com/marigoldmux/marigoldmux/internal/testseed"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
)

var start = time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)

var doc = &document.Document{Services: []document.Service{{
	Name: "advice", Routes: []document.Route{{Name: "menu", Objective: 0.9}},
}}}

func ended(customer string, outcome request.Outcome, reason request.Reason, at time.Time) dispatch.RequestEnded {
	return dispatch.RequestEnded{Service: "advice", Route: "menu", Customer: customer, Outcome: outcome, Reason: reason, At: at}
}

func TestBudgetAndWindows(t *testing.T) {
	r := burn.NewRecorder()
	for i := range 20 {
		outcome, reason := request.Answer, request.Reason("")
		if i == 0 {
			outcome, reason = request.Unknown, request.ReasonUpstreamFailed
		}
		r.Ended(ended("chat", outcome, reason, start))
	}
	// A request that failed through its caller does not use the error budget.
	r.Ended(ended("chat", request.NotRun, request.ReasonInvalid, start))
	line := burn.Analyze(r.Report(start.Add(time.Minute)), doc, start).Lines[1]
	require.Equal(t, "chat", line.Customer)
	for _, window := range line.Windows {
		require.Equal(t, int64(20), window.Total)
		require.InDelta(t, 0.5, window.Burn, 1e-9)
	}
	require.InDelta(t, 0.5, line.BudgetLeft, 1e-9)
	require.Equal(t, int64(1), line.Reasons[string(request.ReasonUpstreamFailed)][0])

	later := burn.Analyze(r.Report(start.Add(2*time.Hour)), doc, start).Lines[0]
	require.Zero(t, later.Windows[0].Total)
	require.Zero(t, later.Windows[1].Total)
	require.Equal(t, int64(20), later.Windows[2].Total)
}

// TestReportNamesFailingPart records attempts at 12 upstreams in 4 zones, in which
// most of those at one version, zone or upstream fail, and checks that the report
// names it first; without failures, or if all attempts fail, it names none.
func TestReportNamesFailingPart(t *testing.T) {
	cases := []struct {
		name  string
		bad   func(a control.AttemptEnded) bool
		first string
	}{
		{"version", func(a control.AttemptEnded) bool { return a.Version == "v2" }, "v2"},
		{"zone", func(a control.AttemptEnded) bool { return a.Zone == "zone-1" }, "zone-1"},
		{"upstream", func(a control.AttemptEnded) bool { return a.Upstream == "up-5" }, "up-5"},
		{"nothing", func(control.AttemptEnded) bool { return false }, ""},
		{"everything", func(control.AttemptEnded) bool { return true }, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(7, 7))
			r := burn.NewRecorder()
			for range 600 {
				upstreamIndex := rng.IntN(12)
				a := control.AttemptEnded{
					Service: "advice", Route: "menu", Version: "v1", Zone: fmt.Sprintf("zone-%d", upstreamIndex%4),
					Upstream: fmt.Sprintf("up-%d", upstreamIndex),
				}
				if upstreamIndex >= 9 {
					a.Version = "v2"
				}
				if c.bad(a) && (c.first == "" || rng.Float64() < 0.7) || c.first != "" && rng.Float64() < 0.01 {
					a.Failure = &upstream.Failure{Kind: upstream.Faulted}
				}
				r.Attempt(a, start)
			}
			r.Ended(ended("chat", request.Answer, "", start))
			report := burn.Analyze(r.Report(start), doc, start)
			burners := report.Routes[0].Burners[0]
			if c.first == "" {
				require.Empty(t, burners)
				return
			}
			require.NotEmpty(t, burners)
			require.Equal(t, c.first, burners[0].Name)
			var text bytes.Buffer
			require.NoError(t, report.WriteText(&text))
			require.Contains(t, text.String(), "advice/menu burned by")
		})
	}
}

// TestMergeOfHostsEqualsOneRecorder checks that the merged reports of several
// hosts equal the report of one recorder that counted all events, also after
// hosts handed over their counts.
func TestMergeOfHostsEqualsOneRecorder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := burn.NewRecorder()
		hosts := []*burn.Recorder{burn.NewRecorder(), burn.NewRecorder(), burn.NewRecorder()}
		now := start
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "seconds")) * time.Second)
			host := rapid.SampledFrom(hosts).Draw(t, "host")
			end := ended(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer"), request.Answer, "", now)
			end.Late = rapid.Bool().Draw(t, "late")
			attempt := control.AttemptEnded{
				Service: "advice", Route: "menu", Late: end.Late, Upstream: rapid.SampledFrom([]string{"u", "v"}).Draw(t, "upstream"),
			}
			if end.Late {
				end.FirstBad = &attempt
			}
			for _, r := range []*burn.Recorder{whole, host} {
				r.Attempt(attempt, now)
				r.Ended(end)
			}
		}
		var reports []*peerv1.InspectResponse
		for _, host := range hosts {
			reports = append(reports, host.Report(now))
		}
		want := burn.Merge([]*peerv1.InspectResponse{whole.Report(now)})
		require.True(t, proto.Equal(want, burn.Merge(reports)))

		// Two hosts stop one after the other and hand over their counts.
		hosts[1].Import(hosts[0].Drain(now), now)
		hosts[2].Import(hosts[1].Drain(now), now)
		for i, host := range hosts {
			reports[i] = host.Report(now)
		}
		require.True(t, proto.Equal(want, burn.Merge(reports)))
	})
}

func TestRecorderIsBounded(t *testing.T) {
	r := burn.NewRecorder()
	for i := range 5000 {
		end := ended(fmt.Sprintf("customer-%d", i), request.Answer, "", start)
		end.Late = true
		end.FirstBad = &control.AttemptEnded{Service: "advice", Route: "menu", Upstream: fmt.Sprintf("up-%d", i)}
		r.Ended(end)
	}
	report := r.Report(start)
	require.LessOrEqual(t, len(report.GetSeries()), 129)
	require.LessOrEqual(t, len(report.GetCauses()), 129)
	require.Equal(t, int64(5000), burn.Analyze(report, doc, start).Lines[0].Windows[0].Total, "events beyond the limit must still be counted")
}
