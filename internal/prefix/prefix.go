// Package prefix hashes prompt prefixes and tracks which of them an engine has
// in its cache, from cache events that may arrive late or be lost.
package prefix

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

// Words is the length of a prompt prefix in words.
const Words = 8

// maxPrefixes is the maximum number of prefixes in a Set, which is emptied when
// it would grow beyond.
const maxPrefixes = 4096

// Hash returns the hash of a prompt's prefix, which engines use in their cache
// events, or 0 for a prompt without words.
func Hash(prompt string) uint64 {
	return hashTo(prompt, length(prompt))
}

// The values of Beginning end with a mark, so that they are known from other hashes.
const (
	beginningMask = 1<<16 - 1
	beginningMark = 0x9e37
)

// Beginning returns what identifies a prompt's prefix among fingerprints of requests, or 0
// if nothing follows the prefix: no other request need share it then.
func Beginning(prompt string) uint64 {
	end := length(prompt)
	if strings.TrimSpace(prompt[end:]) == "" {
		return 0
	}
	return hashTo(prompt, end)&^beginningMask | beginningMark
}

// IsBeginning reports whether a value is one of Beginning.
func IsBeginning(key uint64) bool { return key&beginningMask == beginningMark }

// hashTo returns the hash of the first bytes of a prompt, 0 if there are none.
func hashTo(prompt string, end int) uint64 {
	if end == 0 {
		return 0
	}
	return xxhash.Sum64String(strings.TrimLeft(prompt[:end], " \t\n"))
}

// length returns the length of a prompt's prefix in bytes, 0 for a prompt without words.
func length(prompt string) int {
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
	return end
}

// Set is the set of prefixes in one engine's cache, as far as known from its
// events. The zero value is empty.
type Set struct {
	last     int64
	prefixes map[uint64]struct{}
}

// LastSequence returns the sequence number of the last applied event; events
// after it are still to be fetched.
func (s *Set) LastSequence() int64 { return s.last }

// Apply applies events and reports whether the set changed. It ignores events
// that are not newer than the last one applied, except number 1, at which an
// engine starts over. After a gap or a restart of the numbers the set is emptied
// first, since an eviction may be among the lost events.
func (s *Set) Apply(events []engine.CacheEvent) bool {
	changed := false
	for _, e := range events {
		if e.Sequence <= s.last && e.Sequence != 1 {
			continue
		}
		if e.Sequence != s.last+1 && len(s.prefixes) > 0 {
			s.prefixes = nil
			changed = true
		}
		s.last = e.Sequence
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

// Clear resets the set, for an engine that was restarted.
func (s *Set) Clear() { *s = Set{} }

// Snapshot returns an immutable copy, or nil if the set is empty.
func (s *Set) Snapshot() map[uint64]struct{} {
	if len(s.prefixes) == 0 {
		return nil
	}
	snapshot := make(map[uint64]struct{}, len(s.prefixes))
	for p := range s.prefixes {
		snapshot[p] = struct{}{}
	}
	return snapshot
}
