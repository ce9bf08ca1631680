package shell

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/birchdrift/birchdrift/core/clock"
)

// initialMono is what the steady clock shows at the start, so that no instant is zero:
// any time would do.
const initialMono = time.Second

// clocks reads the machine's clocks.
type clocks struct {
	start         time.Time                     // of the process
	bootOffset    time.Duration                 // what sinceBoot returned then
	readSinceBoot func() (time.Duration, error) // sinceBoot, a seam for tests
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

// countsSleep reports whether the steady reading counts the time that the machine sleeps.
func (c *clocks) countsSleep() bool { return c.readSinceBoot != nil }

// now reads both clocks. The steady one goes on while the machine sleeps, unlike Go's own,
// where the system offers such a clock: rights that lapse meanwhile have lapsed on
// waking, also if somebody set the wall clock back. The wall reading is stripped of Go's
// monotonic one, or the two could never differ.
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

// sinceBoot returns the time since the machine started, its sleep included.
func sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
