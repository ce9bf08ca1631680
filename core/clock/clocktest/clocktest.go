// Package clocktest provides instants for tests that simulate the clock.
package clocktest

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// At returns the instant d after the Unix epoch on both clocks.
func At(d time.Duration) clock.Instant {
	return clock.Instant{Mono: d, Wall: time.Unix(0, 0).UTC().Add(d)}
}
