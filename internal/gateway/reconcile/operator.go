package reconcile

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
)

// keepOrders is how long an excluded zone or a rollout is kept that the log lacks, unless it is
// written again.
const keepOrders = 30 * time.Second

// order is an excluded zone or a rollout as the host knows it.
type order struct {
	change catalog.OperatorChange
	// keptUntil is when the order is dropped that the log lacks, 0 if the log has it.
	keptUntil time.Duration
	// outdated is the order in the log that this one replaces until another one is written.
	outdated *catalog.OperatorChange
}

// Operator holds the zones and rollouts that a host knows, also those that were withdrawn.
// Versions of the configuration only rise, which the readers of updates see to. The zero value
// knows nothing.
type Operator struct {
	epoch  int64
	orders map[orderKey]order
}

// orderKey names an excluded zone or the service of a rollout.
type orderKey struct{ zone, service string }

func keyOf(c catalog.OperatorChange) orderKey { return orderKey{c.Zone, c.RolloutService} }

// Apply returns the update to apply in place of one that was read by a request sent at a boot
// time.
func (o *Operator) Apply(u catalog.OperatorUpdate, requestedAt time.Duration) catalog.OperatorUpdate {
	if o.orders == nil {
		o.orders = map[orderKey]order{}
	}
	if u.Whole {
		u.Changes = o.merge(u, requestedAt)
	}
	o.epoch = max(o.epoch, u.Epoch)
	for _, change := range u.Changes {
		o.record(change, u.Whole, requestedAt)
	}
	u.Changes = append(u.Changes[:len(u.Changes):len(u.Changes)], o.drop(requestedAt)...)
	return u
}

// merge returns the changes of a whole update together with what is kept.
func (o *Operator) merge(u catalog.OperatorUpdate, requestedAt time.Duration) []catalog.OperatorChange {
	rises := u.Epoch > o.epoch
	listed := map[orderKey]bool{}
	var changes []catalog.OperatorChange
	for _, change := range u.Changes {
		if change.Document == nil {
			listed[keyOf(change)] = true
			change = o.newer(change, rises)
		}
		changes = append(changes, change)
	}
	for key, known := range o.orders {
		if listed[key] || known.change.Removed {
			continue
		}
		if rises {
			known.keptUntil = requestedAt + keepOrders
			o.orders[key] = known
		}
		if known.keptUntil > requestedAt {
			known.change.Kept = true
			changes = append(changes, known.change)
			continue
		}
		known.change = withdrawn(known.change)
		o.orders[key] = order{change: known.change}
	}
	return changes
}

// newer returns the newer one of a listed order and the one that the host knows. An excluded
// zone counts as the newer one, since requests may harm it.
func (o *Operator) newer(listed catalog.OperatorChange, rises bool) catalog.OperatorChange {
	known, isKnown := o.orders[keyOf(listed)]
	if !isKnown || listed.RolloutService == "" {
		return listed
	}
	if rises && sameOrder(known.change, listed) {
		return listed
	}
	replaces := known.outdated != nil && sameOrder(*known.outdated, listed)
	if !rises && !replaces {
		return listed
	}
	known.outdated = &listed
	o.orders[keyOf(listed)] = known
	return known.change
}

func sameOrder(a, b catalog.OperatorChange) bool {
	a.Kept, b.Kept = false, false
	return a == b
}

func withdrawn(c catalog.OperatorChange) catalog.OperatorChange {
	return catalog.OperatorChange{Zone: c.Zone, RolloutService: c.RolloutService, Removed: true}
}

// record records a change that is applied, from a whole update or not.
func (o *Operator) record(change catalog.OperatorChange, whole bool, requestedAt time.Duration) {
	if change.Document != nil {
		return
	}
	known := o.orders[keyOf(change)]
	next := order{change: change}
	if whole && sameOrder(known.change, change) {
		next.outdated = known.outdated
	}
	if change.Kept {
		next.keptUntil = requestedAt + keepOrders
		if known.keptUntil > 0 {
			next.keptUntil = known.keptUntil
		}
	}
	o.orders[keyOf(change)] = next
}

// drop withdraws the orders that were not written again in time.
func (o *Operator) drop(now time.Duration) []catalog.OperatorChange {
	var dropped []catalog.OperatorChange
	for key, known := range o.orders {
		if known.keptUntil == 0 || known.keptUntil > now {
			continue
		}
		change := withdrawn(known.change)
		o.orders[key] = order{change: change}
		dropped = append(dropped, change)
	}
	return dropped
}
