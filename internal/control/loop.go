package control

import (
	"context"
	"sync/atomic"
	"time"
)

// TickInterval is the time between two Tick inputs.
const TickInterval = 200 * time.Millisecond

// inputBuffer is the number of inputs that can be queued for the loop.
const inputBuffer = 4096

// Performer carries out outputs. Perform must not block; results are returned
// through Loop.Put.
type Performer interface {
	Perform(out Output)
	// Flush ends the batch of outputs of one iteration of the loop.
	Flush()
}

// Loop owns the control state of a host and drives its machines.
type Loop struct {
	self      Self
	machines  []Machine
	performer Performer
	inputs    chan Input
	snapshot  atomic.Pointer[Snapshot]
	dropped   atomic.Int64
}

// NewLoop returns a loop without machines.
func NewLoop(self Self) *Loop {
	l := &Loop{self: self, inputs: make(chan Input, inputBuffer)}
	l.publish(time.Now())
	return l
}

// SetMachines sets the machines, which are given each input in this order. It
// must be called before Run.
func (l *Loop) SetMachines(machines []Machine) {
	l.machines = machines
	l.publish(time.Now())
}

// Snapshot returns the latest snapshot, never nil.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Streams returns the names of the log streams that the machines read.
func (l *Loop) Streams() []string {
	var streams []string
	seen := map[string]bool{}
	for _, m := range l.machines {
		reader, ok := m.(StreamFolder)
		if !ok {
			continue
		}
		for _, stream := range reader.Streams() {
			if !seen[stream] {
				seen[stream] = true
				streams = append(streams, stream)
			}
		}
	}
	return streams
}

// Put queues an input for the loop. It blocks while the queue is full and
// reports whether the input was queued before the context ended.
func (l *Loop) Put(ctx context.Context, in Input) bool {
	select {
	case l.inputs <- in:
		return true
	case <-ctx.Done():
		return false
	}
}

// TryPut queues an input for the loop, or drops it if the queue is full. It is
// for goroutines that handle requests, which must not block on control state.
func (l *Loop) TryPut(in Input) {
	select {
	case l.inputs <- in:
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns the number of inputs that TryPut dropped.
func (l *Loop) Dropped() int64 { return l.dropped.Load() }

// Run drives the machines until the context ends.
func (l *Loop) Run(ctx context.Context, performer Performer) {
	l.performer = performer
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-l.inputs:
			l.step(in)
			l.drain()
		case <-ticker.C:
			l.step(Tick{})
		}
		l.publish(time.Now())
		l.performer.Flush()
	}
}

// drain processes the inputs that are already queued, so that one snapshot
// covers them all.
func (l *Loop) drain() {
	for range len(l.inputs) {
		l.step(<-l.inputs)
	}
}

func (l *Loop) step(in Input) {
	Drive(time.Now(), l.machines, in, l.performer.Perform)
}

// Drive passes an input, and then each input emitted by the machines, to all
// machines and calls perform for the other outputs.
func Drive(now time.Time, machines []Machine, in Input, perform func(Output)) {
	queue := []Input{in}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		for _, m := range machines {
			for _, out := range m.Step(now, next) {
				if emitted, ok := out.(Emit); ok {
					queue = append(queue, emitted.Input)
					continue
				}
				perform(out)
			}
		}
	}
}

func (l *Loop) publish(now time.Time) {
	l.snapshot.Store(NewSnapshot(now, l.self, l.machines))
}

// NewSnapshot returns the snapshot that the machines publish at a time.
func NewSnapshot(now time.Time, self Self, machines []Machine) *Snapshot {
	next := &Snapshot{
		At:            now,
		Self:          self,
		Hosts:         map[string]EntryHost{},
		Upstreams:     map[string][]*Upstream{},
		Shares:        map[RouteKey][]VersionShare{},
		Holds:         map[uint64]time.Time{},
		ActiveOffsets: map[string]int64{},
	}
	for _, m := range machines {
		m.Publish(now, next)
	}
	return next
}
