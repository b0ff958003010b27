package dispatch

import (
	"runtime"
	"sync"
	"testing"
)

// TestCallsComeWhileOthersWait lets calls come and go while several wait for
// the last to end.
func TestCallsComeWhileOthersWait(*testing.T) {
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
