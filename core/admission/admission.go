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

// A Controller limits the calls of an instance. It is not safe for concurrent use.
type Controller struct {
	// LinkRate is the rate of the network link in bytes a second; 0: it is not known.
	LinkRate float64

	processor  limiter
	link       linkLimiter
	linkQueued bool // bytes wait at the link
	window     window
}

// Observe records a sample of the instance's load, which d has observed.
func (c *Controller) Observe(now clock.Instant, s saturation.Sample, d *saturation.Detector) {
	c.processor.observe(now, d.Backlog(now), s.RunDelay)
	c.link.observe(now, c.LinkRate, s)
	c.linkQueued = d.LinkQueued(now)
}

// Accept records that a connection is accepted, on which a call is expected.
func (c *Controller) Accept(now clock.Instant) {
	c.window.accept(now)
	c.begin(now)
}

// BeginNext records that a further call begins on a connection, and reports whether its caller should
// connect to another instance for the next one, since calls begin beyond the limit.
func (c *Controller) BeginNext(now clock.Instant) (beyond bool) {
	c.begin(now)
	return c.processor.overdrawn() || c.link.overdrawn()
}

func (c *Controller) begin(now clock.Instant) {
	c.processor.begin(now)
	c.link.begin(now)
}

// Admits reports whether new connections are accepted, and for how long; 0: there is no limit.
func (c *Controller) Admits(now clock.Instant) (span time.Duration, ok bool) {
	link := c.linkAdmits(now, 0)
	if !(link && c.processor.admits(now, 0)) && !c.window.exempt(now) {
		c.link.take(now, c.window.close(now, !link)) // the requests of the others come all the same
		return 0, false
	}
	return c.window.left(now)
}

// Reopens reports whether new connections are accepted again after they were refused.
func (c *Controller) Reopens(now clock.Instant) bool {
	return c.window.reopens(now, c.processor.admits(now, reopenTime) && c.linkAdmits(now, linkReopenTime))
}

// linkAdmits reports whether the link can carry calls for a time at its limit.
func (c *Controller) linkAdmits(now clock.Instant, span time.Duration) bool {
	return c.link.lasts(now, span) && !c.linkQueued
}
