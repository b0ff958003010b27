package claim

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
	"github.com/marigoldmux/marigoldmux/internal/request"
)

const (
	// copyCount is the number of peers that keep a copy of a result.
	copyCount = 2
	// lookupHosts is the number of peers at which a copy is looked up. It is larger
	// than copyCount because the holder skips hosts of its own zone.
	lookupHosts = 5
	// copyTimeout bounds how long a response is delayed until its copies are stored.
	copyTimeout = 250 * time.Millisecond
	// peerLookupTimeout bounds a lookup at the peers.
	peerLookupTimeout = 500 * time.Millisecond
)

// KeyResult is the result of the call of a key.
type KeyResult struct {
	Key         string
	Fingerprint uint64
	Result      request.Result
}

// Peers accesses the claims of other entry hosts.
type Peers interface {
	// Keep sends copies of results to a host. When retired is set, these are all
	// results of this process, which dispatches no further calls.
	Keep(ctx context.Context, host string, results []KeyResult, retired bool) error
	// Outcome requests from a host the result of a key that an incarnation holds;
	// the incarnation may be empty. It returns nil while there is no result.
	Outcome(ctx context.Context, host, key, incarnation string, wait time.Duration) (*KeyResult, error)
}

// copies holds the results that other processes sent to this one.
type copies struct {
	mu      sync.Mutex
	results map[string]storedCopy
	retired map[string]time.Time
}

type storedCopy struct {
	KeyResult
	receivedAt time.Time
}

// Keep stores copies of the results of another process.
func (s *Store) Keep(incarnation string, results []KeyResult, retired bool, now time.Time) {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	for _, r := range results {
		if _, known := s.copies.results[r.Key]; !known {
			s.copies.results[r.Key] = storedCopy{KeyResult: r, receivedAt: now}
		}
	}
	if retired {
		s.copies.retired[incarnation] = now
	}
}

// get returns the copy of a key's result. If the incarnation has retired, and so
// sent all its results, a ticket of it without a result was never dispatched.
func (c *copies) get(key, incarnation string, now time.Time) *KeyResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k, known := c.results[key]; known {
		return &k.KeyResult
	}
	if _, retired := c.retired[incarnation]; retired && recentTicketOf(key, incarnation, now) {
		return &KeyResult{Key: key, Result: notDispatched}
	}
	return nil
}

// notDispatched is the result of a key whose holder ended without dispatching it.
var notDispatched = request.Result{Outcome: request.NotRun, Reason: request.ReasonLeaving}

// recentTicketOf reports whether a key is a ticket of an incarnation that is
// recent enough that a result of it cannot have been deleted.
func recentTicketOf(key, incarnation string, now time.Time) bool {
	t, err := ticketIn(key)
	return err == nil && t.Incarnation == incarnation && now.Before(t.Expires.Add(MaxKeyAge/2))
}

func (c *copies) forgetOld(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, k := range c.results {
		if now.Sub(k.receivedAt) > entryRetention {
			delete(c.results, key)
		}
	}
	for incarnation, at := range c.retired {
		if now.Sub(at) > entryRetention {
			delete(c.retired, incarnation)
		}
	}
}

// placementKey returns the rendezvous hashing key that selects the peers for a
// key's copies. All tickets of one process share it, so that the peers which
// receive its retirement have all its results.
func placementKey(key string) string {
	if t, err := ticketIn(key); err == nil {
		return t.Incarnation
	}
	return key
}

// rankedHosts returns the hosts other than this one, in the order in which they
// are preferred for the copies of a placement key.
func rankedHosts(snapshot *control.Snapshot, placement string) []control.EntryHost {
	var hosts []control.EntryHost
	for id, host := range snapshot.Hosts {
		if id != snapshot.Self.ID {
			hosts = append(hosts, host)
		}
	}
	weight := func(h control.EntryHost) uint64 { return rendezvous.Weight(placement, h.ID) }
	slices.SortFunc(hosts, func(a, b control.EntryHost) int { return cmp.Compare(weight(b), weight(a)) })
	return hosts
}

// replicas returns the hosts that keep this host's copies of a placement key:
// hosts of other zones that are not leaving or, if there are none, any hosts.
func replicas(snapshot *control.Snapshot, placement string) []control.EntryHost {
	hosts := rankedHosts(snapshot, placement)
	candidates := slices.DeleteFunc(slices.Clone(hosts), func(h control.EntryHost) bool {
		return h.Zone == snapshot.Self.Zone || h.Leaving
	})
	if len(candidates) == 0 {
		candidates = hosts
	}
	return candidates[:min(copyCount, len(candidates))]
}

// sendCopies sends copies to the replicas of a placement key. It returns when all
// calls have ended.
func (s *Store) sendCopies(ctx context.Context, placement string, results []KeyResult, retired bool) {
	var calls sync.WaitGroup
	for _, host := range replicas(s.snapshot(), placement) {
		// If a copy is lost, the result is still in the log service.
		calls.Go(func() { _ = s.peers.Keep(ctx, host.ID, results, retired) })
	}
	calls.Wait()
}

// lookupAtPeers looks up the result of a key at the holder, if known, and at the
// hosts that may keep copies. It prefers a result with an answer and returns nil
// if there is none.
func (s *Store) lookupAtPeers(ctx context.Context, key string, holder Holder) *KeyResult {
	ctx, cancel := context.WithTimeout(ctx, peerLookupTimeout)
	defer cancel()
	hosts := rankedHosts(s.snapshot(), placementKey(key))
	hostIDs := []string{}
	if holder.Host != "" && holder.Host != s.self.ID {
		hostIDs = append(hostIDs, holder.Host)
	}
	for _, host := range hosts[:min(lookupHosts, len(hosts))] {
		if host.ID != holder.Host {
			hostIDs = append(hostIDs, host.ID)
		}
	}
	responses := make(chan *KeyResult, len(hostIDs))
	for _, id := range hostIDs {
		go func() {
			found, _ := s.peers.Outcome(ctx, id, key, holder.Incarnation, peerLookupTimeout)
			responses <- found
		}()
	}
	var best *KeyResult
	for range hostIDs {
		found := <-responses
		if found != nil && found.Result.Outcome == request.Answer {
			return found
		}
		if found != nil {
			best = found
		}
	}
	return best
}
