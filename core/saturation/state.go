package saturation

import "github.com/birchdrift/birchdrift/core/clock"

// ReportInterval is the time between two reports that the instance is saturated.
const ReportInterval = hold / 4

// Reported is the event that the instance is saturated.
type Reported struct{}

// IsEvent implements step.Event.
func (Reported) IsEvent() {}

// A State is what the modules of an instance know of its saturation. While it is saturated, a time limit
// that runs out may be its own fault, and says nothing about what it waited for.
type State struct{ until clock.Instant }

// Report records that the instance is saturated.
func (s *State) Report(now clock.Instant) { s.until = now.Add(hold) }

// Saturated reports whether the instance is saturated, or was within the last second.
func (s *State) Saturated(now clock.Instant) bool { return now.Before(s.until) }
