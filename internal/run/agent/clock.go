package agent

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// bootClock tells the time by the time since the boot of the machine, which includes the time
// that the machine was suspended. Go's monotonic clock stands still then, so a lease that
// lapsed meanwhile would still look valid.
type bootClock struct {
	startedAt time.Time
	// bootTime returns the time since the boot, and startedAfter is its value at startedAt.
	bootTime     func() time.Duration
	startedAfter time.Duration
}

func newBootClock(startedAt time.Time, bootTime func() time.Duration) bootClock {
	// Without the monotonic reading, differences are those of startedAt.
	return bootClock{startedAt: startedAt.Round(0), bootTime: bootTime, startedAfter: bootTime()}
}

// now returns the present time. It never jumps with the time of day.
func (c bootClock) now() time.Time { return c.startedAt.Add(c.bootTime() - c.startedAfter) }

// systemClock returns the clock of this machine.
func systemClock(startedAt time.Time) (bootClock, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return bootClock{}, errors.Wrap(err, "read time since boot")
	}
	return newBootClock(startedAt, func() time.Duration {
		var ts unix.Timespec
		// A clock that could be read once can always be read.
		_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
		return time.Duration(ts.Nano())
	}), nil
}
