// Package admission decides which callers' connections an instance accepts while its processor or its
// network link is saturated.
//
// A saturated instance that reads every call serves fewer than it could: all wait for the processor or
// the link until most have missed their deadline, and no caller tries another instance. The controller
// therefore limits the calls that begin to what the instance can serve. New connections beyond the
// limit are refused, before anything of them is read: their callers are served by another instance
// at once.
package admission

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/saturation"
)

const (
	// reopenTime is the time for which calls must be allowed to begin before connections are
	// accepted again, so that the listener is not opened for each of them.
	reopenTime = 30 * time.Millisecond
	// limitingTime is the time after the last refused connection for which the instance counts as
	// limiting its callers.
	limitingTime = time.Second
)

// A Controller limits the calls of an instance. It is not safe for concurrent use.
type Controller struct {
	// LinkRate is the rate of the network link in bytes a second; 0: it is not known.
	LinkRate float64

	processor limiter
	link      linkLimiter
	refusedAt clock.Instant // when connections were last refused
}

// Observe records a sample of the instance's load, and how long the run delay has been too long by
// saturation.Detector.
func (c *Controller) Observe(now clock.Instant, s saturation.Sample, backlog time.Duration) {
	c.processor.observe(now, backlog, s.RunDelay)
	c.link.observe(now, c.LinkRate, s)
}

// Begin records that a call begins: a connection is accepted, on which one is expected, or a further
// request is read on a connection.
func (c *Controller) Begin(now clock.Instant) {
	c.processor.begin(now)
	c.link.begin(now)
}

// Admits reports whether new connections are accepted.
func (c *Controller) Admits(now clock.Instant) bool {
	return c.admits(now, 0)
}

// Reopens reports whether new connections are accepted again after they were refused.
func (c *Controller) Reopens(now clock.Instant) bool {
	return c.admits(now, reopenTime)
}

// admits reports whether calls may begin for a time at the limit.
func (c *Controller) admits(now clock.Instant, span time.Duration) bool {
	if c.processor.admits(now, span) && c.link.admits(now, span) {
		return true
	}
	c.refusedAt = now
	return false
}

// Limiting reports whether connections have been refused lately. Callers should then connect to
// other instances.
func (c *Controller) Limiting(now clock.Instant) bool {
	return !c.refusedAt.IsZero() && now.Since(c.refusedAt) < limitingTime
}
