package forwarding

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestProbeWhileWorthwhile checks that every call probes at first and while probing saves more
// time than it takes. After that one call in probeSampleInterval probes, until a call avoids a
// long queue.
func TestProbeWhileWorthwhile(t *testing.T) {
	is := is.New(t)
	probes := func(p *probeBenefit, calls int) int {
		n := 0
		for range calls {
			if p.shouldProbe() {
				n++
			}
		}
		return n
	}
	const took = 8 * time.Millisecond
	p := &probeBenefit{}
	is.Equal(probes(p, 10), 10) // no samples yet
	for range 20 {
		p.observe(time.Millisecond, took)
	}
	is.Equal(probes(p, 10*probeSampleInterval), 10)
	p.observe(200*time.Millisecond, took)
	is.Equal(probes(p, 10), 10)
	for range 5 {
		p.observe(12*time.Millisecond, took)
	}
	is.Equal(probes(p, 10), 10) // probing still saves more time than it takes
	for range 40 {
		p.observe(0, took)
	}
	is.Equal(probes(p, 10*probeSampleInterval), 10)
}
