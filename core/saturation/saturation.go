// Package saturation tells whether an instance's own processor or network link is saturated, as
// opposed to slow replicas, peers, callers or a slow platform.
//
// The processor is saturated if work of the instance that could go on waits for it. Work that waits
// for others does not count. The link is saturated if the bytes that pass in one direction come near
// its rate.
package saturation

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

const (
	// MaxRunDelay is the run delay above which the processor is saturated. A call waits for the
	// processor some ten times, and the users' tightest target is 100 ms.
	MaxRunDelay = 10 * time.Millisecond
	// MinBacklog is the time for which the run delay must have been above MaxRunDelay. A process that
	// has used up its quota of a period, or that was stopped for a moment, catches up sooner.
	MinBacklog = 150 * time.Millisecond
	// maxLinkUse is the share of the link's rate above which the link is saturated. Queues at the
	// link grow long before all of it is used.
	maxLinkUse = 0.9
	// linkWindow is the time over which the use of the link is averaged: a large body alone may
	// use all of it for some tens of milliseconds.
	linkWindow = 200 * time.Millisecond
	// minConnects is the number of attempts to connect from which ConnectTime says something of the
	// link: a single one may go to an address that is slow or far away.
	minConnects = 2
	// slowConnectTime is the time above which connecting is slow, if it is slowConnectFactor times as
	// long as it was lately. Bytes that wait at the link delay every connection.
	slowConnectTime   = 50 * time.Millisecond
	slowConnectFactor = 4.
	// connectWindow is the time over which the usual time to connect is found.
	connectWindow = 10 * time.Second
	// connectTTL is the time for which slow connections count: longer than an attempt to connect may
	// take, since none succeeds while more bytes wait.
	connectTTL = time.Second
	// hold is the time after the last saturated sample for which the instance counts as saturated.
	// Time limits that began while it was saturated have run out by then.
	hold = time.Second
)

// A Sample is the load of an instance over a short time.
type Sample struct {
	RunDelay time.Duration // how long work that could go on waited for the processor
	Span     time.Duration // the time that the sample covers
	Received int64         // bytes on the link
	Sent     int64
	// Connects is the number of attempts to connect to replicas, peers or the platform that
	// succeeded, and ConnectTime the shortest time that one of them took. Attempts that fail say
	// nothing of the link: it may be partitioned.
	Connects    int
	ConnectTime time.Duration
}

// A Cause is what is saturated.
type Cause int

// The causes.
const (
	None Cause = iota
	Processor
	Link
)

// String returns the cause as it is logged.
func (c Cause) String() string { return [...]string{"none", "processor", "link"}[c] }

// A Detector detects the saturation of an instance from samples of its load. It is not safe for
// concurrent use.
type Detector struct {
	// LinkRate is the rate of the network link in bytes a second; 0: it is not known.
	LinkRate float64

	backlogSince clock.Instant // when the run delay rose above MaxRunDelay; zero: it is below
	linkUse      float64
	connects     int           // attempts to connect that were not judged yet
	fastest      time.Duration // shortest time that one of them took
	usualConnect time.Duration // shortest time to connect lately; 0: not known
	slowConnect  clock.Instant // when connecting was last slow; zero: it is not
	last         clock.Instant // when it was last saturated
	cause        Cause         // of the last sample
	began        clock.Instant
	holds        bool // it counts as saturated
}

// Observe records a sample, and reports whether the instance now begins or ceases to count as
// saturated.
func (d *Detector) Observe(now clock.Instant, s Sample) (changed bool) {
	d.observeLink(s)
	d.observeConnects(now, s)
	switch {
	case s.RunDelay <= MaxRunDelay:
		d.backlogSince = clock.Instant{}
	case d.backlogSince.IsZero():
		d.backlogSince = now
	}
	switch {
	case d.Backlog(now) >= MinBacklog:
		d.cause = Processor
	case d.linkUse > maxLinkUse, d.LinkQueued(now):
		d.cause = Link
	default:
		d.cause = None
	}
	if d.cause != None {
		d.last = now
	}
	holds := !d.last.IsZero() && now.Since(d.last) < hold
	if changed = holds != d.holds; changed && holds {
		d.began = now
	}
	d.holds = holds
	return changed
}

func (d *Detector) observeLink(s Sample) {
	if d.LinkRate <= 0 || s.Span <= 0 {
		return
	}
	use := float64(max(s.Received, s.Sent)) / s.Span.Seconds() / d.LinkRate
	weight := min(1, s.Span.Seconds()/linkWindow.Seconds())
	d.linkUse += weight * (use - d.linkUse)
}

// observeConnects compares the time to connect with the usual one, unless the processor delayed it.
func (d *Detector) observeConnects(now clock.Instant, s Sample) {
	if s.RunDelay > MaxRunDelay {
		return
	}
	if s.Connects > 0 && (d.connects == 0 || s.ConnectTime < d.fastest) {
		d.fastest = s.ConnectTime
	}
	if d.connects += s.Connects; d.connects < minConnects {
		return
	}
	d.connects = 0
	d.slowConnect = clock.Instant{}
	usual := float64(d.usualConnect)
	switch {
	case d.usualConnect == 0 || d.fastest <= d.usualConnect:
		d.usualConnect = d.fastest
	case d.fastest > slowConnectTime && float64(d.fastest) > slowConnectFactor*usual:
		d.slowConnect = now
	default:
		weight := min(1, s.Span.Seconds()/connectWindow.Seconds())
		d.usualConnect += time.Duration(weight * (float64(d.fastest) - usual))
	}
}

// LinkQueued reports whether bytes wait at the link: connecting takes much longer than usual, to all
// addresses.
func (d *Detector) LinkQueued(now clock.Instant) bool {
	return !d.slowConnect.IsZero() && now.Since(d.slowConnect) < connectTTL
}

// Backlog returns how long the run delay has been above MaxRunDelay, 0 if it is not.
func (d *Detector) Backlog(now clock.Instant) time.Duration {
	if d.backlogSince.IsZero() {
		return 0
	}
	return now.Since(d.backlogSince)
}

// Cause returns what the last sample showed to be saturated.
func (d *Detector) Cause() Cause { return d.cause }

// Holds reports whether the instance counts as saturated: it was within the last second.
func (d *Detector) Holds() bool { return d.holds }

// LinkUse returns the share of the link's rate that was used lately in the busier direction.
func (d *Detector) LinkUse() float64 { return d.linkUse }

// Since returns how long the instance has counted as saturated, or did the last time.
func (d *Detector) Since(now clock.Instant) time.Duration { return now.Since(d.began) }
