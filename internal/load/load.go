// Package load measures how much of its processor and its network link this process uses.
//
// The processor is measured by the run delay: how long goroutines that could run have waited for
// a processor. It rises when the process has more work than its processor can do, whatever share
// of a core that is, and not when the process waits for others. The link is measured by the bytes
// of the process's connections.
package load

import (
	"math"
	"runtime/metrics"
	"slices"
	"sync"
	"time"

	"github.com/birchdrift/birchdrift/core/saturation"
)

const (
	// SampleInterval is the minimum time between two samples.
	SampleInterval = 20 * time.Millisecond
	// minTransitions is the number of goroutines that must have been scheduled for a sample. The
	// runtime measures one of eight.
	minTransitions = 8
	// runDelayQuantile is the quantile of the wait that counts as the run delay. Most goroutines
	// never wait, since the runtime runs those next that another goroutine has just woken; those
	// that the network has woken wait for all others.
	runDelayQuantile = 0.9
	// idleSpan is the time in which fewer goroutines are scheduled only if the process is idle.
	idleSpan = 250 * time.Millisecond
)

// schedLatencies is the runtime's metric of the waits of goroutines, in seconds.
const schedLatencies = "/sched/latencies:seconds"

// A Monitor samples the load of the process. It is safe for concurrent use.
type Monitor struct {
	traffic *Traffic

	mu             sync.Mutex
	sample         [1]metrics.Sample
	counts         []uint64 // of the last sample, by bucket
	at             time.Time
	received, sent int64 // at the last sample
}

// NewMonitor returns a monitor of the process and of the connections that traffic counts.
func NewMonitor(traffic *Traffic) *Monitor {
	return &Monitor{traffic: traffic, sample: [1]metrics.Sample{{Name: schedLatencies}}}
}

// Sample returns the load since the last sample. ok is false if that is too short ago.
func (m *Monitor) Sample(now time.Time) (s saturation.Sample, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	span := now.Sub(m.at)
	if span < SampleInterval {
		return saturation.Sample{}, false
	}
	metrics.Read(m.sample[:])
	latencies := m.sample[0].Value.Float64Histogram()
	delay, transitions := runDelay(latencies, m.counts)
	if transitions < minTransitions {
		if span < idleSpan {
			return saturation.Sample{}, false
		}
		delay = 0
	}
	connects, connectTime := m.traffic.takeConnects()
	received, sent := m.traffic.Received(), m.traffic.Sent()
	s = saturation.Sample{RunDelay: delay, Span: span, Received: received - m.received, Sent: sent - m.sent, Connects: connects, ConnectTime: connectTime}
	m.counts = append(m.counts[:0], latencies.Counts...)
	m.at, m.received, m.sent = now, received, sent
	return s, true
}

// runDelay returns the quantile of the waits in a histogram since it had the given counts, and how
// many waits that are.
func runDelay(h *metrics.Float64Histogram, before []uint64) (delay time.Duration, transitions uint64) {
	since := slices.Clone(h.Counts)
	for i, count := range before {
		since[i] -= count
	}
	for _, count := range since {
		transitions += count
	}
	longer := uint64((1 - runDelayQuantile) * float64(transitions)) // waits above the quantile
	for i, count := range slices.Backward(since) {
		if count > longer {
			return seconds(h.Buckets[i]), transitions
		}
		longer -= count
	}
	return 0, transitions
}

// seconds converts the lower bound of a bucket.
func seconds(s float64) time.Duration {
	if math.IsInf(s, 0) {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}
