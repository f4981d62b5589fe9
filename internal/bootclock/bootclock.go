// Package bootclock tells the time since the host's start. Unlike the monotonic clock of package time it goes on while the host
// is suspended, and unlike the time of day it never steps.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since some fixed moment.
type Clock func() time.Duration

// Now is the time since the host's start, time in suspension included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("bootclock: " + err.Error()) // every supported kernel has this clock
	}
	return time.Duration(ts.Nano())
}
