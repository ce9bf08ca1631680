package proxytest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// An AnswerForm is the form of an HTTP answer to calls of the store or of a peer.
type AnswerForm struct {
	Name string
	// Unframed means that only the end of the connection ends the body.
	Unframed bool
	write    func(body string) string
}

// Write returns the bytes of an answer with this body.
func (f AnswerForm) Write(body string) string { return f.write(body) }

// AnswerForms returns the forms of an answer with the given header fields, each of which ends in CR LF.
func AnswerForms(fields string) []AnswerForm {
	head := func(version string) string { return version + " 200 OK\r\n" + fields }
	return []AnswerForm{
		{"a length", false, func(body string) string {
			return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head("HTTP/1.1"), len(body), body)
		}},
		{"chunks", false, func(body string) string {
			return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head("HTTP/1.1"), len(body), body)
		}},
		{"the end of the connection", true, func(body string) string { return head("HTTP/1.1") + "\r\n" + body }},
		{"HTTP/1.0", true, func(body string) string { return head("HTTP/1.0") + "\r\n" + body }},
	}
}

// A CutServer answers each request with the same bytes, up to a place, and closes the connection.
type CutServer struct {
	listener net.Listener
	answer   string
	place    atomic.Int64 // number of bytes that are sent
}

// NewCutServer starts a server that runs until the test ends and sends whole answers.
func NewCutServer(t *testing.T, answer string) *CutServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &CutServer{listener: l, answer: answer}
	s.CutAt(len(answer))
	go s.serve()
	t.Cleanup(func() { _ = l.Close() })
	return s
}

// Address returns the address (IP:port) on which the server listens.
func (s *CutServer) Address() string { return s.listener.Addr().String() }

// CutAt makes answers end after a number of bytes.
func (s *CutServer) CutAt(place int) { s.place.Store(int64(place)) }

func (s *CutServer) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.answerOne(conn)
	}
}

// answerOne answers one request; a client that is gone needs no answer.
func (s *CutServer) answerOne(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, s.answer[:s.place.Load()])
}

// Malformed returns variants of a whole answer whose status, or the name of a field, is not in the form of
// HTTP, by what they are.
func Malformed(answer string) map[string]string {
	out := map[string]string{}
	for _, status := range []string{"000", "099", "600", "999"} {
		out["status "+status] = strings.Replace(answer, " 200 ", " "+status+" ", 1)
	}
	line, rest, _ := strings.Cut(answer, "\r\n")
	for _, name := range []string{"A B", "A ", "A\x01B", "Content-Length "} {
		field := name + ": 1\r\n"
		out[fmt.Sprintf("name %q", name)] = line + "\r\n" + field + rest
		out[fmt.Sprintf("name %q in an interim answer", name)] = "HTTP/1.1 103 Early Hints\r\nLink: </z>\r\n" + field + "\r\n" + answer
	}
	return out
}
