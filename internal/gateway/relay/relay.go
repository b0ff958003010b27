// Package relay lets a few hosts read the log for all. A reader keeps a copy of
// what it read; the other hosts, its followers, ask it for what they lack. An
// answer says how long ago the log was asked, so that a follower's beliefs age
// as if it had read by itself.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
)

// Request is the question of a follower.
type Request struct {
	// Operator and Upstreams are the offsets up to which it has read, -1 if it
	// has read nothing.
	Operator, Upstreams int64
	// Wait is how long the reader may wait for news.
	Wait time.Duration
}

// Response is what a follower lacks.
type Response struct {
	Operator  catalog.OperatorUpdate
	Upstreams catalog.UpstreamUpdate
	// OperatorAge and UpstreamsAge are the times from the reader's newest proof
	// to the arrival of the question; they are below 0 for proofs that came
	// while the question waited.
	OperatorAge, UpstreamsAge time.Duration
}

// topicCopy is what a host last read of one topic.
type topicCopy[C any] struct {
	table *table[C]
	// at is the boot time at which the question was sent that the newest read
	// answers.
	at time.Duration
}

// take takes in what answers a question sent at a boot time. It reports whether
// it did, and whether followers must be told.
func (t *topicCopy[C]) take(u catalog.Update[C], asked time.Duration) (taken, news bool) {
	if !t.table.offers(u.Next) {
		return false, false
	}
	t.at = max(t.at, asked)
	return true, t.table.apply(u)
}

// Cache is what a host last read. It is safe for concurrent use.
type Cache struct {
	mu        sync.Mutex
	operator  topicCopy[catalog.OperatorChange]
	upstreams topicCopy[catalog.UpstreamChange]
	// news is closed and replaced when followers must be told something.
	news chan struct{}
}

// NewCache returns a copy that holds nothing.
func NewCache() *Cache {
	c := &Cache{news: make(chan struct{})}
	c.operator.table = newTable(operatorKind)
	c.upstreams.table = newTable(upstreamKind)
	return c
}

// ApplyOperator takes in operator changes that answer a question sent at a boot
// time. It reports whether they are at least as new as what it holds.
func (c *Cache) ApplyOperator(u catalog.OperatorUpdate, asked time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tell(c.operator.take(u, asked))
}

// ApplyUpstreams does the same with reports.
func (c *Cache) ApplyUpstreams(u catalog.UpstreamUpdate, asked time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tell(c.upstreams.take(u, asked))
}

// tell wakes the followers that wait if there is news. It returns whether
// something was taken in.
func (c *Cache) tell(taken, news bool) bool {
	if news {
		close(c.news)
		c.news = make(chan struct{})
	}
	return taken
}

// Offsets returns the offsets at which to go on reading, -1 before the first
// read.
func (c *Cache) Offsets() (operator, upstreams int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.operator.table.next, c.upstreams.table.next
}

// Respond waits for news for a follower whose question came at a boot time.
func (c *Cache) Respond(ctx context.Context, ask Request, arrived time.Duration) Response {
	timer := time.NewTimer(ask.Wait)
	defer timer.Stop()
	for {
		c.mu.Lock()
		news := c.news
		due := c.operator.table.hasNews(ask.Operator) || c.upstreams.table.hasNews(ask.Upstreams)
		c.mu.Unlock()
		if due {
			return c.answer(ask, arrived)
		}
		select {
		case <-news:
		case <-timer.C:
			return c.answer(ask, arrived)
		case <-ctx.Done():
			return c.answer(ask, arrived)
		}
	}
}

func (c *Cache) answer(ask Request, arrived time.Duration) Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Response{
		Operator:    c.operator.table.since(ask.Operator),
		Upstreams:   c.upstreams.table.since(ask.Upstreams),
		OperatorAge: arrived - c.operator.at, UpstreamsAge: arrived - c.upstreams.at,
	}
}
