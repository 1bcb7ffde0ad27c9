// Package clock reads a monotonic clock that keeps advancing while the machine is
// suspended. Leases are measured on it, because the monotonic clock of the Go runtime
// stops during a suspension, which would extend a lease.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the origin of the clock if the kernel has no boot-time clock.
var processStart = time.Now()

// Now returns the time since the machine booted, including suspensions. If the kernel has
// no boot-time clock, it returns the time since the process started.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}
