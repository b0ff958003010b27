package relay

import "github.com/marigoldmux/marigoldmux/internal/gateway/catalog"

// documentKey is the key of the configuration. Keys of availability zones and
// rollouts start with zonePrefix and rolloutPrefix.
const (
	documentKey   = "document"
	zonePrefix    = "zone/"
	rolloutPrefix = "rollout/"
)

var operatorKind = changeKind[catalog.OperatorChange]{
	key: func(c catalog.OperatorChange) string {
		switch {
		case c.Document != nil:
			return documentKey
		case c.Zone != "":
			return zonePrefix + c.Zone
		}
		return rolloutPrefix + c.RolloutService
	},
	removal: func(last catalog.OperatorChange) (catalog.OperatorChange, bool) {
		return catalog.OperatorChange{
			Zone: last.Zone, RolloutService: last.RolloutService, Removed: true,
		}, last.Document == nil
	},
	isRemoval: func(c catalog.OperatorChange) bool { return c.Removed },
	redundant: func(before, after catalog.OperatorChange) bool {
		if before.Document != nil && after.Document != nil {
			return before.Document.Version >= after.Document.Version
		}
		return before == after
	},
}

var upstreamKind = changeKind[catalog.UpstreamChange]{
	key: func(c catalog.UpstreamChange) string { return c.ID },
	removal: func(last catalog.UpstreamChange) (catalog.UpstreamChange, bool) {
		return catalog.UpstreamChange{ID: last.ID}, true
	},
	isRemoval: func(c catalog.UpstreamChange) bool { return c.Upstream == nil },
	// The reports of a cold upstream differ in the time that it stays cold, so
	// none is redundant.
	redundant: func(before, after catalog.UpstreamChange) bool {
		if before.Upstream == nil || after.Upstream == nil {
			return before.Upstream == after.Upstream
		}
		// Each heartbeat has another sequence number, which alone tells nothing.
		same := *after.Upstream
		same.Sequence = before.Upstream.Sequence
		return *before.Upstream == same && after.Upstream.Cold == 0 && before.Kept == after.Kept
	},
}
