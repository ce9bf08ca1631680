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
	cancel  context.CancelFunc
	resetAt atomic.Int64 // when it was last reset, in nanoseconds since started
	started time.Time
	fired   atomic.Bool
}

// NewWatchdog returns a running watchdog that calls cancel when timeout passes without a
// Reset.
func NewWatchdog(timeout time.Duration, cancel context.CancelFunc) *Watchdog {
	w := &Watchdog{timeout: timeout, cancel: cancel, started: time.Now()}
	w.timer = time.AfterFunc(timeout, func() {
		w.fired.Store(true)
		cancel()
	})
	return w
}

// Reset restarts the timeout.
func (w *Watchdog) Reset() {
	w.resetAt.Store(int64(time.Since(w.started)))
	w.timer.Reset(w.timeout)
}

// CancelIfSilent cancels the attempt if its upstream has been silent for at least silence.
func (w *Watchdog) CancelIfSilent(silence time.Duration) {
	if time.Since(w.started)-time.Duration(w.resetAt.Load()) >= silence {
		w.cancel()
	}
}

// Fired reports whether the timeout passed and the attempt was canceled.
func (w *Watchdog) Fired() bool { return w.fired.Load() }

// Stop stops the watchdog.
func (w *Watchdog) Stop() { w.timer.Stop() }
