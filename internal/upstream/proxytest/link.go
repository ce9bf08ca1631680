package proxytest

import (
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A LinkFault is the way in which a Link fails.
type LinkFault int

// The faults.
const (
	LinkWorks   LinkFault = iota
	LinkHangs             // nothing passes, and attempts to connect get no answer
	LinkResets            // open connections are reset, new ones are refused
	LinkRefuses           // open connections live on, new ones are refused
)

// String returns the fault as tests print it.
func (f LinkFault) String() string { return [...]string{"works", "hangs", "resets", "refuses"}[f] }

// A Link is the network path from one process to a target, which can fail. It forwards connections.
type Link struct {
	t       *testing.T
	address string // IP:port
	target  string // IP:port

	// to and from limit the bytes to the target and from it; nil: there is no limit. They are set
	// before the first connection.
	to, from *Bandwidth

	mu       sync.Mutex
	resumed  *sync.Cond
	fault    LinkFault
	closed   bool
	listener net.Listener          // nil while connecting fails
	conns    map[*net.TCPConn]bool // open connections, at both ends
	blocker  int                   // listening socket whose queue is full, -1 if there is none
	blocked  []net.Conn            // connections that fill the queue of blocker
	last     time.Time             // when a connection was last accepted
}

// NewLink returns a working link to target (IP:port) that lasts until the test ends.
func NewLink(t *testing.T, target string) *Link {
	t.Helper()
	l := &Link{t: t, address: ReserveAddress(t), target: target, conns: map[*net.TCPConn]bool{}, blocker: -1}
	l.resumed = sync.NewCond(&l.mu)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listen()
	t.Cleanup(l.close)
	return l
}

// Limit limits the bytes that pass to the target and from it. It is called before the first
// connection.
func (l *Link) Limit(to, from *Bandwidth) { l.to, l.from = to, from }

// Address returns the address (IP:port) at which the target is reached over the link.
func (l *Link) Address() string { return l.address }

// LastConnection returns when a connection over the link was last established.
func (l *Link) LastConnection() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

// SetFault makes the link fail, or work again.
func (l *Link) SetFault(fault LinkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || fault == l.fault {
		return
	}
	l.unlisten()
	l.fault = fault
	switch fault {
	case LinkWorks:
		l.listen()
	case LinkHangs:
		l.block()
	case LinkResets:
		l.reset()
	}
	l.resumed.Broadcast()
}

// listen accepts connections.
func (l *Link) listen() {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		l.t.Error(err)
		return
	}
	l.listener = listener
	go l.serve(listener)
}

// unlisten stops accepting, or blocking, connections.
func (l *Link) unlisten() {
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
	if l.blocker >= 0 {
		_ = unix.Close(l.blocker)
		l.blocker = -1
	}
	for _, conn := range l.blocked {
		_ = conn.Close()
	}
	l.blocked = nil
}

// block lets attempts to connect go unanswered.
func (l *Link) block() {
	fd, err := newSocket(portOf(l.address))
	if err == nil {
		l.blocker = fd
		err = unix.Listen(fd, 0)
	}
	if err != nil {
		l.t.Error(err)
		return
	}
	l.blocked = fillQueue(l.address)
}

// portOf returns the port of an address (IP:port).
func portOf(address string) int { return int(netip.MustParseAddrPort(address).Port()) }

// reset resets all open connections.
func (l *Link) reset() {
	for conn := range l.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	clear(l.conns)
}

func (l *Link) serve(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		l.connect(client.(*net.TCPConn), server.(*net.TCPConn))
	}
}

// connect passes bytes between two connections in both directions.
func (l *Link) connect(client, server *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.fault == LinkResets {
		_ = client.Close()
		_ = server.Close()
		return
	}
	l.last = time.Now()
	l.conns[client] = true
	l.conns[server] = true
	go l.copy(client, server, l.to)
	go l.copy(server, client, l.from)
}

// linkBuffer is the size of the pieces in which a link passes bytes.
const linkBuffer = 4 << 10

// copy copies bytes from one connection to another while the link does not hang.
func (l *Link) copy(from, to *net.TCPConn, limit *Bandwidth) {
	defer l.forget(from)
	buf := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buf)
		limit.Pass(n)
		if !l.awaitPassage(to) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// awaitPassage waits until the link passes bytes, and reports whether a connection is still open.
func (l *Link) awaitPassage(conn *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.fault == LinkHangs && !l.closed {
		l.resumed.Wait()
	}
	return !l.closed && l.conns[conn]
}

// forget closes a connection that is not read any more.
func (l *Link) forget(conn *net.TCPConn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

func (l *Link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.unlisten()
	l.reset()
	l.resumed.Broadcast()
}
