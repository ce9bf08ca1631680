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

// pieceOverhead is the size of the headers of a piece of data that is sent alone, in bytes.
const pieceOverhead = 66

// Pass waits until a piece of n bytes has passed, with its headers.
func (b *Bandwidth) Pass(n int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	now := time.Now()
	if b.free.Before(now) {
		b.free = now
	}
	b.free = b.free.Add(time.Duration(float64(n+pieceOverhead) / b.rate * float64(time.Second)))
	wait := b.free.Sub(now)
	b.mu.Unlock()
	time.Sleep(wait)
}
