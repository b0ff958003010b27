package fairqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/marigoldmux/marigoldmux/internal/testseed"
)

var start = time.Unix(1000, 0)

func acceptAny(*Item) bool { return true }

func TestServedCostFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New()
		weights := map[string]float64{}
		served := map[string]float64{}
		maxCost := 0.0
		var id uint64
		for i := range rapid.IntRange(2, 5).Draw(t, "customers") {
			name := fmt.Sprint("c", i)
			weights[name] = float64(rapid.IntRange(1, 4).Draw(t, "share"))
			cost := float64(rapid.IntRange(10, 200).Draw(t, "cost"))
			maxCost = max(maxCost, cost)
			for range 400 {
				id++
				q.Push(&Item{ID: id, Customer: name, Weight: weights[name], Cost: cost, Deadline: start.Add(time.Hour)})
			}
		}
		for range 200 {
			it := q.Serve(start, acceptAny)
			served[it.Customer] += it.Cost
		}
		// Start-time fair queueing bounds the difference in normalized service of
		// two backlogged customers by one request of each.
		for a := range weights {
			for b := range weights {
				difference := served[a]/weights[a] - served[b]/weights[b]
				require.LessOrEqual(t, difference, maxCost/weights[a]+maxCost/weights[b]+1e-6)
			}
		}
	})
}

func TestIdleCustomerAccruesNoCredit(t *testing.T) {
	q := New()
	for i := range 100 {
		q.Push(&Item{ID: uint64(i), Customer: "busy", Weight: 1, Cost: 10, Deadline: start.Add(time.Hour)})
	}
	for range 50 {
		q.Serve(start, acceptAny)
	}
	for i := range 50 {
		q.Push(&Item{ID: uint64(200 + i), Customer: "idle", Weight: 1, Cost: 10, Deadline: start.Add(time.Hour)})
	}
	counts := map[string]int{}
	for range 20 {
		counts[q.Serve(start, acceptAny).Customer]++
	}
	require.InDelta(t, 10, counts["idle"], 1)
}

func TestEarliestDeadlineFirstAndLateLast(t *testing.T) {
	q := New()
	q.Push(&Item{ID: 1, Customer: "c", Weight: 1, Cost: 1, Target: start.Add(time.Second), Deadline: start.Add(9 * time.Second)})
	q.Push(&Item{ID: 2, Customer: "c", Weight: 1, Cost: 1, Target: start.Add(time.Second), Deadline: start.Add(5 * time.Second)})
	q.Push(&Item{ID: 3, Customer: "c", Weight: 1, Cost: 1, Target: start.Add(time.Minute), Deadline: start.Add(8 * time.Second)})
	q.Push(&Item{ID: 4, Customer: "c", Weight: 1, Cost: 1, Target: start.Add(time.Minute), Deadline: start.Add(2 * time.Second)})
	now := start.Add(3 * time.Second)
	expired := q.Expired(now)
	require.Len(t, expired, 1)
	require.EqualValues(t, 4, expired[0].ID)
	var order []uint64
	for q.Len() > 0 {
		order = append(order, q.Serve(now, acceptAny).ID)
	}
	require.Equal(t, []uint64{3, 2, 1}, order)
	require.Zero(t, q.Cost())
}
