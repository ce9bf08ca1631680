package shell

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/birchdrift/birchdrift/core/clock"
)

// initialMono is the time that the monotonic clock shows at the start, so that no instant is
// zero. Any other positive time would do.
const initialMono = time.Second

// clocks reads the computer's monotonic and wall clocks.
type clocks struct {
	start         time.Time                     // start of the process
	bootOffset    time.Duration                 // time since boot at the start
	readSinceBoot func() (time.Duration, error) // sinceBoot, which tests replace; nil if it fails
}

func newClocks() *clocks {
	c := &clocks{start: time.Now(), readSinceBoot: sinceBoot}
	booted, err := c.readSinceBoot()
	if err != nil {
		c.readSinceBoot = nil
	}
	c.bootOffset = booted
	return c
}

// countsSleep reports whether the monotonic clock counts the time during which the computer
// is suspended.
func (c *clocks) countsSleep() bool { return c.readSinceBoot != nil }

// now reads both clocks. If the system offers such a clock, the monotonic one, unlike Go's,
// advances while the computer is suspended: leases that expired meanwhile have expired on
// resume, even if the wall clock was set back. Go's monotonic reading is stripped from the
// wall time, since otherwise the two could never differ.
func (c *clocks) now() clock.Instant {
	t := time.Now()
	mono := t.Sub(c.start)
	if c.countsSleep() {
		if since, err := c.readSinceBoot(); err == nil {
			mono = since - c.bootOffset
		}
	}
	return clock.Instant{Mono: mono + initialMono, Wall: t.Round(0)}
}

// sinceBoot returns the time since the computer booted, including time suspended.
func sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
