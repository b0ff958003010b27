package route

import "time"

const (
	// customerTTL is how long a customer counts as active after its last request.
	customerTTL = 30 * time.Second
	// reservedShare is the share of the slots that customers who use more than
	// overuseFactor times their share must leave free for others.
	reservedShare = 0.12
	overuseFactor = 1.25
)

// customer counts the requests of one customer to one service at this host.
type customer struct {
	share      float64
	waiting    [classes]int
	inFlight   [classes]int
	lastActive time.Time
}

// customers holds the active customers of a service.
type customers struct {
	byName map[string]*customer
	// shares is the sum of the shares of all customers in byName.
	shares float64
}

func newCustomers() *customers { return &customers{byName: map[string]*customer{}} }

// get returns a customer, which is added if missing. A positive share replaces
// the earlier one.
func (c *customers) get(name string, share float64) *customer {
	cust := c.byName[name]
	if cust == nil {
		cust = &customer{}
		c.byName[name] = cust
	}
	if share > 0 {
		c.shares += share - cust.share
		cust.share = share
	}
	return cust
}

// prune drops customers without a request for customerTTL.
func (c *customers) prune(now time.Time) {
	for name, cust := range c.byName {
		if cust.busy() {
			cust.lastActive = now
		}
		if now.Sub(cust.lastActive) >= customerTTL {
			c.shares -= cust.share
			delete(c.byName, name)
		}
	}
}

func (c *customer) busy() bool {
	return c.waiting != [classes]int{} || c.inFlight != [classes]int{}
}

// fairSlots returns a customer's share of a number of slots.
func (c *customers) fairSlots(cust *customer, slots int) float64 {
	if c.shares <= 0 {
		return float64(slots)
	}
	return float64(slots) * cust.share / c.shares
}

// demand returns the number of slots that a class demands. If there are several
// customers, the demand of one beyond its share, or beyond one slot if that is
// more, does not count.
func (c *customers) demand(class, slots int) float64 {
	total := 0.0
	for _, cust := range c.byName {
		wanted := float64(cust.inFlight[class] + cust.waiting[class])
		if len(c.byName) > 1 {
			wanted = min(wanted, max(1, c.fairSlots(cust, slots)))
		}
		total += wanted
	}
	return total
}

// mustYield reports whether a customer uses so much more than its share that it
// must leave the remaining free slots to others.
func (c *customers) mustYield(cust *customer, free, slots int) bool {
	if len(c.byName) < 2 || float64(free) > reservedShare*float64(slots) {
		return false
	}
	used := 0
	for _, n := range cust.inFlight {
		used += n
	}
	return float64(used) > overuseFactor*c.fairSlots(cust, slots)
}
