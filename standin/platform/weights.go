package platform

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// weightStore is the weight store: so many loads begun a second, and so many at
// once at full speed; more share that speed.
type weightStore struct {
	startLimiter *rate.Limiter
	maxFullSpeed int

	mu     sync.Mutex
	active int
}

func newWeights(l Limits) *weightStore {
	return &weightStore{startLimiter: rate.NewLimiter(rate.Limit(l.LoadsPerSecond), 1), maxFullSpeed: l.LoadsAtOnce}
}

// loadTick is how often the speed of a load is looked at anew.
const loadTick = 20 * time.Millisecond

// load answers when a load that takes `time` at full speed is through.
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
