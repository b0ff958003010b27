package capacity

import (
	"sort"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
)

// inventory holds the numbers of upstreams of a service that are not draining.
type inventory struct {
	// running holds their numbers by zone and kind.
	running map[orderKey]int
	// usableSpot holds the numbers of reclaimable ones that can handle full
	// load, by zone: they are not cold and their zone is not excluded.
	usableSpot  map[string]int
	total, spot int
}

// afterReclaim returns the number of usable reclaimable upstreams that remain if the
// zone with the most of them is reclaimed.
func (i inventory) afterReclaim() int {
	sum, most := 0, 0
	for _, n := range i.usableSpot {
		sum += n
		most = max(most, n)
	}
	return sum - most
}

// countUpstreams returns the inventory of a service.
func countUpstreams(view *catalog.View, service string, now time.Duration) inventory {
	result := inventory{running: map[orderKey]int{}, usableSpot: map[string]int{}}
	for _, m := range view.Members[service] {
		if m.Draining {
			continue
		}
		result.running[orderKey{service, m.Zone, m.Spot}]++
		result.total++
		if m.Spot {
			result.spot++
		}
		if m.Spot && !view.ExcludedZones[m.Zone] && now >= m.ColdUntil {
			result.usableSpot[m.Zone]++
		}
	}
	return result
}

// spotPerZone returns the wanted number of reclaimable upstreams in each zone, such
// that the need is covered without one of the zones.
//
// Scenario: all reclaimable upstreams of a zone are reclaimed at once, and none
// are available in any zone for some time.
func spotPerZone(c *catalog.Capacity, need, zones int) int {
	if c.SpotPrice <= 0 || c.SpotPrice >= 1 {
		return 0
	}
	perZone := (need + zones - 1) / zones
	if zones > 1 {
		perZone = (need + zones - 2) / (zones - 1)
	}
	return min(perZone, c.Max)
}

// zonesByPrice returns the availability zones, cheapest first.
func zonesByPrice(c *catalog.Capacity) []string {
	zones := make([]string, 0, len(c.ZonePrices))
	for zone := range c.ZonePrices {
		zones = append(zones, zone)
	}
	sort.Slice(zones, func(i, j int) bool {
		if a, b := c.ZonePrices[zones[i]], c.ZonePrices[zones[j]]; a != b {
			return a < b
		}
		return zones[i] < zones[j]
	})
	return zones
}
