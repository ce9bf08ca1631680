package forwarding

import "time"

// Whether calls probe engines before they choose one. Under low load the engines' reports
// change little, and each call that probes waits for the answers. Calls therefore probe
// only while that saves more time than it takes.

const (
	// probeSampleInterval is the number of calls of which one probes while probing is not
	// worthwhile, to detect when it is again: about one call per second and instance.
	probeSampleInterval = 8
	// probeAlpha is the weight of a new sample in the moving averages of the time that
	// probing saves and takes. It is large enough that one call that avoided a long queue
	// makes the next calls probe.
	probeAlpha = 0.2
)

// A probeBenefit measures what probing engines has recently saved calls.
type probeBenefit struct {
	saved time.Duration // mean time that probing saved a call
	took  time.Duration // mean time that probing took
	known bool          // there was a sample
	calls int           // calls counted by shouldProbe
}

// shouldProbe reports whether the next call should probe: always while probing saves more
// time than it takes or nothing was measured yet, and once every probeSampleInterval calls
// otherwise.
func (p *probeBenefit) shouldProbe() bool {
	p.calls++
	return !p.known || p.saved > p.took || p.calls%probeSampleInterval == 0
}

// observe records the time that probing saved a call and the time that it took.
func (p *probeBenefit) observe(saved, took time.Duration) {
	if !p.known {
		*p = probeBenefit{saved: saved, took: took, known: true, calls: p.calls}
		return
	}
	p.saved += time.Duration(probeAlpha * float64(saved-p.saved))
	p.took += time.Duration(probeAlpha * float64(took-p.took))
}
