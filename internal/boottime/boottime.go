// Package boottime reads CLOCK_BOOTTIME, a monotonic clock that includes the time
// for which the machine is suspended. Leases and the ages of views are measured
// on it, since the monotonic clock of time.Now stops during a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, suspended time included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only on a kernel without this clock, which cannot run
		// this program.
		panic("clock CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
