package server

import (
	"context"
	"net"

	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/internal/upstream"
)

// listen opens a TCP listener whose connections detect that their other end vanished
// without closing the connection.
func listen(address string) (*net.TCPListener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: upstream.KeepAlive(bounds.AcceptedTimeouts),
		Control:         upstream.UserTimeoutControl(bounds.AcceptedTimeouts),
	}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}
