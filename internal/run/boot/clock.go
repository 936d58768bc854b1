// Package boot tells the time by the time since the boot of the machine.
package boot

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Clock tells the time by the time since the boot of the machine, which includes the time
// that the machine was suspended. Go's monotonic clock stands still then, so what has
// expired meanwhile would still look valid.
type Clock struct {
	startedAt time.Time
	// bootTime returns the time since the boot, and startedAfter is its value at startedAt.
	bootTime     func() time.Duration
	startedAfter time.Duration
}

// NewClock returns a clock that advances with bootTime, which returns the time since the boot.
func NewClock(startedAt time.Time, bootTime func() time.Duration) Clock {
	// Without the monotonic reading, differences are those of startedAt.
	return Clock{startedAt: startedAt.Round(0), bootTime: bootTime, startedAfter: bootTime()}
}

// Now returns the present time. It never jumps with the time of day.
func (c Clock) Now() time.Time { return c.startedAt.Add(c.bootTime() - c.startedAfter) }

// SystemClock returns the clock of this machine.
func SystemClock(startedAt time.Time) (Clock, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Clock{}, errors.Wrap(err, "read time since boot")
	}
	return NewClock(startedAt, func() time.Duration {
		var ts unix.Timespec
		// A clock that could be read once can always be read.
		_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
		return time.Duration(ts.Nano())
	}), nil
}
