package entry

import (
	"context"
	"sync/atomic"
	"time"
)

// A Watchdog cancels an attempt whose upstream is silent for longer than the timeout.
type Watchdog struct {
	timer   *time.Timer
	timeout time.Duration
	fired   atomic.Bool
}

// NewWatchdog returns a running watchdog that calls cancel when timeout passes without a
// Reset.
func NewWatchdog(timeout time.Duration, cancel context.CancelFunc) *Watchdog {
	w := &Watchdog{timeout: timeout}
	w.timer = time.AfterFunc(timeout, func() {
		w.fired.Store(true)
		cancel()
	})
	return w
}

// Reset restarts the timeout.
func (w *Watchdog) Reset() { w.timer.Reset(w.timeout) }

// Fired reports whether the timeout passed and the attempt was canceled.
func (w *Watchdog) Fired() bool { return w.fired.Load() }

// Stop stops the watchdog.
func (w *Watchdog) Stop() { w.timer.Stop() }
