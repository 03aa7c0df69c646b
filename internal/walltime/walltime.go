// Package walltime provides the time of day. A jump of the machine's clock does not
// change it unless the clock keeps its new setting, since clocks that jump by
// seconds often jump back.
package walltime

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// jumpThreshold is the difference from which a change of the clock is a jump.
	// Adjustments by time synchronization are smaller.
	jumpThreshold = 200 * time.Millisecond
	// settleTime is how long the clock must keep a new setting until it is adopted.
	settleTime = 2 * time.Minute
)

// Clock provides the time of day. It is safe for concurrent use.
type Clock struct {
	wall func() time.Time
	// elapsed returns a time that never jumps and advances while the machine is
	// suspended.
	elapsed func() time.Duration

	mu sync.Mutex
	// offset is the difference between the time of day and elapsed.
	offset time.Duration
	// jumpedTo is the offset of the machine's clock since jumpedAt, if it differs.
	jumpedTo time.Duration
	jumpedAt time.Duration
}

// New returns a clock that starts with the time of day of the machine.
func New() *Clock { return newClock(time.Now, sinceBoot) }

func newClock(wall func() time.Time, elapsed func() time.Duration) *Clock {
	c := &Clock{wall: wall, elapsed: elapsed}
	c.offset = c.machineOffset(elapsed())
	c.jumpedTo = c.offset
	return c
}

// sinceBoot returns the time since the machine was started.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // CLOCK_BOOTTIME is available since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}

func (c *Clock) machineOffset(elapsed time.Duration) time.Duration {
	return time.Duration(c.wall().UnixNano()) - elapsed
}

// Now returns the time of day. It has no monotonic reading.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	elapsed := c.elapsed()
	machine := c.machineOffset(elapsed)
	switch {
	case (machine - c.offset).Abs() < jumpThreshold:
		c.offset, c.jumpedTo = machine, machine
	case (machine - c.jumpedTo).Abs() >= jumpThreshold:
		c.jumpedTo, c.jumpedAt = machine, elapsed
	case elapsed-c.jumpedAt >= settleTime:
		c.offset = machine
	}
	return time.Unix(0, int64(elapsed+c.offset))
}

// TimeOfDay returns the time of day at an earlier time, which must have a monotonic
// reading.
func (c *Clock) TimeOfDay(at time.Time) time.Time { return c.Now().Add(-time.Since(at)) }
