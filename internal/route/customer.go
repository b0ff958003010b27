package route

import "time"

const (
	// customerTTL is how long a customer counts as active after it was last seen
	// busy.
	customerTTL = 30 * time.Second
	// reservedFraction is the fraction of the slots that customers who use more than
	// overuseFactor times their fair slots must leave free for others.
	reservedFraction = 0.12
	overuseFactor    = 1.25
)

// customer counts the requests of one customer to one service at this host. Slots
// are divided in proportion to the weights.
type customer struct {
	weight   float64
	waiting  [numClasses]int
	inFlight [numClasses]int
	lastBusy time.Time
}

// customers holds the active customers of a service.
type customers struct {
	byName map[string]*customer
	// totalWeight is the sum of the weights of all customers in byName.
	totalWeight float64
}

func newCustomers() *customers { return &customers{byName: map[string]*customer{}} }

// getOrAdd returns a customer, which is added if missing. A positive weight
// replaces the earlier one; 0 keeps it.
func (c *customers) getOrAdd(name string, weight float64) *customer {
	cust := c.byName[name]
	if cust == nil {
		cust = &customer{}
		c.byName[name] = cust
	}
	if weight > 0 {
		c.totalWeight += weight - cust.weight
		cust.weight = weight
	}
	return cust
}

// prune notes which customers are busy and drops those that no call found busy for
// customerTTL.
func (c *customers) prune(now time.Time) {
	for name, cust := range c.byName {
		if cust.busy() {
			cust.lastBusy = now
		}
		if now.Sub(cust.lastBusy) >= customerTTL {
			c.totalWeight -= cust.weight
			delete(c.byName, name)
		}
	}
}

func (c *customer) busy() bool {
	return c.waiting != [numClasses]int{} || c.inFlight != [numClasses]int{}
}

// fairSlots returns a customer's part of a number of slots, by its weight.
func (c *customers) fairSlots(cust *customer, slots int) float64 {
	if c.totalWeight <= 0 {
		return float64(slots)
	}
	return float64(slots) * cust.weight / c.totalWeight
}

// demand returns the number of slots that a class demands. With several customers,
// each counts for at most its fair slots, or one slot if that is more.
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

// mustYield reports whether few slots are free and the customer uses so much more
// than its fair slots that it must leave them to others.
func (c *customers) mustYield(cust *customer, free, slots int) bool {
	if len(c.byName) < 2 || float64(free) > reservedFraction*float64(slots) {
		return false
	}
	used := 0
	for _, n := range cust.inFlight {
		used += n
	}
	return float64(used) > overuseFactor*c.fairSlots(cust, slots)
}
