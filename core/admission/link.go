package admission

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/saturation"
)

const (
	// linkShare is the share of the link's rate that calls may use.
	linkShare = 0.8
	// averagedCalls and averagedTime are the least number of calls and the least time over which their
	// size is averaged: the bytes of calls come after they began.
	averagedCalls = 50
	averagedTime  = time.Second
	// minCallBytes is the least average size of a call that is assumed, in bytes.
	minCallBytes = 1 << 10
)

// A linkLimiter limits the rate at which calls begin to what the network link can carry, by the average
// bytes of a call. It acts before the link is saturated: bytes that wait at the link delay all that
// come after them, connections to replicas and control traffic too, and cannot be taken back.
type linkLimiter struct {
	bucket
	averagedAt     clock.Instant
	received, sent float64 // bytes since the last average
	calls          float64 // that began since then
	perCall        float64 // average bytes of a call in the busier direction, 0 if unknown
}

// observe updates the limit from a sample; linkRate is in bytes a second, 0 if unknown.
func (l *linkLimiter) observe(now clock.Instant, linkRate float64, s saturation.Sample) {
	l.received += float64(s.Received)
	l.sent += float64(s.Sent)
	if linkRate <= 0 || l.calls < averagedCalls || now.Since(l.averagedAt) < averagedTime {
		return
	}
	l.averagedAt = now
	average := max(minCallBytes, max(l.received, l.sent)/l.calls)
	if l.perCall > 0 {
		average = (average + l.perCall) / 2
	}
	l.perCall = average
	l.received, l.sent, l.calls = 0, 0, 0
	if !l.limits() {
		l.bucket = bucket{tokens: minBurst, filledAt: now}
	}
	l.rate = linkShare * linkRate / average
}

// begin records that a call begins.
func (l *linkLimiter) begin(now clock.Instant) {
	l.calls++
	l.take(now, 1)
}
