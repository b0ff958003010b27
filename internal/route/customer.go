package route

import "time"

const (
	// customerMemory is how long a customer counts as active after it had a
	// request last.
	customerMemory = 30 * time.Second
	// reserve is the share of the slots that customers leave free who use more
	// than overFactor times their share, for the others.
	reserve    = 0.12
	overFactor = 1.25
)

// customer is what one customer has waiting and running of one service at this
// host.
type customer struct {
	share    float64
	waiting  [classes]int
	inFlight [classes]int
	seen     time.Time
}

// customers holds the active customers of a service.
type customers struct {
	byName map[string]*customer
	// shares is the sum of the shares of all in byName.
	shares float64
}

func newCustomers() *customers { return &customers{byName: map[string]*customer{}} }

// get returns a customer, with a share that replaces an earlier one unless it is 0.
func (c *customers) get(name string, share float64) *customer {
	known := c.byName[name]
	if known == nil {
		known = &customer{}
		c.byName[name] = known
	}
	if share > 0 {
		c.shares += share - known.share
		known.share = share
	}
	return known
}

// prune drops customers that are no longer active.
func (c *customers) prune(now time.Time) {
	for name, known := range c.byName {
		if known.busy() {
			known.seen = now
		}
		if now.Sub(known.seen) >= customerMemory {
			c.shares -= known.share
			delete(c.byName, name)
		}
	}
}

func (c *customer) busy() bool {
	return c.waiting != [classes]int{} || c.inFlight != [classes]int{}
}

// fair returns the part of a number of slots that is a customer's share.
func (c *customers) fair(known *customer, slots int) float64 {
	if c.shares <= 0 {
		return float64(slots)
	}
	return float64(slots) * known.share / c.shares
}

// demand returns the slots that a class asks for. What one customer asks for
// beyond its share does not count.
func (c *customers) demand(class, slots int) float64 {
	total := 0.0
	for _, known := range c.byName {
		asks := float64(known.inFlight[class] + known.waiting[class])
		if len(c.byName) > 1 {
			asks = min(asks, max(1, c.fair(known, slots)))
		}
		total += asks
	}
	return total
}

// yields reports whether a customer that uses much more than its share must
// leave the last free slots to others.
func (c *customers) yields(known *customer, free, slots int) bool {
	if len(c.byName) < 2 || float64(free) > reserve*float64(slots) {
		return false
	}
	used := 0
	for _, n := range known.inFlight {
		used += n
	}
	return float64(used) > overFactor*c.fair(known, slots)
}
