package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["leaving-client"] = runLeavingClient }

const (
	leavingRequests = 200
	leavingGap      = 20 * time.Millisecond
	leavingEvery    = 4 // a share of 0.25
	leaveAfter      = 40 * time.Millisecond
	deskWork        = 80 * time.Millisecond
)

// runLeavingClient: a part of the clients of an unsafe route leave while their request is at work: they
// end their side of the connection and read what still comes until the other side ends it too.
func runLeavingClient(c *Case) (bool, error) {
	store, err := NewStore()
	if err != nil {
		return false, err
	}
	store.Put("op/config", config(1))
	for i := range 3 {
		var r *Replica
		r, err = NewReplica(store, fmt.Sprintf("i-%08x", 0x5a000000+i), "stock-desk", "a", "", func(w http.ResponseWriter, q *http.Request) {
			id := q.Header.Get("Request-Id")
			_, _ = io.Copy(io.Discard, q.Body)
			c.Note("replica %s: request %s begins to run", r.ID, id)
			select {
			case <-q.Context().Done():
				c.Note("replica %s: request %s is dropped, its connection closed", r.ID, id)
				panic(http.ErrAbortHandler)
			case <-time.After(deskWork):
			}
			r.stamp(w, q)
			_, _ = io.WriteString(w, "envelope of "+id)
			c.Note("replica %s: request %s has run", r.ID, id)
		})
		if err != nil {
			return false, err
		}
	}
	fleet, err := NewFleet(store.address, c.Folder, []string{"a", "b"})
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	if err := fleet.StartAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var wait sync.WaitGroup
	var served, unsigned, none, failed atomic.Int64
	for k := range leavingRequests {
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(k))
			leaves := c.Trouble && k%leavingEvery == 0
			resp, body, err := sendScan(fleet.Instances[k%2].Front, id, leaves)
			what := fmt.Sprintf("client (leaves %v): request %s", leaves, id)
			switch {
			case err != nil:
				none.Add(1)
				c.Note("%s: no answer: %v", what, err)
			case resp.StatusCode/100 == 2 && resp.Header.Get("Server-Stamp") == "":
				unsigned.Add(1)
				c.Note("%s: success without a signature: status %d, %d bytes", what, resp.StatusCode, len(body))
			case resp.StatusCode/100 == 2 && body == "envelope of "+id:
				served.Add(1)
				c.Note("%s: served", what)
			default:
				failed.Add(1)
				c.Note("%s: status %d", what, resp.StatusCode)
			}
		}()
		time.Sleep(leavingGap)
	}
	wait.Wait()
	c.Note("%d requests: %d served, %d failed, %d without an answer, %d got a success without a signature", leavingRequests, served.Load(), failed.Load(), none.Load(), unsigned.Load())
	if served.Load() < leavingRequests/2 {
		return false, fmt.Errorf("too few requests were served")
	}
	return unsigned.Load() == 0, nil
}

// sendScan sends one request of the unsafe route over a connection of its own and returns the answer.
func sendScan(front, id string, leaves bool) (resp *http.Response, body string, err error) {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = fmt.Fprintf(conn, "POST /scan/2f HTTP/1.1\r\nHost: depot.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nContent-Length: 5\r\n\r\ncrate", id)
	if leaves {
		time.AfterFunc(leaveAfter, func() { _ = conn.(*net.TCPConn).CloseWrite() })
	}
	resp, err = http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", err
	}
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}
