package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

// The number of readers in a fleet.
const (
	// minReaders is the smallest number of readers, so that one may fail.
	minReaders = 2
	// hostsPerReader is the number of hosts for each reader in larger fleets.
	hostsPerReader = 64
	// backupsPerReader is the number of hosts for each reader of a larger fleet that
	// read the log first when the readers' views are old.
	backupsPerReader = 2
)

// readerKey is the rendezvous hashing key that ranks hosts as readers.
const readerKey = "reader"

// When hosts that are no readers read the log directly.
const (
	// maxBackupViewAge is the age of a view above which each follower of a larger
	// fleet reads the log, since the backups have brought nothing either. In a small
	// fleet it does so as soon as its view is no longer fresh.
	maxBackupViewAge = 1900 * time.Millisecond
	// directReadPeriod is how long such a follower reads the log or follows a backup.
	directReadPeriod = 3 * time.Second
	// staleWait is how long a read waits for changes while the view is old.
	staleWait = 100 * time.Millisecond
	// failedReaderPeriod is how long a reader that did not respond gets no
	// requests.
	failedReaderPeriod = 3 * time.Second
	// startupPatience is how long a new host of a larger fleet waits for a view of
	// its reader, which may be new itself.
	startupPatience = time.Second
)

// Host is a gateway host that may be a reader.
type Host struct {
	// Address is the IP address and port for its peers.
	Address, Zone string
	// ViewAge is the age of the host's view.
	ViewAge time.Duration
	// Strength is what the host can carry: stronger hosts are readers first.
	Strength float64
}

// Source is where a host gets its view from.
type Source struct {
	// Reader is the address of the reader to follow, "" if there is none.
	Reader string
	// ReadsLog is set when the host reads the log directly.
	ReadsLog bool
}

// SourceSelector selects the source of a host's view. It is not safe for
// concurrent use.
type SourceSelector struct {
	self       Host
	avoidUntil map[string]time.Duration
	// readUntil is the time until which the host gets its view from a backup or the
	// log, directUntil that until which it reads the log.
	readUntil, directUntil time.Duration
	// following is set when the host got its view from other hosts only.
	following bool
	// hadView is set once the host had a fresh view, and patientUntil is how long
	// it waits for the first, 0 before it knows a reader.
	hadView      bool
	patientUntil time.Duration
}

// NewSourceSelector returns the selector of a host.
func NewSourceSelector(self Host) *SourceSelector {
	return &SourceSelector{self: self, avoidUntil: map[string]time.Duration{}}
}

// MarkFailed records that a reader did not respond, so that Select avoids it for
// failedReaderPeriod.
func (s *SourceSelector) MarkFailed(address string, now time.Duration) {
	s.avoidUntil[address] = now + failedReaderPeriod
}

// Wait returns how long a read of the log, or from a reader, may wait for changes.
func Wait(viewAge time.Duration) time.Duration {
	if viewAge > members.FreshViewAge {
		return staleWait
	}
	return MaxWait
}

// Select returns the source of the view. viewAge is the age of this host's view;
// peers are the live hosts other than this one.
//
// Load pattern: a deployment of many hosts, whose calls to the log cost more than
// anything else; its readers are cut off from the log, unresponsive or killed, or
// the log is down. In a fleet of ninety, whose two readers are cut off, all others
// would read the log for three seconds: half of the calls of a day.
func (s *SourceSelector) Select(peers []Host, viewAge time.Duration, now time.Duration) Source {
	for address, until := range s.avoidUntil {
		if now >= until {
			delete(s.avoidUntil, address)
		}
	}
	s.hadView = s.hadView || viewAge <= members.FreshViewAge
	if viewAge > members.FreshViewAge && s.following {
		s.readUntil = now + directReadPeriod
	}
	if viewAge > maxBackupViewAge {
		s.directUntil = s.readUntil
	}
	reader := s.nearest(s.readers(peers, viewAge))
	if reader != "" && s.waitsForFirstView(len(peers), now) {
		return Source{Reader: reader}
	}
	old := viewAge > members.FreshViewAge || now < s.readUntil
	if reader != "" && old && len(peers) >= members.MaxMeshHosts && viewAge <= maxBackupViewAge && now >= s.directUntil {
		if backup := s.nearest(s.backups(peers)); backup != "" {
			s.following = true
			return Source{Reader: backup}
		}
	}
	source := Source{Reader: reader, ReadsLog: reader == "" || old}
	s.following = !source.ReadsLog
	return source
}

// waitsForFirstView reports whether a new host of a larger fleet waits for its
// reader.
//
// Load pattern: two hundred hosts start at once, and each would read the log until
// the readers have a view.
func (s *SourceSelector) waitsForFirstView(peers int, now time.Duration) bool {
	if s.hadView || peers < members.MaxMeshHosts {
		return false
	}
	if s.patientUntil == 0 {
		s.patientUntil = now + startupPatience
	}
	return now < s.patientUntil
}

// nearest returns the one of some readers to follow, preferably one in the same
// availability zone, or "" if this host is one of them or all failed lately.
func (s *SourceSelector) nearest(readers []Host) string {
	best, weight := "", uint64(0)
	bestSameZone := false
	for _, r := range readers {
		if r.Address == s.self.Address {
			return ""
		}
		if _, avoided := s.avoidUntil[r.Address]; avoided {
			continue
		}
		sameZone := r.Zone == s.self.Zone
		w := rendezvous.Weight(s.self.Address, r.Address)
		if best == "" || sameZone && !bestSameZone || sameZone == bestSameZone && w > weight {
			best, bestSameZone, weight = r.Address, sameZone, w
		}
	}
	return best
}

// readers returns the highest ranked hosts among those with a fresh view,
// or among all while no view is fresh.
func (s *SourceSelector) readers(peers []Host, viewAge time.Duration) []Host {
	self := s.self
	self.ViewAge = viewAge
	all := append([]Host{self}, peers...)
	var fresh []Host
	for _, h := range all {
		if h.ViewAge <= members.FreshViewAge {
			fresh = append(fresh, h)
		}
	}
	if len(fresh) == 0 {
		fresh = all
	}
	return highestRanked(fresh, readerCount(len(fresh)))
}

func readerCount(hosts int) int {
	return max(minReaders, (hosts+hostsPerReader-1)/hostsPerReader)
}

// backups returns the hosts that rank next to the readers, whatever the age of their
// views: digests tell too late that it is fresh again.
func (s *SourceSelector) backups(peers []Host) []Host {
	all := append([]Host{s.self}, peers...)
	readers := readerCount(len(all))
	return highestRanked(all, readers*(1+backupsPerReader))[min(readers, len(all)):]
}

// highestRanked returns the strongest hosts, among those alike the ones of the
// highest weights.
func highestRanked(hosts []Host, count int) []Host {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b Host) int {
		return cmp.Or(
			cmp.Compare(b.Strength, a.Strength),
			cmp.Compare(rendezvous.Weight(readerKey, b.Address), rendezvous.Weight(readerKey, a.Address)),
		)
	})
	return ranked[:min(count, len(ranked))]
}
