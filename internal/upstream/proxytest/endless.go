package proxytest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// endlessBuffered is the most bytes that an EndlessServer may have sent beyond those that its client read.
const endlessBuffered = 16 << 20

// An EndlessForm is the form of an answer that an EndlessServer sends.
type EndlessForm struct {
	Name string
	// Begin is sent once, then Repeat until the connection is closed.
	Begin, Repeat string
	// Framing is the number of bytes on the wire for each byte of the body; 0 means one.
	Framing int64
}

// MaxSent returns the most bytes that an EndlessServer may have sent to a client that takes bodies of limit bytes.
func (f EndlessForm) MaxSent(limit int64) int64 { return limit*max(1, f.Framing) + endlessBuffered }

// EndlessForms returns answers without end: in the head, and in bodies of each framing and kind of status.
func EndlessForms() []EndlessForm {
	const ok, chunked = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("z", 1<<16)
	chunk := "10000\r\n" + long + "\r\n"
	return []EndlessForm{
		{"a body in chunks", ok + chunked, chunk, 0},
		{"a body in small chunks", ok + chunked, strings.Repeat("1\r\nz\r\n", 1000), 6},
		{"a body with a huge length", ok + "Content-Length: 1000000000000\r\n\r\n", long, 0},
		{"a body without a length", ok + "Connection: close\r\n\r\n", long, 0},
		{"blanks", ok + chunked, "10000\r\n" + strings.Repeat(" ", 1<<16) + "\r\n", 0},
		{"the body of a failure", "HTTP/1.1 500 Failed\r\n" + chunked, chunk, 0},
		{"the body of a rejection", "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\n" + chunked, chunk, 0},
		{"lines of a head", ok, strings.Repeat("More: 1\r\n", 1000), 0},
		{"one line of a head", ok + "Long: ", long, 0},
		{"interim answers", "", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000), 0},
		{"a trailer", ok + chunked + "0\r\n", strings.Repeat("More: 1\r\n", 1000), 0},
		{"no answer", "", long, 0},
	}
}

// An EndlessServer answers each request without end.
type EndlessServer struct {
	listener net.Listener
	sent     atomic.Int64 // bytes
}

// NewEndlessServer starts a server that ends with the test.
func NewEndlessServer(t *testing.T, form EndlessForm) *EndlessServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &EndlessServer{listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, form)
		}
	}()
	return s
}

// Address returns the address of the server (IP:port).
func (s *EndlessServer) Address() string { return s.listener.Addr().String() }

// Sent returns how many bytes the server has sent.
func (s *EndlessServer) Sent() int64 { return s.sent.Load() }

func (s *EndlessServer) serve(conn net.Conn, form EndlessForm) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	n, err := io.WriteString(conn, form.Begin)
	s.sent.Add(int64(n))
	for err == nil {
		n, err = io.WriteString(conn, form.Repeat)
		s.sent.Add(int64(n))
	}
}
