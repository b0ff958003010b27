package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/gateway/retry"
)

// Scenario: every request fails at its first upstream, at all hosts, after an
// idle time in which the budgets filled up.
func TestRetriesStayWithinTheLimitOfAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		perSecond := rapid.IntRange(5, 300).Draw(t, "perSecond")
		limit := retry.Limit{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
		budgets := make([]*retry.Budget, hosts)
		for i := range budgets {
			budgets[i] = retry.NewBudget(limit)
			budgets[i].SetHosts(hosts)
		}
		retries := map[int]int{}
		requests := map[int]int{}
		for k := range 40 * perSecond {
			now := time.Duration(k) * time.Second / time.Duration(perSecond)
			b := budgets[k%hosts]
			b.CountRequest("s", now)
			requests[int(now.Seconds())]++
			if now > 10*time.Second && b.TryTake("s", now) {
				retries[int(now.Seconds())]++
			}
		}
		for from := range 30 {
			sumRetries, sumRequests := 0, 0
			for s := from; s < from+10; s++ {
				sumRetries += retries[s]
				sumRequests += requests[s]
			}
			if allowed := 0.2*float64(sumRequests) + 54; float64(sumRetries) > allowed {
				t.Fatalf("%d retries of %d requests in 10 s from %d, limit %.0f", sumRetries, sumRequests, from, allowed)
			}
		}
	})
}

// Guards against a host that uses the slack of the whole fleet since it knows no others.
func TestNoSlackWithoutAKnownFleet(t *testing.T) {
	budget := retry.NewBudget(retry.Limit{Ratio: 0.2, Slack: 50, Window: 10 * time.Second})
	budget.SetHosts(0)
	require.False(t, budget.TryTake("svc", time.Second))
	for range 100 {
		budget.CountRequest("svc", 2*time.Second)
	}
	require.True(t, budget.TryTake("svc", 2*time.Second), "the ratio of its own requests remains")
}
