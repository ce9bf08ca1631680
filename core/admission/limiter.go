package admission

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/saturation"
)

const (
	// decisionInterval is the time between two changes of a limit.
	decisionInterval = 50 * time.Millisecond
	// rateWindow is the time over which the rate at which calls begin is averaged.
	rateWindow = 300 * time.Millisecond
	// firstLimitShare is the first limit as a share of the rate at which calls began when the
	// processor became saturated.
	firstLimitShare = 0.5
	// minBacklog is the time for which the run delay must have been too long for a limit to fall:
	// connections that are accepted together delay each other for a moment.
	minBacklog = 50 * time.Millisecond
	// decreaseFactor is the factor by which a limit falls.
	decreaseFactor = 0.75
	// decreaseInterval is the time between two decreases: the work that has begun has to be done
	// before the effect of one shows.
	decreaseInterval = 250 * time.Millisecond
	// longRunDelay is the run delay above which a limit falls faster: by fastDecreaseFactor, with
	// fastDecreaseInterval between two decreases.
	longRunDelay = 10 * saturation.MaxRunDelay
	// fastDecreaseFactor is the factor by which a limit falls while the run delay is long.
	fastDecreaseFactor = 0.5
	// fastDecreaseInterval is the time between two decreases while the run delay is long.
	fastDecreaseInterval = 100 * time.Millisecond
	// increaseFactor is the factor by which a limit rises.
	increaseFactor = 1.04
	// fastIncreaseFactor is the factor by which a limit rises that is below fastShare of the rate at
	// which work last began to wait.
	fastIncreaseFactor = 1.15
	// fastShare is the share of the rate at which work last began to wait up to which a limit rises
	// fast.
	fastShare = 0.8
	// minIncrease is the least increase of a limit, in calls a second.
	minIncrease = 1
	// minLimit is the least limit in calls a second: some calls have to begin for the instance to
	// learn that it is not saturated any more.
	minLimit = 5
	// releaseTime is the time without a call beyond the limit after which there is no limit.
	releaseTime = 2 * time.Second
)

// A limiter limits the rate at which calls begin to what the processor can serve. It finds the limit
// by additive increase and multiplicative decrease: it falls while work waits for the processor and
// rises while none does.
type limiter struct {
	bucket
	decideAt clock.Instant
	lowered  clock.Instant // when the limit was last decreased
	delayed  bool          // work waited for the processor when the limit was last changed
	ceiling  float64       // calls a second that began when work last began to wait
	deniedAt clock.Instant // when a call was last beyond the limit
	begun    float64       // calls since countedAt
	counted  clock.Instant
	recent   float64 // calls a second that began lately
}

// observe changes the limit. backlog is the time for which the run delay has been too long.
func (l *limiter) observe(now clock.Instant, backlog, runDelay time.Duration) {
	if now.Before(l.decideAt) {
		return
	}
	l.decideAt = now.Add(decisionInterval)
	l.measure(now)
	delayed := backlog >= minBacklog
	if delayed && !l.delayed {
		l.ceiling = max(l.recent, l.rate)
	}
	l.delayed = delayed
	switch {
	case backlog >= saturation.MinBacklog && !l.limits():
		l.bucket = bucket{rate: max(minLimit, firstLimitShare*l.recent), filledAt: now}
		l.deniedAt = now
		l.lowered = now
	case delayed && l.limits():
		factor, interval := decreaseFactor, decreaseInterval
		if runDelay > longRunDelay {
			factor, interval = fastDecreaseFactor, fastDecreaseInterval
		}
		if now.Since(l.lowered) >= interval {
			l.rate = max(minLimit, factor*l.rate)
			l.lowered = now
		}
	case l.limits() && now.Since(l.deniedAt) >= releaseTime:
		l.bucket = bucket{}
	case l.limits():
		l.rate = l.increased()
	}
}

// increased returns the next higher limit.
func (l *limiter) increased() float64 {
	least := l.rate + minIncrease
	if fast := fastIncreaseFactor * l.rate; fast < fastShare*l.ceiling {
		return max(fast, least)
	}
	return max(increaseFactor*l.rate, least)
}

// measure updates the rate at which calls begin.
func (l *limiter) measure(now clock.Instant) {
	span := now.Since(l.counted).Seconds()
	if span <= 0 {
		return
	}
	weight := min(1, span/rateWindow.Seconds())
	l.recent += weight * (l.begun/span - l.recent)
	l.begun = 0
	l.counted = now
}

// begin records that a call begins.
func (l *limiter) begin(now clock.Instant) {
	l.begun++
	l.take(now, 1)
}

// admits reports whether another call may begin, and others for a time at the limit.
func (l *limiter) admits(now clock.Instant, span time.Duration) bool {
	if l.lasts(now, span) {
		return true
	}
	l.deniedAt = now
	return false
}
