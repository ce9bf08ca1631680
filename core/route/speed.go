package route

import "time"

// How fast engines read prompts, as learnt from the first events of calls.

const (
	// defaultOverhead is what a first event takes beside reading the prompt, before
	// any was seen: connecting, one step of the engine, the way back. The prior weighs
	// as much as priorSamples calls.
	defaultOverhead = 15 * time.Millisecond
	// defaultTokenTime is how long an engine is believed to read one prompt token
	// of a model of which no call was seen; see defaultOverhead.
	defaultTokenTime = 25 * time.Microsecond
	// minTokenTime keeps an estimate above zero: below the speed of any engine
	// known.
	minTokenTime = 500 * time.Nanosecond
	// priorSamples is how many measurements of each end of the line the defaults
	// weigh as much as.
	priorSamples = 2
	// priorTokens is the prompt at the far end of the default line: about a prompt
	// of the users.
	priorTokens = 1000
	// decayFactor is what a measurement still counts for after the next one: some thirty
	// calls make up an estimate.
	decayFactor = 0.97
	// outlierFactor bounds a measurement to this multiple of what was expected: what
	// else happens at an engine makes some first events late by any amount.
	outlierFactor = 1.5
)

// A prefillSpeed is a straight line through the times to the first event over the prompt
// tokens read for it, by least squares. What is the same for every prompt must not
// count as reading: taken for it, a small model's prompts would be believed to take
// up to ten times as long as they do, and so the queue at its engines.
type prefillSpeed struct {
	n, x, y, xx, xy float64 // sums over samples; x in tokens, y in seconds
}

// newPrefillSpeed returns a speed that knows the defaults.
func newPrefillSpeed() prefillSpeed {
	var s prefillSpeed
	s.add(0, defaultOverhead.Seconds(), priorSamples)
	s.add(priorTokens, (defaultOverhead + priorTokens*defaultTokenTime).Seconds(), priorSamples)
	return s
}

func (s *prefillSpeed) add(x, y, weight float64) {
	s.n += weight
	s.x += weight * x
	s.y += weight * y
	s.xx += weight * x * x
	s.xy += weight * x * y
}

// withSample returns the speed with one more measurement.
func (s prefillSpeed) withSample(tokens int, took time.Duration) prefillSpeed {
	x := float64(tokens)
	expected := s.overhead() + time.Duration(tokens)*s.tokenTime()
	y := min(took.Seconds(), outlierFactor*expected.Seconds())
	s.n *= decayFactor
	s.x *= decayFactor
	s.y *= decayFactor
	s.xx *= decayFactor
	s.xy *= decayFactor
	s.add(x, y, 1)
	return s
}

// tokenTime returns the time to read one prompt token.
func (s prefillSpeed) tokenTime() time.Duration {
	spread := s.n*s.xx - s.x*s.x
	if spread <= 0 {
		return defaultTokenTime
	}
	slope := (s.n*s.xy - s.x*s.y) / spread
	return max(minTokenTime, time.Duration(slope*float64(time.Second)))
}

// overhead returns what a first event takes beside reading the prompt.
func (s prefillSpeed) overhead() time.Duration {
	return max(0, time.Duration((s.y-s.tokenTime().Seconds()*s.x)/s.n*float64(time.Second)))
}
