package dispatch

import (
	"runtime"
	"sync"
	"testing"
)

// TestCallCountAddDuringWait checks that the count may return to 0 and grow again
// while several goroutines wait, which a sync.WaitGroup does not allow.
func TestCallCountAddDuringWait(*testing.T) {
	const (
		waiters = 8
		rounds  = 20000
	)
	var calls callCount
	var work sync.WaitGroup
	calls.Add(1)
	for range waiters {
		work.Go(func() {
			for range rounds / waiters {
				calls.Wait()
			}
		})
	}
	for range rounds {
		runtime.Gosched()
		calls.Done()
		calls.Add(1)
	}
	calls.Done()
	work.Wait()
}
