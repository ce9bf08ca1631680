package platform

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// weightStore simulates the weight store. It limits the rate at which loads start.
// maxFullSpeed concurrent loads run at full speed; more share that throughput.
type weightStore struct {
	startLimiter *rate.Limiter
	maxFullSpeed int

	mu     sync.Mutex
	active int
}

func newWeights(l Limits) *weightStore {
	return &weightStore{startLimiter: rate.NewLimiter(rate.Limit(l.LoadsPerSecond), 1), maxFullSpeed: l.LoadsAtOnce}
}

// loadTick is the interval at which the speed of a load is updated.
const loadTick = 20 * time.Millisecond

// load replies when a load that takes `time` at full speed has finished.
func (s *weightStore) load(_ http.ResponseWriter, r *http.Request) {
	if s.startLimiter.Wait(r.Context()) != nil {
		return
	}
	left := durationParam(r, "time")
	s.add(1)
	defer s.add(-1)
	for left > 0 {
		select {
		case <-time.After(loadTick):
			left -= time.Duration(float64(loadTick) * s.speed())
		case <-r.Context().Done():
			return
		}
	}
}

func (s *weightStore) add(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += n
}

func (s *weightStore) speed() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active <= s.maxFullSpeed {
		return 1
	}
	return float64(s.maxFullSpeed) / float64(s.active)
}
