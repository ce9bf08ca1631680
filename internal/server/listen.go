package server

import (
	"context"
	"net"

	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/internal/upstream"
)

// listen opens a TCP listener whose connections detect that their other end vanished
// without closing the connection.
func listen(address string) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: upstream.KeepAlive(bounds.AcceptedTimeouts),
		Control:         upstream.UserTimeoutControl(bounds.AcceptedTimeouts),
	}
	return config.Listen(context.Background(), "tcp", address)
}
