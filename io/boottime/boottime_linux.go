package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started, as a time after the Unix epoch. Where
// the system does not tell it, Now returns that of package time.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Unix())
}
