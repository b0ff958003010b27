package entry

import (
	"sort"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

// chooseHosts returns at most count live hosts in the order in which a caller
// should try them. Hosts that send to the service's upstreams are ordered by
// rendezvous hashing of the prefix, and hosts of further availability zones come
// before second hosts of the same zone. An empty service means any.
func chooseHosts(snapshot *control.Snapshot, service, prefix string, count int) []control.EntryHost {
	hosts := servingHosts(snapshot, service)
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

// servingHosts returns the live hosts that send to a service's upstreams, or all
// live hosts of this region if there are none. Leaving hosts are omitted.
func servingHosts(snapshot *control.Snapshot, service string) []control.EntryHost {
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
