package admission

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

const (
	// reopenTime is the time for which the processor must be able to serve calls for connections to
	// be accepted again, so that the listener is not opened for each of them.
	reopenTime = 30 * time.Millisecond
	// linkReopenTime is the same for the link.
	linkReopenTime = 100 * time.Millisecond
	// firstWindow is the time for which connections are accepted again at first. A crowd of callers
	// establishes connections faster than their requests pass the link, and those that are not
	// accepted are reset with requests on the link. Each window is twice as long as the one before.
	firstWindow = 20 * time.Millisecond
	// lastWindow is the length of the window after which there is no limit.
	lastWindow = 640 * time.Millisecond
	// idleClosedFactor is the time for which connections are refused after a window in which none was
	// accepted, as a multiple of its length, if they were refused because of the link: either there
	// are no callers, or what they send waits there.
	idleClosedFactor = 4
	// lostTime is the time within which connections are being established that are reset when the
	// listener begins to refuse them.
	lostTime = 10 * time.Millisecond
	// maxRefusal is the longest time for which no connection is accepted: calls on open connections
	// may reach the limit for long, and a load balancer could take the instance for dead.
	maxRefusal = time.Second
)

// A window is the time for which connections are accepted after they were refused. The zero window has
// no limit.
type window struct {
	length      time.Duration // 0: no limit
	openedAt    clock.Instant
	accepted    int           // connections since openedAt
	closed      bool          // connections are refused
	link        bool          // because of the link, also the last time
	closedTill  clock.Instant // at least
	acceptedAt  clock.Instant // when a connection was last accepted
	exemptUntil clock.Instant // one connection is accepted until then, beyond the limits
}

// accept records that a connection is accepted.
func (w *window) accept(now clock.Instant) {
	w.accepted++
	w.acceptedAt = now
	w.exemptUntil = clock.Instant{}
}

// exempt reports whether a connection is accepted beyond the limits.
func (w *window) exempt(now clock.Instant) bool { return now.Before(w.exemptUntil) }

// close refuses connections because of the limits, and returns the number of those that are lost by that;
// link reports whether the limit of the link is among them.
func (w *window) close(now clock.Instant, link bool) (lost float64) {
	if w.closed {
		return 0
	}
	if w.length > 0 {
		open := max(now.Since(w.openedAt), time.Millisecond)
		lost = float64(w.accepted) * lostTime.Seconds() / open.Seconds()
	}
	w.closed = true
	w.link = link
	w.length = firstWindow
	return lost
}

// left returns the time for which connections are accepted; 0: there is no limit. At the end of a window
// in which some were accepted the next one begins.
func (w *window) left(now clock.Instant) (span time.Duration, ok bool) {
	if w.length == 0 {
		return 0, true
	}
	end := w.openedAt.Add(w.length)
	switch {
	case now.Before(end):
		return end.Since(now), true
	case w.accepted == 0 && w.link:
		w.closed = true
		w.closedTill = now.Add(idleClosedFactor * w.length)
		return 0, false
	case w.length >= lastWindow:
		w.length = 0
		return 0, true
	}
	w.open(now, 2*w.length)
	return w.length, true
}

func (w *window) open(now clock.Instant, length time.Duration) {
	w.length = length
	w.openedAt = now
	w.accepted = 0
	w.closed = false
}

// reopens reports whether connections are accepted again; within reports whether the limits allow it.
func (w *window) reopens(now clock.Instant, within bool) bool {
	switch {
	case within && !now.Before(w.closedTill):
	case now.Since(clock.Latest(w.acceptedAt, w.openedAt)) >= maxRefusal:
		w.exemptUntil = now.Add(firstWindow)
	default:
		return false
	}
	w.open(now, firstWindow)
	return true
}
