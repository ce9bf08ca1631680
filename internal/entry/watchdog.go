package entry

import (
	"context"
	"sync/atomic"
	"time"
)

// A Watchdog turns an upstream's silence into a broken attempt.
type Watchdog struct {
	timer   *time.Timer
	timeout time.Duration
	fired   atomic.Bool
}

// NewWatchdog returns a watchdog that cancels after span without a sign of life.
func NewWatchdog(span time.Duration, cancel context.CancelFunc) *Watchdog {
	w := &Watchdog{timeout: span}
	w.timer = time.AfterFunc(span, func() {
		w.fired.Store(true)
		cancel()
	})
	return w
}

// Reset notes a sign of life.
func (w *Watchdog) Reset() { w.timer.Reset(w.timeout) }

// Fired reports whether the upstream was silent for too long.
func (w *Watchdog) Fired() bool { return w.fired.Load() }

// Stop ends the watch.
func (w *Watchdog) Stop() { w.timer.Stop() }
