package server

import (
	"context"
	"net"
	"time"

	"github.com/birchdrift/birchdrift/internal/upstream"
)

// TCP limits of accepted connections: times and a count of probes.
const (
	// keepAliveIdle is the time without received bytes after which a connection is first
	// probed, keepAliveInterval the time between probes, and keepAliveCount the number of
	// unanswered probes after which it is closed: 11 s after its other end went silent.
	// With the defaults a dead connection would hold its descriptor for 2.5 minutes. A
	// caller's connection may be idle for long, so it is probed seldom.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// unackedTimeout is the time for which sent bytes may stay unacknowledged or a caller
	// may read none of them. It exceeds the pauses of a slow reader.
	unackedTimeout = 15 * time.Second
)

// listen opens a TCP listener whose connections detect that their other end vanished
// without closing the connection.
func listen(address string) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         upstream.UserTimeoutControl(unackedTimeout),
	}
	return config.Listen(context.Background(), "tcp", address)
}
