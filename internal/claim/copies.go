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
	// copyHosts is the number of peers that keep a copy of a result.
	copyHosts = 2
	// askHosts is the number of peers that are asked for a copy. It is larger
	// than copyHosts because the holder skips hosts of its own zone.
	askHosts = 5
	// copyWait bounds the time by which an answer waits for its copies.
	copyWait = 250 * time.Millisecond
	// askWait bounds the wait for one peer's answer.
	askWait = 500 * time.Millisecond
)

// KeyResult is a key with its result.
type KeyResult struct {
	Key         string
	Fingerprint uint64
	Result      request.Result
}

// Peers reaches the claims of other entry hosts.
type Peers interface {
	// Keep hands copies of results to a host. With retired set, they are all
	// the results of this process, which dispatches nothing more.
	Keep(ctx context.Context, host string, ended []KeyResult, retired bool) error
	// Outcome asks a host for the result of a key whose right a process holds;
	// the incarnation may be empty. The answer is nil while there is none.
	Outcome(ctx context.Context, host, key, incarnation string, wait time.Duration) (*KeyResult, error)
}

// copies holds the results that other processes handed over.
type copies struct {
	mu      sync.Mutex
	ended   map[string]kept
	retired map[string]time.Time
}

type kept struct {
	KeyResult
	at time.Time
}

// Keep stores copies of the results of another process.
func (s *Store) Keep(incarnation string, ended []KeyResult, retired bool, now time.Time) {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	for _, e := range ended {
		if _, known := s.copies.ended[e.Key]; !known {
			s.copies.ended[e.Key] = kept{KeyResult: e, at: now}
		}
	}
	if retired {
		s.copies.retired[incarnation] = now
	}
}

// get returns the copy of a key. Of a process that handed over all its
// results, a key without one never ran.
func (c *copies) get(key, incarnation string, now time.Time) *KeyResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k, known := c.ended[key]; known {
		return &k.KeyResult
	}
	if _, retired := c.retired[incarnation]; retired && ticketOf(key, incarnation, now) {
		return &KeyResult{Key: key, Result: neverRan}
	}
	return nil
}

// neverRan is the result of a key whose holder ended without dispatching it.
var neverRan = request.Result{Outcome: request.NotRun, Reason: request.ReasonLeaving}

// ticketOf reports whether a key is a ticket of an incarnation, young enough
// that its result, if there is one, cannot have been forgotten.
func ticketOf(key, incarnation string, now time.Time) bool {
	t, err := ticketIn(key)
	return err == nil && t.Incarnation == incarnation && now.Before(t.Expires.Add(Window/2))
}

func (c *copies) forgetOld(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, k := range c.ended {
		if now.Sub(k.at) > keep {
			delete(c.ended, key)
		}
	}
	for incarnation, at := range c.retired {
		if now.Sub(at) > keep {
			delete(c.retired, incarnation)
		}
	}
}

// place returns the text by which the peers that keep a key's copies are
// chosen. The tickets of one process are kept together, so that the peers that
// hear of its end have all its results.
func place(key string) string {
	if t, err := ticketIn(key); err == nil {
		return t.Incarnation
	}
	return key
}

// ranked returns the hosts other than this one in the order in which they
// keep the copies of a place.
func ranked(snapshot *control.Snapshot, place string) []control.EntryHost {
	var hosts []control.EntryHost
	for id, host := range snapshot.Hosts {
		if id != snapshot.Self.ID {
			hosts = append(hosts, host)
		}
	}
	weight := func(h control.EntryHost) uint64 { return rendezvous.Weight(place, h.ID) }
	slices.SortFunc(hosts, func(a, b control.EntryHost) int { return cmp.Compare(weight(b), weight(a)) })
	return hosts
}

// replicas returns the hosts of other zones that keep this host's copies of a
// place; where there are none, hosts of its own zone.
func replicas(snapshot *control.Snapshot, place string) []control.EntryHost {
	hosts := ranked(snapshot, place)
	away := slices.DeleteFunc(slices.Clone(hosts), func(h control.EntryHost) bool {
		return h.Zone == snapshot.Self.Zone || h.Leaving
	})
	if len(away) == 0 {
		away = hosts
	}
	return away[:min(copyHosts, len(away))]
}

// spread hands copies to the hosts that keep a place. It returns when all have
// answered.
func (s *Store) spread(ctx context.Context, place string, ended []KeyResult, retired bool) {
	var calls sync.WaitGroup
	for _, host := range replicas(s.snapshot(), place) {
		// A copy that does not arrive leaves the log service to tell the result.
		calls.Go(func() { _ = s.peers.Keep(ctx, host.ID, ended, retired) })
	}
	calls.Wait()
}

// ask looks for the result of a key at the holder, if it is known, and at the
// hosts that keep copies.
func (s *Store) ask(ctx context.Context, key string, holder Holder) *KeyResult {
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	hosts := ranked(s.snapshot(), place(key))
	names := []string{}
	if holder.Host != "" && holder.Host != s.self.ID {
		names = append(names, holder.Host)
	}
	for _, host := range hosts[:min(askHosts, len(hosts))] {
		if host.ID != holder.Host {
			names = append(names, host.ID)
		}
	}
	answers := make(chan *KeyResult, len(names))
	for _, name := range names {
		go func() {
			ended, _ := s.peers.Outcome(ctx, name, key, holder.Incarnation, askWait)
			answers <- ended
		}()
	}
	var best *KeyResult
	for range names {
		ended := <-answers
		if ended != nil && ended.Result.Outcome == request.Answer {
			return ended
		}
		if ended != nil {
			best = ended
		}
	}
	return best
}
