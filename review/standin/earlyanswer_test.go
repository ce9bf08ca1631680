package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["early-answer"] = runEarlyAnswer }

const (
	longBody   = 1 << 20 // within max_body_bytes (4 MiB)
	pieceBytes = 16 << 10
	pieceGap   = 4 * time.Millisecond // a client at 4 MB a second
	readEarly  = 32 << 10             // what the replica reads before it answers
	readLater  = 150 * time.Millisecond
	events     = 10
	requests   = 260
	requestGap = 50 * time.Millisecond
	// Of two replicas the first (a share of 0.5) answers early, from its fourth request on, one
	// request with a length and one in chunks.
	firstEarly = 4
	// earlyShare is the largest share of its answers that may be early.
	earlyShare = 0.02
)

// longText returns a body in which each place differs from others.
func longText(seed uint64) []byte {
	r := rand.New(rand.NewPCG(seed, 55))
	out := make([]byte, longBody)
	for i := range out {
		out[i] = byte('a' + r.IntN(26))
	}
	return out
}

// runEarlyAnswer: a replica begins two of its answers before it has read all of a long body, keeps
// the connection and reads on a little later. All other requests, and without the disruption all,
// are answered once the body is read.
func runEarlyAnswer(c *Case) (bool, error) {
	store, err := NewStore()
	if err != nil {
		return false, err
	}
	store.Put("op/config", config(1))
	var mu sync.Mutex
	sent := map[string][]byte{}
	wrong, ran, early := 0, 0, 0
	arrived := 0
	given := map[bool]bool{} // early answers, by whether the request came in chunks
	for i := range 2 {
		var r *Replica
		r, err = NewReplica(store, fmt.Sprintf("i-%08x", 0x7f3a0000+i), "note-writer", "a", "m0", func(w http.ResponseWriter, q *http.Request) {
			id := q.Header.Get("Request-Id")
			_ = http.NewResponseController(w).EnableFullDuplex()
			body := make([]byte, 0, longBody)
			part := make([]byte, readEarly)
			n, _ := io.ReadFull(q.Body, part)
			body = append(body, part[:n]...)
			chunked := q.ContentLength < 0
			mu.Lock()
			if i == 0 {
				arrived++
			}
			isEarly := c.Trouble && i == 0 && arrived >= firstEarly && !given[chunked]
			if isEarly {
				given[chunked] = true
				early++
			}
			mu.Unlock()
			if !isEarly {
				rest, _ := io.ReadAll(q.Body)
				body = append(body, rest...)
			}
			r.stamp(w, q)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, event(1, "piece 1 of "+id))
			_ = http.NewResponseController(w).Flush()
			var readErr error
			if isEarly {
				time.Sleep(readLater)
				var rest []byte
				rest, readErr = io.ReadAll(q.Body)
				body = append(body, rest...)
			}
			mu.Lock()
			want := sent[id]
			at := 0
			for at < len(body) && at < len(want) && body[at] == want[at] {
				at++
			}
			ran++
			if at < len(body) {
				wrong++
				c.Note("replica %s: request %s (chunks %v, answered early %v): %d bytes came, body ended well: %v; byte %d is not the client's", r.ID, id, chunked, isEarly, len(body), readErr == nil, at)
			} else {
				c.Note("replica %s: request %s (chunks %v, answered early %v): %d bytes came as sent, body ended well: %v", r.ID, id, chunked, isEarly, len(body), readErr == nil)
			}
			mu.Unlock()
			if readErr != nil {
				panic(http.ErrAbortHandler)
			}
			for n := 2; n <= events; n++ {
				_, _ = io.WriteString(w, event(n, fmt.Sprintf("piece %d of %s", n, id)))
				_ = http.NewResponseController(w).Flush()
				time.Sleep(10 * time.Millisecond)
			}
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
	for k := range requests {
		id := fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(k))
		body := longText(uint64(k))
		chunked := k%2 == 0
		front := fleet.Instances[k%2].Front
		mu.Lock()
		sent[id] = body
		mu.Unlock()
		wait.Add(1)
		go func() {
			defer wait.Done()
			out := sendLong(front, id, body, chunked)
			c.Note("client: request %s (chunks %v) by %s: %s", id, chunked, front, out)
		}()
		time.Sleep(requestGap)
	}
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	c.Note("%d requests sent, %d reached a replica, %d were answered early; %d had other bytes in the body", requests, ran, early, wrong)
	c.Note("the replica that answers early got %d of them", arrived)
	if ran < requests/2 || c.Trouble && early == 0 {
		return false, fmt.Errorf("too few requests reached a replica")
	}
	if float64(early) > earlyShare*float64(arrived) {
		return false, fmt.Errorf("a larger share of its answers than %v was early", earlyShare)
	}
	return wrong == 0, nil
}

// sendLong sends one streaming request with a long body and returns what came of it.
func sendLong(front, id string, body []byte, chunked bool) string {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
	framing := fmt.Sprintf("Content-Length: %d", len(body))
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	go func() {
		_, _ = fmt.Fprintf(conn, "POST /draft/2f HTTP/1.1\r\nHost: depot.example\r\nRequest-Id: %s\r\nModel: m0\r\nToken-Counts: 9190,50\r\nPrompt-Prefix: 5c1e07a2:6300,%s:2890\r\nDeadline-Ms: 12000\r\n%s\r\n\r\n", id, id[8:], framing)
		for at := 0; at < len(body); at += pieceBytes {
			piece := body[at:min(at+pieceBytes, len(body))]
			if chunked {
				_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece)
			} else {
				_, err = conn.Write(piece)
			}
			if err != nil {
				return
			}
			time.Sleep(pieceGap)
		}
		if chunked {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	var data bytes.Buffer
	_, err = io.Copy(&data, resp.Body)
	whole := err == nil && strings.Count(data.String(), "id: ") == events
	return fmt.Sprintf("status %d, %d events, whole answer: %v (%v)", resp.StatusCode, strings.Count(data.String(), "id: "), whole, err)
}
