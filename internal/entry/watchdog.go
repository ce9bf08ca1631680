package entry

import (
	"context"
	"sync/atomic"
	"time"
)

// A watchdog turns an upstream's silence into a broken attempt.
type watchdog struct {
	timer *time.Timer
	span  time.Duration
	fired atomic.Bool
}

// newWatchdog returns a watchdog that cancels after span without a sign of life.
func newWatchdog(span time.Duration, cancel context.CancelFunc) *watchdog {
	w := &watchdog{span: span}
	w.timer = time.AfterFunc(span, func() {
		w.fired.Store(true)
		cancel()
	})
	return w
}

// alive notes a sign of life.
func (w *watchdog) alive() { w.timer.Reset(w.span) }

// barked reports whether the silence was too long.
func (w *watchdog) barked() bool { return w.fired.Load() }

func (w *watchdog) stop() { w.timer.Stop() }
