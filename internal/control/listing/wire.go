package listing

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
)

func toPeer(host hostlist.Host) *peerv1.ListedHost {
	return &peerv1.ListedHost{
		Id: host.ID, Role: string(host.Role), Address: host.Address, AvailabilityZone: host.Zone,
		Class: string(host.Class), Service: host.Service, Version: host.Version, Leaving: host.Leaving,
	}
}

func fromPeer(host *peerv1.ListedHost) hostlist.Host {
	return hostlist.Host{
		ID: host.GetId(), Role: hostlist.Role(host.GetRole()), Address: host.GetAddress(),
		Zone: host.GetAvailabilityZone(), Class: document.HostClass(host.GetClass()),
		Service: host.GetService(), Version: host.GetVersion(), Leaving: host.GetLeaving(),
	}
}

func sortedIDs(hosts map[string]hostlist.Host) []string {
	return slices.Sorted(maps.Keys(hosts))
}

// hashHosts returns a hash of a list that does not depend on the order of hosts.
func hashHosts(hosts map[string]hostlist.Host) uint64 {
	sum := uint64(0)
	for _, host := range hosts {
		// Marshal cannot fail: all fields of a host can be encoded.
		data, _ := json.Marshal(host)
		sum += xxhash.Sum64(data)
	}
	return sum
}
