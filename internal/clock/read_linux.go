package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// readClocks reads the clock that includes suspensions, and then the monotonic clock.
func readClocks() (bootTime, monotonicTime time.Duration, err error) {
	var boot, monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, 0, err
	}
	return time.Duration(boot.Nano()) + extraSuspension(), time.Duration(monotonic.Nano()), nil
}
