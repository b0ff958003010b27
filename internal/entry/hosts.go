package entry

import (
	"sort"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

// chooseHosts returns live hosts in the order in which a caller should try
// them: of those that send to the service's upstreams the best by rendezvous
// hashing of the prefix first, and no zone twice while there are others. An
// empty service stands for any.
func chooseHosts(snapshot *control.Snapshot, service, prefix string, count int) []control.EntryHost {
	hosts := serving(snapshot, service)
	sort.Slice(hosts, func(i, j int) bool {
		return rendezvous.Weight(prefix, hosts[i].ID) > rendezvous.Weight(prefix, hosts[j].ID)
	})
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

// serving returns the live hosts of this region that send to a service's
// upstreams; all of the region if none of them is live.
func serving(snapshot *control.Snapshot, service string) []control.EntryHost {
	var hosts []control.EntryHost
	for _, id := range snapshot.ServiceHosts[service] {
		if host, live := snapshot.Hosts[id]; live && !host.Leaving {
			hosts = append(hosts, host)
		}
	}
	if len(hosts) > 0 {
		return hosts
	}
	for _, host := range snapshot.Hosts {
		if !host.Leaving && host.Region == snapshot.Self.Region {
			hosts = append(hosts, host)
		}
	}
	return hosts
}
