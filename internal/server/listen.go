package server

import (
	"context"
	"net"
	"time"

	"github.com/birchdrift/birchdrift/internal/upstream"
)

// Bounds of connections that others open.
const (
	// keepAliveIdle and acceptedEvery are when a connection on which nothing comes is
	// probed first, and how often then; acceptedCount is after how many probes without
	// an answer it is closed: 11 s after its other end went silent. Without them, one
	// that never answers again holds its descriptor for 2.5 minutes: a caller's
	// connection may rest for long, and is probed seldom.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// unackedTimeout is the time for which sent bytes may stay unacknowledged, or a
	// caller may read none of them: above the pauses of a slow reader.
	unackedTimeout = 15 * time.Second
)

// listen binds a listener whose connections notice that their other end is gone without
// any message.
func listen(address string) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         upstream.UserTimeoutControl(unackedTimeout),
	}
	return config.Listen(context.Background(), "tcp", address)
}
