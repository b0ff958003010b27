// Package promptcache estimates which parts of prompts the model engines hold in their
// caches, from the prompts that hosts have sent them. It does no I/O. A wrong estimate
// costs time to read a prompt again, never a response.
package promptcache

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldmux/marigoldmux/internal/gateway/exchange"
)

// Bounds of an index.
const (
	// maxPrefixes bounds the prefixes in an index. Those that were recorded longest ago are
	// forgotten, up to half of them at once.
	maxPrefixes = 16384
	// maxHolders is the number of engines that are known for a prefix.
	maxHolders = 8
	// maxParts is the number of shared parts of a prompt that are considered.
	maxParts = 4
)

// Prefix identifies the beginning of a prompt: the hash of its parts up to some part.
type Prefix uint32

// Prefixes returns the prefixes of a prompt at the ends of its shared parts, shortest
// first.
func Prefixes(prompt *exchange.Prompt) []Prefix {
	var prefixes []Prefix
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(prompt.Model)
	for _, part := range prompt.SharedParts() {
		if len(prefixes) == maxParts {
			break
		}
		_, _ = h.Write([]byte{0})
		_, _ = h.WriteString(part.ID)
		prefixes = append(prefixes, Prefix(h.Sum64()))
	}
	return prefixes
}

// holder is an engine that has read a prefix.
type holder struct {
	engine, generation uint32
	// intake is the value of the engine's intake after its last prompt with the prefix.
	intake uint64
}

// engine is what is known of an engine's cache.
type engine struct {
	// intake is the number of tokens that all requests sent to the engine add to its cache.
	intake uint64
	// process distinguishes the processes of an engine.
	process int64
	// generation differs for each process of any engine, since intake begins anew with it.
	generation uint32
}

// Index holds the prefixes that engines have read. It is safe for concurrent use.
type Index struct {
	mu      sync.Mutex
	engines map[uint32]*engine
	// recent and older hold the engines by prefix. Prefixes in older were not recorded
	// since recent was begun, and are forgotten when it is full.
	recent, older map[Prefix][]holder
	// generations is the number of processes that were listed.
	generations uint32
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{engines: map[uint32]*engine{}, recent: map[Prefix][]holder{}, older: map[Prefix][]holder{}}
}

// Record adds a prompt that an engine was sent, and the number of tokens that the request
// adds to its cache. Engines that are not listed are ignored.
func (x *Index) Record(id uint32, prefixes []Prefix, tokens int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.engines[id]
	if e == nil {
		return
	}
	e.intake += uint64(max(tokens, 0))
	for _, prefix := range prefixes[:min(len(prefixes), maxParts)] {
		x.store(prefix, holder{engine: id, generation: e.generation, intake: e.intake})
	}
}

// store adds an engine to those of a prefix, in place of the one that read it longest ago
// if there are too many.
func (x *Index) store(prefix Prefix, h holder) {
	holders := x.holders(prefix)
	if _, isRecent := x.recent[prefix]; !isRecent && len(x.recent) >= maxPrefixes/2 {
		x.older, x.recent = x.recent, map[Prefix][]holder{}
	}
	delete(x.older, prefix)
	oldest := 0
	for i := range holders {
		if holders[i].engine == h.engine {
			holders[i] = h
			x.recent[prefix] = holders
			return
		}
		if x.since(holders[i]) > x.since(holders[oldest]) {
			oldest = i
		}
	}
	if len(holders) < maxHolders {
		holders = append(holders, h)
	} else {
		holders[oldest] = h
	}
	x.recent[prefix] = holders
}

func (x *Index) holders(prefix Prefix) []holder {
	if holders, isRecent := x.recent[prefix]; isRecent {
		return holders
	}
	return x.older[prefix]
}

// since returns the number of tokens that an engine was sent since it read a prefix, the
// largest number if it does not have it any more.
func (x *Index) since(h holder) uint64 {
	e := x.engines[h.engine]
	if e == nil || e.generation != h.generation {
		return ^uint64(0)
	}
	return e.intake - h.intake
}

// Holding is how much of a prompt an engine probably holds.
type Holding struct {
	Engine uint32
	// Tokens is the number of tokens at the beginning of the prompt.
	Tokens int
}

// Holdings appends the engines that probably hold shared parts of a prompt to dst.
// Parts count until an engine was sent as many tokens as its memory holds, since the
// least recently used parts are evicted first.
func (x *Index) Holdings(dst []Holding, prefixes []Prefix, parts []exchange.PrefixPart, memoryTokens int) []Holding {
	x.mu.Lock()
	defer x.mu.Unlock()
	// A part is held only if all parts before it are; the longest prefix counts.
	start := len(dst)
	tokens := 0
	for i, prefix := range prefixes {
		tokens += parts[i].Tokens
		for _, h := range x.holders(prefix) {
			if x.since(h) < uint64(max(memoryTokens, 0)) {
				dst = setHolding(dst, start, Holding{h.engine, tokens})
			}
		}
	}
	return dst
}

// Popular returns the number of tokens at the beginning of a prompt that any engine probably
// holds: those of the longest prefix with as many engines as the index keeps.
func (x *Index) Popular(prefixes []Prefix, parts []exchange.PrefixPart, memoryTokens int) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	tokens, popular := 0, 0
	for i, prefix := range prefixes {
		tokens += parts[i].Tokens
		holding := 0
		for _, h := range x.holders(prefix) {
			if x.since(h) < uint64(max(memoryTokens, 0)) {
				holding++
			}
		}
		if holding < maxHolders {
			break
		}
		popular = tokens
	}
	return popular
}

func setHolding(dst []Holding, start int, h Holding) []Holding {
	for i := start; i < len(dst); i++ {
		if dst[i].Engine == h.Engine {
			dst[i].Tokens = h.Tokens
			return dst
		}
	}
	return append(dst, h)
}

// SetEngines sets the listed engines with what distinguishes their processes. An engine
// that left or was started again holds nothing.
func (x *Index) SetEngines(processes map[uint32]int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, e := range x.engines {
		if process, listed := processes[id]; !listed || process != e.process {
			delete(x.engines, id)
		}
	}
	for id, process := range processes {
		if x.engines[id] == nil {
			x.generations++
			x.engines[id] = &engine{process: process, generation: x.generations}
		}
	}
}

// Len returns the number of prefixes in the index.
func (x *Index) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.recent) + len(x.older)
}
