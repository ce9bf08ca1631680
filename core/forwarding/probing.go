package forwarding

import "time"

// Whether calls ask engines before they choose. On a quiet day what engines say changes
// little, and each call that asks waits for the answers; so calls ask only while that saves
// them more time than it takes.

const (
	// probeSampleInterval is every how manyth call asks while asking does not pay, so that it is
	// seen when it does again: about one call a second of an instance.
	probeSampleInterval = 8
	// probeAlpha is the weight of a new sample of what asking saves and takes: one
	// call that was spared a long queue has the next ones ask.
	probeAlpha = 0.2
)

// A probeBenefit is what asking engines was worth to calls lately.
type probeBenefit struct {
	saved time.Duration // mean time that a call was spared by going where engines said
	took  time.Duration // mean time that asking took
	known bool
	calls int // since it was asked for the first time
}

// shouldProbe reports whether the next call should ask: while asking saves calls more time than
// it takes them, and now and then otherwise.
func (p *probeBenefit) shouldProbe() bool {
	p.calls++
	return !p.known || p.saved > p.took || p.calls%probeSampleInterval == 0
}

// observe takes in what asking saved a call, and how long it took.
func (p *probeBenefit) observe(saved, took time.Duration) {
	if !p.known {
		*p = probeBenefit{saved: saved, took: took, known: true, calls: p.calls}
		return
	}
	p.saved += time.Duration(probeAlpha * float64(saved-p.saved))
	p.took += time.Duration(probeAlpha * float64(took-p.took))
}
