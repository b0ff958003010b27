// Package prefix names prompt prefixes and follows which of them an engine has
// in its cache, from events that come late and with gaps.
package prefix

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

// Words is the length of the prefix by which prompts are told apart, in words.
const Words = 8

// maxPrefixes bounds what a Set holds.
const maxPrefixes = 4096

// Hash returns the hash of a prompt's prefix, as engines name it in their
// cache events; 0 for an empty prompt.
func Hash(prompt string) uint64 {
	end, words := 0, 0
	for words < Words && end < len(prompt) {
		start := end + len(prompt[end:]) - len(strings.TrimLeft(prompt[end:], " \t\n"))
		if start == len(prompt) {
			break
		}
		end = start
		if space := strings.IndexAny(prompt[start:], " \t\n"); space >= 0 {
			end += space
		} else {
			end = len(prompt)
		}
		words++
	}
	if words == 0 {
		return 0
	}
	return xxhash.Sum64String(strings.TrimLeft(prompt[:end], " \t\n"))
}

// Set is what is known of one engine's cache. The zero value knows nothing.
type Set struct {
	next     int64
	prefixes map[uint64]struct{}
}

// Next returns the sequence number after which events are wanted.
func (s *Set) Next() int64 { return s.next }

// Apply takes events in any order and reports whether the set changed. After a
// gap, and when the numbers start over, the set begins anew: an eviction may
// be among the lost events.
func (s *Set) Apply(events []engine.CacheEvent) bool {
	changed := false
	for _, e := range events {
		if e.Sequence <= s.next && e.Sequence != 1 {
			continue
		}
		if e.Sequence != s.next+1 && len(s.prefixes) > 0 {
			s.prefixes = nil
			changed = true
		}
		s.next = e.Sequence
		changed = s.apply(e) || changed
	}
	return changed
}

func (s *Set) apply(e engine.CacheEvent) bool {
	_, known := s.prefixes[e.Prefix]
	switch {
	case e.Evicted && known:
		delete(s.prefixes, e.Prefix)
		return true
	case e.Evicted || known:
		return false
	}
	if s.prefixes == nil || len(s.prefixes) >= maxPrefixes {
		s.prefixes = map[uint64]struct{}{}
	}
	s.prefixes[e.Prefix] = struct{}{}
	return true
}

// Clear forgets the cache of an engine that was restarted.
func (s *Set) Clear() { *s = Set{} }

// Snapshot returns a copy that is never changed; nil if nothing is known.
func (s *Set) Snapshot() map[uint64]struct{} {
	if len(s.prefixes) == 0 {
		return nil
	}
	copied := make(map[uint64]struct{}, len(s.prefixes))
	for p := range s.prefixes {
		copied[p] = struct{}{}
	}
	return copied
}
