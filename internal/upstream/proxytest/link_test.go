package proxytest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// echoServer returns the address of a server that returns each line that it receives.
func echoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for lines := bufio.NewScanner(conn); lines.Scan(); {
					if _, err := fmt.Fprintln(conn, lines.Text()); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// echo sends a line and waits for its reply, past the late replies to lines that were sent before.
func echo(conn net.Conn, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	line := fmt.Sprintln(time.Now().UnixNano())
	if _, err := io.WriteString(conn, line); err != nil {
		return err
	}
	for replies := bufio.NewReader(conn); ; {
		reply, err := replies.ReadString('\n')
		if err != nil {
			return err
		}
		if reply == line {
			return nil
		}
	}
}

// TestLinkFaults checks what open and new connections over a link do for each fault, and that the
// link works again after it.
func TestLinkFaults(t *testing.T) {
	const timeout = 300 * time.Millisecond
	timedOut := func(err error) bool { return errors.Is(err, syscall.ETIMEDOUT) || isTimeout(err) }
	reset := func(err error) bool { return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) }
	refused := func(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
	works := func(err error) bool { return err == nil }
	cases := map[LinkFault]struct{ open, dial, after func(error) bool }{
		LinkHangs:   {timedOut, timedOut, works},
		LinkResets:  {reset, refused, reset},
		LinkRefuses: {works, refused, works},
	}
	for fault, want := range cases {
		t.Run(fault.String(), func(t *testing.T) {
			is := is.New(t)
			l := NewLink(t, echoServer(t))
			open, err := net.Dial("tcp", l.Address())
			is.NoErr(err)
			defer open.Close()
			is.NoErr(echo(open, timeout))
			for range 2 {
				l.SetFault(fault)
				is.True(want.open(echo(open, timeout)))
				_, err = net.DialTimeout("tcp", l.Address(), timeout)
				is.True(want.dial(err))

				l.SetFault(LinkWorks)
				is.True(want.after(echo(open, time.Second)))
				again, err := net.Dial("tcp", l.Address())
				is.NoErr(err)
				is.NoErr(echo(again, time.Second))
				is.NoErr(again.Close())
			}
		})
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
