// Package proxytest provides a proxy on the loopback for tests whose open connections can
// be made to go silent: what is sent on them is taken and lost, and nothing comes back.
package proxytest

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// A Proxy passes connections on to a target.
type Proxy struct {
	listener net.Listener
	target   string // IP:port

	mu       sync.Mutex
	open     []*atomic.Bool // of each connection: whether it is silent
	conns    []net.Conn
	accepted int
}

// New returns a proxy before target that lives as long as the test.
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

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Silence has all open connections go silent for good. New ones work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, silent := range p.open {
		silent.Store(true)
	}
}

// Accepted returns how many connections were opened.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

func (p *Proxy) serve() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		silent := new(atomic.Bool)
		p.mu.Lock()
		p.accepted++
		p.open = append(p.open, silent)
		p.conns = append(p.conns, from, to)
		p.mu.Unlock()
		go pass(from, to, silent)
		go pass(to, from, silent)
	}
}

// pass copies what comes from one end to the other until the connection is silent.
func pass(from, to net.Conn, silent *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if silent.Load() {
			_, _ = io.Copy(io.Discard, from) // taken and lost
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
