package route

import "time"

// The prefill speed of engines, estimated from the times to the first event of calls.

const (
	// defaultOverhead is the assumed part of the time to the first event that is not
	// prefill (connecting, one step of the engine, the way back) until there are
	// measurements.
	// The defaults count as much as priorSamples calls.
	defaultOverhead = 15 * time.Millisecond
	// defaultTokenTime is the assumed time to read one prompt token for a model without
	// measurements; see defaultOverhead.
	defaultTokenTime = 25 * time.Microsecond
	// minTokenTime keeps estimates above zero. It is less than the time per token of
	// any known engine.
	minTokenTime = 500 * time.Nanosecond
	// priorSamples is the number of measurements that each end of the default line
	// counts as: the line through the default times for 0 and priorTokens tokens.
	priorSamples = 2
	// priorTokens is the prompt length, in tokens, at the far end of the default line:
	// about the length of the users' prompts.
	priorTokens = 1000
	// decayFactor is the factor by which each new measurement reduces the weight of the
	// earlier ones, so that an estimate rests on about thirty calls.
	decayFactor = 0.97
	// outlierFactor caps a measurement at this multiple of the expected value, since
	// other work at an engine delays some first events by arbitrary amounts.
	outlierFactor = 1.5
)

// A prefillSpeed is a least-squares line through the times to the first event, as a
// function of the number of prompt tokens read. The constant part must not count as
// prefill: otherwise the prefill time of a small model would be overestimated up to ten
// times, and with it the queue at its engines.
type prefillSpeed struct {
	n, x, y, xx, xy float64 // sums over samples; x in tokens, y in seconds
}

// newPrefillSpeed returns a speed that holds only the defaults.
func newPrefillSpeed() prefillSpeed {
	var s prefillSpeed
	s.add(0, defaultOverhead.Seconds(), priorSamples)
	s.add(priorTokens, (defaultOverhead + priorTokens*defaultTokenTime).Seconds(), priorSamples)
	return s
}

// add adds a sample of x tokens and y seconds with the given weight.
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

// overhead returns the part of the time to the first event that is not prefill.
func (s prefillSpeed) overhead() time.Duration {
	return max(0, time.Duration((s.y-s.tokenTime().Seconds()*s.x)/s.n*float64(time.Second)))
}
