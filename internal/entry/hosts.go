package entry

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldmux/marigoldmux/internal/control"
)

// chooseHosts returns live hosts in the order in which a caller should try
// them: the best by rendezvous hashing of the prefix first, and no zone twice
// while there are others.
func chooseHosts(snapshot *control.Snapshot, prefix string, count int) []control.EntryHost {
	var hosts []control.EntryHost
	for _, host := range snapshot.Hosts {
		if !host.Leaving && host.Region == snapshot.Self.Region {
			hosts = append(hosts, host)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return weight(prefix, hosts[i]) > weight(prefix, hosts[j]) })
	var chosen, rest []control.EntryHost
	zones := map[string]bool{}
	for _, host := range hosts {
		if zones[host.Zone] {
			rest = append(rest, host)
			continue
		}
		zones[host.Zone] = true
		chosen = append(chosen, host)
	}
	chosen = append(chosen, rest...)
	return chosen[:min(count, len(chosen))]
}

func weight(prefix string, host control.EntryHost) uint64 {
	return xxhash.Sum64String(prefix + "\x00" + host.ID)
}
