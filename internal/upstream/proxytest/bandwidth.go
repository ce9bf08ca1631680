package proxytest

import (
	"sync"
	"time"
)

// A Bandwidth limits the bytes that pass in one direction over all links that share it.
type Bandwidth struct {
	mu   sync.Mutex
	rate float64 // bytes a second
	free time.Time
}

// NewBandwidth returns a limit of mbps megabits a second.
func NewBandwidth(mbps float64) *Bandwidth { return &Bandwidth{rate: mbps * 1e6 / 8} }

// Pass waits until n bytes have passed.
func (b *Bandwidth) Pass(n int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	now := time.Now()
	if b.free.Before(now) {
		b.free = now
	}
	b.free = b.free.Add(time.Duration(float64(n) / b.rate * float64(time.Second)))
	wait := b.free.Sub(now)
	b.mu.Unlock()
	time.Sleep(wait)
}
