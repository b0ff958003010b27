package dispatch

import "sync"

// callCount counts the calls that run. Unlike a sync.WaitGroup it may grow
// from 0 while others wait, as it does when calls come during a planned stop.
type callCount struct {
	mu    sync.Mutex
	count int
	zero  sync.Cond
}

// Add counts further calls.
func (c *callCount) Add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count += n
	if c.count == 0 {
		c.cond().Broadcast()
	}
}

// Done takes one call off.
func (c *callCount) Done() { c.Add(-1) }

// Wait waits until no call runs.
func (c *callCount) Wait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.count > 0 {
		c.cond().Wait()
	}
}

// cond returns the condition; the caller holds the lock.
func (c *callCount) cond() *sync.Cond {
	if c.zero.L == nil {
		c.zero.L = &c.mu
	}
	return &c.zero
}
