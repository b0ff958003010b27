package boottime

import (
	"sync"
	"time"
)

// Limits for following the machine's wall clock.
const (
	// maxDrift is the largest difference that is followed immediately; a larger
	// one is a step.
	maxDrift = 100 * time.Millisecond
	// acceptStepAfter is how long a step must last before it is followed; shorter
	// ones are faults of the machine's clock.
	acceptStepAfter = 20 * time.Second
)

// Wall is a wall clock that ignores short steps of the machine's wall clock. It is
// safe for concurrent use. The zero value is ready to use.
type Wall struct {
	mu sync.Mutex
	// offset is the wall-clock time in nanoseconds since 1970 at boot time 0,
	// valid if known.
	offset time.Duration
	known  bool
	// steppedAt is the boot time at which a step of the machine's clock was first
	// seen, 0 if there is none.
	steppedAt time.Duration
}

// Now returns the wall-clock time.
func (w *Wall) Now() time.Time { return w.at(time.Now(), Now()) }

func (w *Wall) at(machine time.Time, boot time.Duration) time.Time {
	offset := time.Duration(machine.UnixNano()) - boot
	w.mu.Lock()
	defer w.mu.Unlock()
	difference := (offset - w.offset).Abs()
	switch {
	case !w.known || difference <= maxDrift:
		w.offset, w.known, w.steppedAt = offset, true, 0
	case w.steppedAt == 0:
		w.steppedAt = boot
	case boot-w.steppedAt > acceptStepAfter:
		w.offset, w.steppedAt = offset, 0
	}
	return time.Unix(0, int64(w.offset+boot))
}
