package server

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/internal/forward"
	"github.com/birchdrift/birchdrift/internal/upstream"
	"github.com/birchdrift/birchdrift/internal/upstream/proxytest"
)

const (
	// headerWork tells the replica how long to work before it answers, in milliseconds.
	headerWork = "Test-Work"
	// stopDelay and stopLimit are the settings of instances that are stopped.
	stopDelay = 400 * time.Millisecond
	stopLimit = 1200 * time.Millisecond
	// longestWork exceeds what is left of a stop once no more calls are accepted.
	longestWork = stopLimit
	stopCallers = 24
	// callsOfWarmUp is the number of small calls before those of the test.
	callsOfWarmUp = 100
	// callsBefore is the time for which callers send calls before the stop.
	callsBefore = 300 * time.Millisecond
)

// A workingReplica works as long as requests say and keeps which it got.
type workingReplica struct {
	mu  sync.Mutex
	got map[string]int // by identifier
}

// ServeHTTP implements http.Handler. A stream has its first event at once.
func (w *workingReplica) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	w.got[r.Header.Get(forward.OwnFormat.CallID)]++
	w.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	work, _ := strconv.Atoi(r.Header.Get(headerWork))
	out.Header().Set(forward.OwnFormat.Signature, "signed")
	if isStream(r.Host) {
		out.Header().Set("Content-Type", forward.OwnFormat.StreamType)
		_, _ = io.WriteString(out, wholeStream(1))
		_ = http.NewResponseController(out).Flush()
	}
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	if isStream(r.Host) {
		_, _ = io.WriteString(out, strings.TrimPrefix(wholeStream(2), wholeStream(1)))
		return
	}
	_, _ = io.WriteString(out, "whole")
}

func (w *workingReplica) requests(call string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got[call]
}

// pausedBody is a body that its caller sends in two parts, with a pause between them.
func pausedBody(size int, pause time.Duration) io.Reader {
	return io.MultiReader(strings.NewReader(strings.Repeat("z", size/2)), &pausingReader{pause: pause}, strings.NewReader(strings.Repeat("z", size/2)))
}

// A pausingReader ends after a pause.
type pausingReader struct{ pause time.Duration }

// Read implements io.Reader.
func (p *pausingReader) Read([]byte) (int, error) {
	time.Sleep(p.pause)
	return 0, io.EOF
}

// A stopOutcome is what the caller of one call got.
type stopOutcome struct {
	call, host string
	status     int // 0 if there was no answer
	whole      bool
	err        error
}

// check checks what the caller of a call got that reached replicas this often.
func (o stopOutcome) check(t *testing.T, requests int) {
	t.Helper()
	if requests > 0 && o.status == 0 {
		t.Errorf("%s: passed on, no answer: %v", o.host, o.err)
	}
	if o.status == http.StatusOK && o.err == nil && !o.whole {
		t.Errorf("%s: a part that looks whole", o.host)
	}
	if (o.host == "once" || o.host == "brief") && requests > 1 {
		t.Errorf("%s: sent %d times", o.host, requests)
	}
}

// sendWhileStopping sends a random call over a kept connection.
func sendWhileStopping(client *http.Client, address, call string, random *rand.Rand) stopOutcome {
	hosts := []string{"again", "once", "stream", "brief"}
	o := stopOutcome{call: call, host: hosts[random.IntN(len(hosts))]}
	var body io.Reader = strings.NewReader("body")
	switch random.IntN(8) {
	case 0:
		body = pausedBody(100, time.Duration(random.Int64N(int64(stopLimit))))
	case 1:
		body = pausedBody(1<<20, time.Duration(random.Int64N(int64(stopLimit))))
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", body)
	if err != nil {
		o.err = err
		return o
	}
	req.GetBody = nil
	req.Host = o.host
	work := random.Int64N(longestWork.Milliseconds())
	if random.IntN(2) == 0 {
		work /= 20
	}
	req.Header.Set(headerWork, fmt.Sprint(work))
	req.Header.Set(forward.OwnFormat.CallID, call)
	req.Header.Set(forward.OwnFormat.Deadline, "4000")
	resp, err := client.Do(req)
	if err != nil {
		o.err = err
		return o
	}
	defer resp.Body.Close()
	o.status = resp.StatusCode
	data, err := io.ReadAll(resp.Body)
	o.err = err
	o.whole = err == nil && (string(data) == "whole" || string(data) == wholeStream(2))
	return o
}

// callUntilStopped sends calls over kept connections until no more can be established, and returns what
// their callers got.
func callUntilStopped(address, name string, seed uint64) []stopOutcome {
	var mu sync.Mutex
	var out []stopOutcome
	var wait sync.WaitGroup
	for n := range stopCallers {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(n)))
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			for k := 0; ; k++ {
				o := sendWhileStopping(client, address, fmt.Sprintf("%s-%d-%d", name, n, k), random)
				mu.Lock()
				out = append(out, o)
				mu.Unlock()
				if upstream.ConnectionRefused(o.err) {
					return
				}
				time.Sleep(time.Duration(random.Int64N(int64(20 * time.Millisecond))))
			}
		})
	}
	wait.Wait()
	return out
}

// Guards against calls that are passed on during a planned stop and end without an answer, or with part of one
// that looks whole, and against calls that may run once only and are sent twice: small calls, uploads that are still
// being sent, streams, calls that are relayed for a peer or by one, and stops that overlap.
func TestCallsDuringAPlannedStopGetAnAnswer(t *testing.T) {
	overrides := map[string]string{"stop-delay": stopDelay.String(), "stop-limit": stopLimit.String()}
	for _, c := range []struct {
		name            string
		relayed         bool
		stopped, second string // instances
	}{
		{"direct", false, "own", ""},
		{"the instance of the callers, relayed by a peer", true, "cut", ""},
		{"a peer that relays", true, "peer", ""},
		{"the peer, then the instance of the callers", true, "peer", "cut"},
		{"the instance of the callers, then the peer", true, "cut", "peer"},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				r := &workingReplica{got: map[string]int{}}
				instances := map[string]*testInstance{}
				var own *testInstance
				answers := slices.Repeat([]http.HandlerFunc{r.ServeHTTP}, cutReplicas)
				if c.relayed {
					p := newRelayPair(t, proxytest.Refusing, overrides, answers...)
					own, instances = p.cut, map[string]*testInstance{"cut": p.cut, "peer": p.peer}
				} else {
					own = newTestInstanceWith(t, overrides, false, answers...)
					instances["own"] = own
				}
				for range callsOfWarmUp { // an instance sends few calls to replicas that have answered none
					own.send(http.MethodPost, "again", "/", "body")
				}
				go func() {
					time.Sleep(callsBefore)
					instances[c.stopped].server.shell.Stop()
					time.Sleep(stopDelay / 2)
					if c.second != "" {
						instances[c.second].server.shell.Stop()
					}
					if c.stopped == "peer" && c.second == "" { // the callers go on until their instance ends
						time.Sleep(stopLimit + stopDelay)
						own.server.shell.Stop()
					}
				}()
				outcomes := callUntilStopped(own.address, "call", seed)
				passed, whole := 0, 0
				for _, o := range outcomes {
					requests := r.requests(o.call)
					o.check(t, requests)
					if requests > 0 {
						passed++
					}
					if o.whole {
						whole++
					}
				}
				t.Logf("%d calls, %d passed on, %d whole", len(outcomes), passed, whole)
				is.True(whole > 0)
			})
		}
	}
}
