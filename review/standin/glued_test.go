package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["glued-stream"] = runGluedStream }

const (
	gluedReplicas = 4
	gluedEvents   = 20
	eventGap      = 75 * time.Millisecond
	gluedRequests = 400
	gluedGap      = 10 * time.Millisecond
	crashAt       = 2 * time.Second // from the first request
	downFor       = 2 * time.Second
	greyFor       = 4 * time.Second
	greyShare     = 0.42                    // the site's 0.45 less what rounding adds at one replica
	entryLapse    = 3600 * time.Millisecond // three heartbeats
)

// A streamReplica is a replica that can crash, and that can fail a part of its requests.
type streamReplica struct {
	*Replica
	c        *Case
	grey     *atomic.Bool
	requests atomic.Int64
	mu       sync.Mutex
	conns    map[net.Conn]bool
	listener net.Listener
}

func newStreamReplica(c *Case, s *Store, id string, grey *atomic.Bool) (*streamReplica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &streamReplica{c: c, grey: grey, conns: map[net.Conn]bool{}, listener: l}
	r.Replica = &Replica{ID: id, Service: "note-writer", Zone: "a", Model: "m0", Slots: 64, Address: l.Addr().String(), store: s}
	r.Handle = r.answer
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ConnState: func(conn net.Conn, state http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if state == http.StateClosed {
			delete(r.conns, conn)
			return
		}
		r.conns[conn] = true
	}}
	go func() { _ = r.server.Serve(l) }()
	r.Say("ready")
	return r, nil
}

// crash ends the replica as the end of its process does: nothing listens, open connections are reset.
func (r *streamReplica) crash() int {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.conns)
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	return n
}

// answer serves a stream from the event after Last-Event-Id. While the replica is grey it fails 42 in
// 100 requests with an answer of its own, by turns 404 and 500.
func (r *streamReplica) answer(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	_, _ = io.Copy(io.Discard, q.Body)
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	n := r.requests.Add(1)
	r.stamp(w, q)
	if r.grey.Load() && int(float64(n)*greyShare) != int(float64(n-1)*greyShare) {
		status := http.StatusNotFound
		if n%2 == 0 {
			status = http.StatusInternalServerError
		}
		r.c.Note("replica %s: request %s after event %d: fails with %d", r.ID, id, last, status)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, `{"error":"the replica failed"}`)
		return
	}
	r.c.Note("replica %s: request %s after event %d: streams", r.ID, id, last)
	w.Header().Set("Content-Type", "text/event-stream")
	for k := last + 1; k <= gluedEvents; k++ {
		if _, err := io.WriteString(w, event(k, fmt.Sprintf("piece %d of %s", k, q.URL.Path))); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(eventGap)
	}
}

// runGluedStream: a quarter of the replicas crash while all fail a part of their requests.
func runGluedStream(c *Case) (bool, error) {
	store, err := NewStore()
	if err != nil {
		return false, err
	}
	store.Put("op/config", config(1))
	var grey atomic.Bool
	var replicas []*streamReplica
	for i := range gluedReplicas {
		r, err := newStreamReplica(c, store, fmt.Sprintf("i-%08x", 0x7f3a0000+i), &grey)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
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
	if c.Trouble {
		time.AfterFunc(crashAt, func() {
			grey.Store(true)
			c.Note("all replicas fail 42 in 100 requests from now on, for %v", greyFor)
			time.AfterFunc(greyFor, func() { grey.Store(false) })
			n := replicas[0].crash()
			c.Note("replica %s crashes with %d open connections, for %v", replicas[0].ID, n, downFor)
			time.AfterFunc(downFor, func() { _, _ = newStreamReplica(c, store, "i-7f3affff", &grey) })
			time.AfterFunc(entryLapse, func() { store.Remove("servers/" + replicas[0].ID) })
		})
	}
	var wait sync.WaitGroup
	var whole, wrong, other atomic.Int64
	for k := range gluedRequests {
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(k))
			status, body, err := sendStream(fleet.Instances[k%2].Front, id)
			complete := status == http.StatusOK && err == nil
			switch {
			case complete && body == wholeStream("/note/"+id):
				whole.Add(1)
			case complete:
				wrong.Add(1)
				c.Note("client: request %s: status 200, the answer ends as complete, but it isn't: %d of %d events, ending %q", id, strings.Count(body, "id: "), gluedEvents, body[max(0, len(body)-60):])
			default:
				other.Add(1)
				c.Note("client: request %s: status %d, %d events, %v", id, status, strings.Count(body, "id: "), err)
			}
		}()
		time.Sleep(gluedGap)
	}
	wait.Wait()
	c.Note("%d requests: %d whole streams, %d failed or cut visibly, %d ended as complete without being so", gluedRequests, whole.Load(), other.Load(), wrong.Load())
	if whole.Load() < gluedRequests/4 {
		return false, fmt.Errorf("too few streams were served")
	}
	return wrong.Load() == 0, nil
}

func wholeStream(path string) string {
	out := ""
	for k := 1; k <= gluedEvents; k++ {
		out += event(k, fmt.Sprintf("piece %d of %s", k, path))
	}
	return out
}

// sendStream sends one request of the resumable route and returns the status and the body of the
// answer; err is nil if the answer ended as complete.
func sendStream(front, id string) (status int, body string, err error) {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = fmt.Fprintf(conn, "POST /note/%s HTTP/1.1\r\nHost: depot.example\r\nRequest-Id: %s\r\nModel: m0\r\nToken-Counts: 826,290\r\nPrompt-Prefix: 5c1e07a2:198,%s:628\r\nDeadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody", id, id, id[8:])
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}
