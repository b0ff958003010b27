// Package speed keeps how fast engines are, from what they report in their responses. An
// engine may be slower than others for good, or for a moment since it shares its machine.
// The package does no I/O.
package speed

import (
	"sync"
	"time"
)

const (
	// epoch is the time after which the lowest reports are collected anew; those of the
	// epoch before count as well.
	epoch = 10 * time.Second
	// momentaryFor is how long a report counts as the present state of an engine, which
	// may change within a second.
	momentaryFor = 400 * time.Millisecond
	// minSlowdown and maxSlowdown bound what counts of a report.
	minSlowdown, maxSlowdown = 0.1, 20.0
)

// Slowdown is how long work takes at an engine, as multiples of the usual time; 0 means
// that it is not known.
type Slowdown struct{ Lasting, Momentary float64 }

// engine holds the reports of an engine.
type engine struct {
	// lowest and former are the lowest reports of this epoch and of the one before, 0 if
	// there were none.
	lowest, former float64
	epochFrom      time.Duration
	// newest is the newest report, and at the time when it came.
	newest  float64
	at      time.Duration
	process int64
}

// Table holds the reports of all engines. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	engines map[uint32]*engine
	// processes holds what distinguishes the processes of the listed engines.
	processes map[uint32]int64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{engines: map[uint32]*engine{}} }

// Record adds the report of an engine that its work takes a multiple of the usual time. It
// reports whether peers should hear of it: it differs from the report before, or that one is
// older than half of momentaryFor.
func (t *Table) Record(id uint32, slowdown float64, now time.Duration) bool {
	if !(slowdown > 0) {
		return false
	}
	slowdown = min(max(slowdown, minSlowdown), maxSlowdown)
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engines[id]
	if e == nil {
		e = &engine{epochFrom: now, process: t.processes[id]}
		t.engines[id] = e
	}
	e.endEpochs(now)
	if e.lowest == 0 || slowdown < e.lowest {
		e.lowest = slowdown
	}
	changed := now-e.at > momentaryFor/2 || slowdown != e.newest
	e.newest, e.at = slowdown, now
	return changed
}

// endEpochs ends the epochs that are over. Reports that are older than two epochs do not
// count: an engine that was slow for a moment and is avoided since gets no other ones.
func (e *engine) endEpochs(now time.Duration) {
	switch age := now - e.epochFrom; {
	case age >= 2*epoch:
		e.former, e.lowest, e.epochFrom = 0, 0, now
	case age >= epoch:
		e.former, e.lowest, e.epochFrom = e.lowest, 0, e.epochFrom+epoch
	}
}

// Of returns the slowdown of an engine.
func (t *Table) Of(id uint32, now time.Duration) Slowdown {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engines[id]
	if e == nil {
		return Slowdown{}
	}
	e.endEpochs(now)
	s := Slowdown{Lasting: e.lowest}
	if e.former > 0 && (s.Lasting == 0 || e.former < s.Lasting) {
		s.Lasting = e.former
	}
	if now-e.at <= momentaryFor {
		s.Momentary = e.newest
	}
	return s
}

// Len returns the number of engines whose slowdown is known.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.engines)
}

// SetEngines sets the listed engines with what distinguishes their processes. What others
// reported is forgotten.
func (t *Table) SetEngines(processes map[uint32]int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.processes = processes
	for id, e := range t.engines {
		if process, listed := processes[id]; !listed || process != e.process {
			delete(t.engines, id)
		}
	}
}
