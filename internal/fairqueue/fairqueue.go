// Package fairqueue orders waiting requests. Customers are served by start-time
// fair queueing, by their weights and the cost of their requests; the requests of
// one customer are served earliest deadline first. The package does no I/O and
// reads no clock.
package fairqueue

import (
	"container/heap"
	"time"
)

// minWeight is the lower bound of weights, which must be positive.
const minWeight = 0.01

// Item is one waiting request.
type Item struct {
	ID       uint64
	Customer string
	// Weight is the customer's weight.
	Weight float64
	// Cost is the work of the request, in tokens.
	Cost float64
	// Target is the time before which the request should start. After it, the
	// request is served behind those of its customer that can still start on time.
	Target time.Time
	// Deadline is the time at which the request expires unless it was started.
	Deadline time.Time

	late  bool
	index int
}

// Queue holds the waiting requests of one class. Use New to create one.
type Queue struct {
	customers map[string]*customer
	// waiting lists the customers with waiting requests.
	waiting []*customer
	// virtual is the virtual time: the start tag of the last request served.
	virtual float64
	length  int
	cost    float64
}

type customer struct {
	name   string
	weight float64
	// finish is the finish tag of the customer's last request served.
	finish float64
	cost   float64
	onTime byDeadline
	late   byDeadline
	// position is the customer's index in Queue.waiting, -1 if it is not in it.
	position int
}

// New returns an empty queue.
func New() *Queue { return &Queue{customers: map[string]*customer{}} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Cost returns the cost of all waiting requests, in tokens.
func (q *Queue) Cost() float64 { return q.cost }

// Push adds a request.
func (q *Queue) Push(it *Item) {
	c := q.customer(it.Customer)
	c.weight = max(it.Weight, minWeight)
	it.late = false
	heap.Push(&c.onTime, it)
	c.cost += it.Cost
	q.cost += it.Cost
	q.length++
	if c.position < 0 {
		c.position = len(q.waiting)
		q.waiting = append(q.waiting, c)
	}
}

func (q *Queue) customer(name string) *customer {
	c := q.customers[name]
	if c == nil {
		c = &customer{name: name, position: -1}
		q.customers[name] = c
	}
	return c
}

// Remove removes a waiting request without serving it.
func (q *Queue) Remove(it *Item) {
	c := q.customers[it.Customer]
	if it.late {
		heap.Remove(&c.late, it.index)
	} else {
		heap.Remove(&c.onTime, it.index)
	}
	c.cost -= it.Cost
	q.cost -= it.Cost
	q.length--
	if len(c.onTime)+len(c.late) == 0 {
		q.deactivate(c)
	}
}

// deactivate removes a customer without requests from the waiting list. Its finish
// tag is kept while it is greater than the virtual time.
func (q *Queue) deactivate(c *customer) {
	last := q.waiting[len(q.waiting)-1]
	q.waiting[c.position] = last
	last.position = c.position
	q.waiting = q.waiting[:len(q.waiting)-1]
	c.position = -1
	c.cost = 0
	if c.finish <= q.virtual {
		delete(q.customers, c.name)
	}
	if q.length == 0 {
		q.cost = 0
		q.prune()
	}
}

// prune drops customers without requests whose finish tags are not greater than
// the virtual time.
func (q *Queue) prune() {
	for name, c := range q.customers {
		if c.position < 0 && c.finish <= q.virtual {
			delete(q.customers, name)
		}
	}
}

// Serve removes and returns the first request, in the order of start tags and
// deadlines, for which accept returns true, and charges its customer. It returns
// nil if accept rejects the first scanDepth requests of every customer's lists.
func (q *Queue) Serve(now time.Time, accept func(*Item) bool) *Item {
	rejected := map[*customer]bool(nil)
	for {
		c := q.first(rejected)
		if c == nil {
			return nil
		}
		if it := c.pick(now, accept); it != nil {
			q.charge(c, it)
			return it
		}
		if rejected == nil {
			rejected = map[*customer]bool{}
		}
		rejected[c] = true
	}
}

// first returns the waiting customer with the smallest start tag that is not in
// rejected.
func (q *Queue) first(rejected map[*customer]bool) *customer {
	var best *customer
	for _, c := range q.waiting {
		if rejected[c] {
			continue
		}
		if best == nil || q.before(c, best) {
			best = c
		}
	}
	return best
}

func (q *Queue) before(a, b *customer) bool {
	startA, startB := max(q.virtual, a.finish), max(q.virtual, b.finish)
	if startA != startB {
		return startA < startB
	}
	return a.name < b.name
}

func (q *Queue) charge(c *customer, it *Item) {
	start := max(q.virtual, c.finish)
	q.virtual = start
	c.finish = start + it.Cost/c.weight
	q.Remove(it)
}

// scanDepth is the maximum number of requests passed to accept in each of a
// customer's two lists.
const scanDepth = 4

// pick returns the first accepted request, in the order of deadlines, with those
// that can still start on time before the late ones.
func (c *customer) pick(now time.Time, accept func(*Item) bool) *Item {
	for len(c.onTime) > 0 && !now.Before(c.onTime[0].Target) {
		it := heap.Pop(&c.onTime).(*Item)
		it.late = true
		heap.Push(&c.late, it)
	}
	for _, list := range [...]byDeadline{c.onTime, c.late} {
		for i := range min(scanDepth, len(list)) {
			if accept(list[i]) {
				return list[i]
			}
		}
	}
	return nil
}

// CostAhead returns the cost that is served before a new request of a customer,
// in tokens: its own waiting cost and the part of each other customer's waiting
// cost that is served meanwhile by the weights.
func (q *Queue) CostAhead(name string, weight float64) float64 {
	weight = max(weight, minWeight)
	own := 0.0
	lead := 0.0
	if c := q.customers[name]; c != nil {
		own = c.cost
		lead = max(0, c.finish-q.virtual) * weight
	}
	total := own
	for _, c := range q.waiting {
		if c.name != name {
			total += min(c.cost, (own+lead)*c.weight/weight)
		}
	}
	return total
}

// Expired removes and returns the requests whose deadline has passed.
func (q *Queue) Expired(now time.Time) []*Item {
	var expired []*Item
	for _, c := range append([]*customer(nil), q.waiting...) {
		for _, list := range [...]*byDeadline{&c.onTime, &c.late} {
			for len(*list) > 0 && !now.Before((*list)[0].Deadline) {
				it := (*list)[0]
				q.Remove(it)
				expired = append(expired, it)
			}
		}
	}
	return expired
}

// byDeadline is a heap of requests, the earliest deadline first.
type byDeadline []*Item

func (h byDeadline) Len() int { return len(h) }

func (h byDeadline) Less(i, j int) bool {
	if !h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].Deadline.Before(h[j].Deadline)
	}
	return h[i].ID < h[j].ID
}

func (h byDeadline) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *byDeadline) Push(x any) {
	it := x.(*Item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *byDeadline) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}
