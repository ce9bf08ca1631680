package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/instance"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/internal/environment"
	"github.com/birchdrift/birchdrift/internal/forward"
	"github.com/birchdrift/birchdrift/internal/upstream/proxytest"
)

// A relayPair is two instances in front of the same replicas, of which only one reaches them.
type relayPair struct {
	cut   *testInstance // its links to the replicas are broken
	peer  *testInstance
	links map[string]string // addresses at which the cut instance tries to reach the replicas, by name
}

// A brokenLink returns the address at which an instance tries to reach a replica.
type brokenLink func(t *testing.T) string

// newRelayPair starts two instances in front of a replica for each of the answers.
func newRelayPair(t *testing.T, link brokenLink, overrides map[string]string, answers ...http.HandlerFunc) *relayPair {
	t.Helper()
	p := &relayPair{cut: &testInstance{t: t}, peer: &testInstance{t: t}, links: map[string]string{}}
	var direct, broken []gossip.Listed
	for i, answer := range answers {
		r := &replica{name: fmt.Sprintf("r%d", i), answer: answer}
		r.server = httptest.NewServer(r)
		t.Cleanup(r.server.Close)
		address := r.server.Listener.Addr().String()
		p.links[r.name] = link(t)
		direct = append(direct, listedReplica(r.name, address))
		broken = append(broken, listedReplica(r.name, p.links[r.name]))
		p.cut.replicas = append(p.cut.replicas, r)
		p.peer.replicas = append(p.peer.replicas, r)
	}
	p.peer.start(relaySettings("i2", overrides), environment.Change{Whole: true, Version: 5, Listed: direct}, true)
	p.cut.start(relaySettings("i1", overrides), environment.Change{Whole: true, Version: 5, Listed: broken}, true)
	p.introduce()
	return p
}

func listedReplica(name, address string) gossip.Listed {
	return gossip.Listed{
		Name: name, Kind: gossip.Upstream, Zone: "z", Version: 4,
		Announced: &pool.Announcement{Service: "app", Address: address, Zone: "z", Slots: 8},
	}
}

// relaySettings returns the settings of an instance that exchanges often.
func relaySettings(name string, overrides map[string]string) map[string]string {
	set := map[string]string{"name": name, "mesh-every": "50ms", "exchange-every": "50ms"}
	for key, value := range overrides {
		set[key] = value
	}
	return set
}

// introduce lets the instances exchange records, now that each has its own list of replicas, and
// waits until they know each other.
func (p *relayPair) introduce() {
	t := p.cut.t
	t.Helper()
	_, seed, _ := p.peer.server.Addresses()
	p.cut.server.shell.ChangeOptions(instance.OptionsChanged{Options: p.cut.server.opt, Seeds: []string{seed}})
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		if p.cut.peers() == 1 && p.peer.peers() == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, r := range p.cut.status().Upstreams {
		if r.Address != p.links[r.Name] {
			t.Fatalf("the instance reaches %s at %s", r.Name, r.Address)
		}
	}
}

func (i *testInstance) status() instance.Status {
	i.t.Helper()
	st, err := i.server.shell.Status(context.Background())
	if err != nil {
		i.t.Fatal(err)
	}
	return st
}

func (i *testInstance) peers() int { return len(i.status().Peers) }

// Guards against calls that end at an instance without links to the replicas, although a peer
// reaches them.
func TestCallsAreRelayedByAPeer(t *testing.T) {
	for name, link := range map[string]brokenLink{"connecting hangs": proxytest.Unresponsive, "connections are refused": proxytest.Refusing} {
		for _, host := range []string{"again", "once", "stream"} {
			t.Run(name+", "+host, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				p := newRelayPair(t, link, nil, answerOK("whole"))
				for range 2 { // the first call finds that the link is broken
					r := p.cut.send(http.MethodPost, host, "/a/b?c=d", "body")
					is.NoErr(r.err)
					is.Equal(r.status, 200)
					is.Equal(r.body, "whole")
					for name := range r.header {
						is.True(!strings.HasPrefix(name, "Birchdrift-Relay")) // the caller sees nothing of the relay
					}
				}
				is.Equal(p.peer.requests(), 2)
				got := p.peer.replicas[0].seen[1]
				is.Equal(got.Method, http.MethodPost)
				is.Equal(got.RequestURI, "/a/b?c=d")
				is.Equal(got.Host, host)
				is.Equal(got.Header.Get(forward.OwnFormat.CallID), "call-1")
				is.Equal(got.Header.Get(forward.OwnFormat.Expect), "r0")
				is.True(got.Header.Get(forward.OwnFormat.Deadline) != "")
				for name := range got.Header {
					is.True(!strings.HasPrefix(name, "Birchdrift-Relay") && !strings.HasPrefix(name, "Birchdrift-Peer"))
				}
			})
		}
	}
}

