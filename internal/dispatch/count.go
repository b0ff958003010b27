package dispatch

import "sync"

// callCount counts running calls. Unlike a sync.WaitGroup it may grow from 0
// while goroutines wait, as happens when calls arrive during a planned stop.
type callCount struct {
	mu    sync.Mutex
	count int
	zero  sync.Cond
}

// Add adds n, which may be negative, to the count.
func (c *callCount) Add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count += n
	if c.count == 0 {
		c.cond().Broadcast()
	}
}

// Done subtracts one call.
func (c *callCount) Done() { c.Add(-1) }

// Wait blocks until the count is 0.
func (c *callCount) Wait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.count > 0 {
		c.cond().Wait()
	}
}

// cond returns the condition variable. c.mu must be held.
func (c *callCount) cond() *sync.Cond {
	if c.zero.L == nil {
		c.zero.L = &c.mu
	}
	return &c.zero
}
