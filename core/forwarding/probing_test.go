package forwarding

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestProbeWhileWorthwhile: at first, and while asking saves more than it takes; then now
// and then, until one call was spared a long queue.
func TestProbeWhileWorthwhile(t *testing.T) {
	is := is.New(t)
	asked := func(p *probeBenefit, calls int) int {
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
	is.Equal(asked(p, 10), 10) // nothing is known yet
	for range 20 {
		p.observe(time.Millisecond, took)
	}
	is.Equal(asked(p, 10*probeSampleInterval), 10)
	p.observe(200*time.Millisecond, took)
	is.Equal(asked(p, 10), 10)
	for range 5 {
		p.observe(12*time.Millisecond, took)
	}
	is.Equal(asked(p, 10), 10) // it still saves more than it takes
	for range 40 {
		p.observe(0, took)
	}
	is.Equal(asked(p, 10*probeSampleInterval), 10)
}