// TestRelayedAnswers checks what callers get for each behavior of the first of two replicas, and
// how often the call is sent: as without a relay.
func TestRelayedAnswers(t *testing.T) {
	cases := []struct {
		name   string
		first  http.HandlerFunc
		host   string
		status int
		runs   int
	}{
		{"cut", cutAnswer, "again", 200, 2},
		{"cut, at most once", cutAnswer, "once", 502, 1},
		{"dropped", dropConnection, "again", 200, 2},
		{"dropped, at most once", dropConnection, "once", 502, 1},
		{"not run, at most once", answerNotRun(503), "once", 200, 2},
		{"misdirected, at most once", answerNotRun(421), "once", 200, 2},
		{"its own failure", answerStatus(500), "again", 200, 2},
		{"its own failure, at most once", answerStatus(500), "once", 500, 1},
		{"its own refusal", answerStatus(404), "again", 404, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			first := make(chan struct{}, 1)
			first <- struct{}{}
			answer := func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-first:
					c.first(w, r)
				default:
					answerOK("good")(w, r)
				}
			}
			p := newRelayPair(t, proxytest.Refusing, nil, answer, answer)
			r := p.cut.send(http.MethodPost, c.host, "/", "body")
			is.NoErr(r.err)
			is.Equal(r.status, c.status)
			is.Equal(p.peer.requests(), c.runs)
		})
	}
}

// TestRelayedStreamsArriveEventByEvent checks that each event of a relayed stream reaches the
// caller before the next one is sent, and that the replica notices when the caller leaves.
func TestRelayedStreamsArriveEventByEvent(t *testing.T) {
	is := is.New(t)
	next := make(chan struct{})
	gone := make(chan struct{})
	p := newRelayPair(t, proxytest.Refusing, nil, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(forward.OwnFormat.Signature, "signed")
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; ; n++ {
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-next:
			case <-r.Context().Done():
				close(gone)
				return
			}
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.cut.address+"/", strings.NewReader("body"))
	is.NoErr(err)
	req.Host = "stream"
	req.Header.Set(forward.OwnFormat.CallID, "call-1")
	resp, err := http.DefaultTransport.RoundTrip(req)
	is.NoErr(err)
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	for n := 1; n <= 3; n++ {
		line, err := lines.ReadString('\n')
		is.NoErr(err)
		is.Equal(line, fmt.Sprintf("id: %d\n", n))
		for range 2 {
			_, err = lines.ReadString('\n')
			is.NoErr(err)
		}
		next <- struct{}{}
	}
	cancel()
	select {
	case <-gone:
	case <-time.After(5 * time.Second):
		t.Fatal("the replica did not notice that the caller left")
	}
}

// TestRelayedBodiesAreStreamed checks that a long body passes an instance that relays it.
func TestRelayedBodiesAreStreamed(t *testing.T) {
	is := is.New(t)
	p := newRelayPair(t, proxytest.Refusing, nil, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		answerOK(fmt.Sprint(n))(w, r)
	})
	const size = 3 << 20
	r := p.cut.send(http.MethodPost, "once", "/", strings.Repeat("x", size))
	is.NoErr(r.err)
	is.Equal(r.status, 200)
	is.Equal(r.body, fmt.Sprint(size))
}

// TestOnlyInstancesMayHaveAttemptsRelayed checks that an instance relays nothing for a program
// that lacks the shared key, or that is no instance of the fleet.
func TestOnlyInstancesMayHaveAttemptsRelayed(t *testing.T) {
	is := is.New(t)
	p := newRelayPair(t, proxytest.Refusing, map[string]string{"peer-key": "secret"}, answerOK("whole"))
	_, peers, _ := p.peer.server.Addresses()
	for _, c := range []struct{ from, key string }{{"i1", ""}, {"i1", "wrong"}, {"stranger", "secret"}} {
		req, err := http.NewRequest(http.MethodPost, "http://"+peers+"/", nil)
		is.NoErr(err)
		for name, value := range map[string]string{
			"Birchdrift-Relay-Replica": "r0", "Birchdrift-Relay-From": c.from, "Birchdrift-Relay-Fingerprint": "1",
			"Birchdrift-Relay-Repeatable": "true", "Birchdrift-Peer-Key": c.key,
		} {
			req.Header.Set(name, value)
		}
		resp, err := http.DefaultTransport.RoundTrip(req)
		is.NoErr(err)
		_ = resp.Body.Close()
		is.True(resp.StatusCode >= 400)
	}
	is.Equal(p.peer.requests(), 0)
	is.Equal(p.cut.send(http.MethodPost, "once", "/", "body").status, 200) // a peer's own attempt is relayed
}

// TestAStopWaitsForRelayedAttempts checks that a planned stop of the instance that relays an
// attempt does not cut the attempt off.
func TestAStopWaitsForRelayedAttempts(t *testing.T) {
	is := is.New(t)
	started, finish := make(chan struct{}), make(chan struct{})
	p := newRelayPair(t, proxytest.Refusing, nil, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-finish
		answerOK("whole")(w, r)
	})
	result := make(chan callResult)
	go func() { result <- p.cut.send(http.MethodPost, "once", "/", "body") }()
	<-started
	p.peer.server.shell.Stop()
	time.Sleep(300 * time.Millisecond)
	close(finish)
	r := <-result
	is.NoErr(r.err)
	is.Equal(r.status, 200)
}

// TestCallsThatNoInstanceCanServeAreRefusedAtOnce checks that calls are refused within a moment,
// and not handed from one instance to the next, while no instance reaches a replica.
func TestCallsThatNoInstanceCanServeAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	p := newRelayPair(t, proxytest.Refusing, nil, answerOK("whole"))
	p.peer.replicas[0].server.Close()
	for range 3 {
		start := time.Now()
		r := p.cut.send(http.MethodPost, "once", "/", "body")
		is.NoErr(r.err)
		is.Equal(r.status, 503)
		is.True(r.header.Get("Retry-After") != "")
		is.True(time.Since(start) < time.Second)
	}
}
