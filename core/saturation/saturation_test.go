package saturation

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
)

const (
	interval = 20 * time.Millisecond
	linkRate = 1.25e6 // bytes a second
)

// observe observes n samples of a kind from at on and returns the time after them.
func observe(d *Detector, at time.Duration, n int, s Sample) time.Duration {
	s.Span = interval
	for range n {
		at += interval
		d.Observe(clock.Instant{Mono: at}, s)
	}
	return at
}

// Guards against an instance that takes slow replicas, callers or a slow platform for its own
// saturation: then its work waits for others, and not for the processor.
func TestWaitingForOthersIsNoSaturation(t *testing.T) {
	is := is.New(t)
	d := Detector{LinkRate: linkRate}
	observe(&d, 0, 100, Sample{RunDelay: 2 * time.Millisecond, Received: 8000, Sent: 8000})
	is.Equal(d.Cause(), None)
	is.True(!d.Holds())
}

// Guards against a saturated processor that is not noticed, or that counts as saturated for ever.
func TestProcessorSaturation(t *testing.T) {
	is := is.New(t)
	var d Detector
	long := Sample{RunDelay: MaxRunDelay + 1}
	at := observe(&d, time.Second, 9, long)
	is.Equal(d.Cause(), Processor)
	is.True(d.Holds())
	at = observe(&d, at, 10, Sample{})
	is.Equal(d.Cause(), None)
	is.True(d.Holds()) // time limits that began before may still run out
	observe(&d, at, 50, Sample{})
	is.True(!d.Holds())
}

// Guards against an instance that counts as saturated because it was stopped for a moment, or has used
// up its quota of a period, and catches up at once.
func TestMomentaryDelayIsNoSaturation(t *testing.T) {
	is := is.New(t)
	var d Detector
	at := time.Second
	for range 20 {
		at = observe(&d, at, 4, Sample{RunDelay: 80 * time.Millisecond})
		at = observe(&d, at, 1, Sample{RunDelay: MaxRunDelay})
		is.True(!d.Holds())
	}
}

// Guards against a saturated link that is not noticed, in either direction, and against a large body
// that counts as one.
func TestLinkSaturation(t *testing.T) {
	full := int64(linkRate * interval.Seconds())
	for name, s := range map[string]Sample{"received": {Received: full}, "sent": {Sent: full}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := Detector{LinkRate: linkRate}
			at := observe(&d, time.Second, 3, s)
			is.Equal(d.Cause(), None)
			observe(&d, at, 30, s)
			is.Equal(d.Cause(), Link)
		})
	}
	is := is.New(t)
	var unknown Detector
	observe(&unknown, time.Second, 30, Sample{Received: 100 * full})
	is.Equal(unknown.Cause(), None)
}

// Guards against an instance that does not notice that bytes wait at its link, and against one that takes
// replicas that are slow, far away or gone for its own link: the others still connect fast.
func TestLinkQueue(t *testing.T) {
	const fast, slow = 3 * time.Millisecond, 300 * time.Millisecond
	for _, c := range []struct {
		name   string
		n      int             // attempts in each sample
		times  []time.Duration // shortest of each sample
		queued bool
	}{
		{"fast", 4, []time.Duration{fast, fast, fast}, false},
		{"one slow", 1, []time.Duration{fast, fast, slow}, false},
		{"all slow", 4, []time.Duration{fast, slow, slow}, true},
		{"all slow, few", 1, []time.Duration{fast, fast, slow, slow}, true},
		{"always far away", 4, []time.Duration{60 * time.Millisecond, 70 * time.Millisecond, 60 * time.Millisecond}, false},
		{"fast again", 4, []time.Duration{fast, slow, fast}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var d Detector
			at := time.Second
			for _, took := range c.times {
				at = observe(&d, at, 1, Sample{Connects: c.n, ConnectTime: took})
			}
			is.Equal(d.LinkQueued(clock.Instant{Mono: at}), c.queued)
			is.True(!d.LinkQueued(clock.Instant{Mono: at + connectTTL}))
		})
	}
}

// Guards against a saturated processor that is taken for a link at which bytes wait.
func TestDelayedConnectsAreNoLinkQueue(t *testing.T) {
	is := is.New(t)
	var d Detector
	at := observe(&d, time.Second, 1, Sample{Connects: 4, ConnectTime: time.Millisecond})
	at = observe(&d, at, 2, Sample{Connects: 4, ConnectTime: 300 * time.Millisecond, RunDelay: MaxRunDelay + 1})
	is.True(!d.LinkQueued(clock.Instant{Mono: at}))
}
