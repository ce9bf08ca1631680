// Package proxytest provides a loopback proxy for tests. Its open connections can be made
// silent: bytes sent on them are accepted and discarded, and nothing is returned.
package proxytest

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// A Proxy forwards connections to a target.
type Proxy struct {
	listener net.Listener
	target   string // IP:port

	mu       sync.Mutex
	silenced []*atomic.Bool // for each connection, whether it is silent
	conns    []net.Conn
	accepted int
}

// New starts a proxy in front of target (IP:port) that runs until the test ends.
func New(t *testing.T, target string) *Proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{listener: l, target: target}
	go p.serve()
	t.Cleanup(p.close)
	return p
}

// Address returns the address (IP:port) on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Silence makes all open connections silent permanently. New connections work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, silent := range p.silenced {
		silent.Store(true)
	}
}

// Accepted returns the number of connections that the proxy has accepted.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

func (p *Proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		silent := new(atomic.Bool)
		p.mu.Lock()
		p.accepted++
		p.silenced = append(p.silenced, silent)
		p.conns = append(p.conns, client, server)
		p.mu.Unlock()
		go copyUntilSilent(client, server, silent)
		go copyUntilSilent(server, client, silent)
	}
}

// copyUntilSilent copies bytes from one connection to another until silent is set.
func copyUntilSilent(from, to net.Conn, silent *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if silent.Load() {
			_, _ = io.Copy(io.Discard, from) // accept and discard
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func (p *Proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}
