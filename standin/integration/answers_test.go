package integration

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/birchdrift/birchdrift/standin/engine"
	"github.com/birchdrift/birchdrift/standin/fleet"
)

// A streamEvent holds the fields of a stream's event that the tests check.
type streamEvent struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Code int    `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

// A streamResult is a streamed answer as its caller sees it.
type streamResult struct {
	text   string
	ended  bool // "[DONE]" came
	failed int  // code of the error event, 0 if none came
	cut    bool // the connection was cut instead of closed normally
}

func readStream(body string, err error) (streamResult, error) {
	var s streamResult
	s.cut = err != nil
	scanner := bufio.NewScanner(strings.NewReader(body))
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.ended = true
			continue
		}
		var c streamEvent
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return s, err
		}
		if c.Error != nil {
			s.failed = c.Error.Code
			continue
		}
		s.text += c.Choices[0].Text
	}
	return s, nil
}

// oneEngine returns a testbed with one model on one engine and one instance.
func oneEngine(t *testing.T, change func(*engine.Options)) (*testbed, *fleet.Instance, *engine.Engine) {
	tb := newTestbed(t)
	tb.addZones("z1")
	e := tb.addEngine("e1", "z1", change)
	tb.addModel("m1", 1000)
	in := tb.startInstance("entry-1", "z1")
	tb.apply()
	tb.awaitReadyOn("e1", "m1")
	tb.awaitSeenBy(in, "e1", "m1")
	return tb, in, e
}

func TestPlainAnswerIsWhole(t *testing.T) {
	is := is.New(t)
	_, in, _ := oneEngine(t, nil)
	a, err := chat(in, "svc-m1", "which crates", 20, false)
	is.NoErr(err)
	is.Equal(a.Status, http.StatusOK)
	is.Equal(a.Instance, "entry-1")
	is.Equal(a.Upstream, "e1")
	is.True(strings.Contains(a.Body, wantText("which crates", 20)))
}

// TestInterleavedStreamsAreWhole runs 300 concurrent streams of distinct content. The
// engine cuts each of them after every 13 pieces and adds late, duplicate and foreign
// pieces. Every caller must get its own complete answer and nothing else.
func TestInterleavedStreamsAreWhole(t *testing.T) {
	_, in, e := oneEngine(t, func(o *engine.Options) { o.Sequences = 400 })
	const streams, tokens = 300, 40
	e.Faults.Set(engine.Faults{CutEvery: 13, Duplicates: true})
	var group errgroup.Group
	for i := range streams {
		group.Go(func() error {
			prompt := fmt.Sprintf("contract %d", i)
			a, err := chat(in, "svc-m1", prompt, tokens, true)
			if err != nil {
				return err
			}
			s, err := readStream(a.Body, a.Err)
			if err != nil {
				return err
			}
			if !s.ended || s.cut || s.failed != 0 || s.text != wantText(prompt, tokens) {
				return fmt.Errorf("stream %d: %+v", i, s)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	for call, n := range e.Counts().Executed {
		if n != 1 {
			t.Fatalf("call %s was started %d times: a resume must not run it again", call, n)
		}
	}
	st, err := in.Status()
	if err != nil || st.Calls != 0 {
		t.Fatalf("%d calls left, %v", st.Calls, err)
	}
}

// TestCutThatCannotResumeIsSeenAsCut checks that the caller sees an error event and a cut
// connection, never a normal end, if the engine process is lost after part of the answer
// was delivered.
func TestCutThatCannotResumeIsSeenAsCut(t *testing.T) {
	is := is.New(t)
	_, in, e := oneEngine(t, func(o *engine.Options) { o.TokenTime = 20 * time.Millisecond })
	body := `{"model":"svc-m1","prompt":"long","max_tokens":400,"stream":true}`
	resp, err := http.Post("http://"+in.Callers+"/v1/completions", "application/json", strings.NewReader(body))
	is.NoErr(err)
	defer resp.Body.Close()
	head := make([]byte, 400)
	_, err = io.ReadFull(resp.Body, head) // a part is delivered
	is.NoErr(err)
	e.Restart()
	rest, err := io.ReadAll(resp.Body)
	is.True(err != nil) // the chunked body must not end properly
	s, perr := readStream(string(head)+string(rest), err)
	is.NoErr(perr)
	is.True(!s.ended)
	is.Equal(s.failed, 303) // stream_cut
}

// TestUndeliveredCallIsRetriedElsewhere checks that a repeatable call of which nothing was
// delivered is retried on another engine and served completely.
func TestUndeliveredCallIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	tb := newTestbed(t)
	tb.addZones("z1")
	slow := func(o *engine.Options) { o.TokenTime = 10 * time.Millisecond }
	tb.addEngine("e1", "z1", slow)
	tb.addEngine("e2", "z1", slow)
	tb.addModel("m1", 1000)
	for _, e := range tb.engines {
		e.Preload("m1", "", 1000)
	}
	in := tb.startInstance("entry-1", "z1")
	tb.apply()
	tb.awaitSeenBy(in, "e1", "m1")
	tb.awaitSeenBy(in, "e2", "m1")
	var group errgroup.Group
	for i := range 8 {
		group.Go(func() error {
			prompt := fmt.Sprintf("note %d", i)
			a, err := chat(in, "svc-m1", prompt, 60, false)
			if err != nil {
				return err
			}
			if a.Status != http.StatusOK || !strings.Contains(a.Body, wantText(prompt, 60)) {
				return fmt.Errorf("call %d: %d %s", i, a.Status, a.Body)
			}
			return nil
		})
	}
	tb.await("calls run on e1", func() bool { return tb.engines["e1"].State().Running > 0 })
	tb.engines["e1"].Restart()
	is.NoErr(group.Wait())
}

// TestCallerThatGoesAwayFreesItsSequence checks that the sequence of a caller that closed
// its connection is canceled at the engine.
func TestCallerThatGoesAwayFreesItsSequence(t *testing.T) {
	is := is.New(t)
	tb, in, e := oneEngine(t, func(o *engine.Options) { o.TokenTime = 20 * time.Millisecond; o.Linger = time.Hour })
	body := `{"model":"svc-m1","prompt":"long","max_tokens":100000,"stream":true}`
	resp, err := http.Post("http://"+in.Callers+"/v1/completions", "application/json", strings.NewReader(body))
	is.NoErr(err)
	_, err = io.ReadFull(resp.Body, make([]byte, 100))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	tb.await("the sequence is freed", func() bool { return e.Counts().Cancelled == 1 && e.State().Running == 0 })
}

// TestCallsMoveOffFrozenEngine checks that calls held by a frozen engine are served
// elsewhere, so that no caller waits forever.
func TestCallsMoveOffFrozenEngine(t *testing.T) {
	is := is.New(t)
	tb := newTestbed(t)
	tb.addZones("z1")
	tb.addEngine("e1", "z1", nil)
	tb.addEngine("e2", "z1", nil)
	tb.addModel("m1", 1000)
	for _, e := range tb.engines {
		e.Preload("m1", "", 1000)
	}
	in := tb.startInstance("entry-1", "z1", "--stall", "500ms")
	tb.apply()
	tb.awaitSeenBy(in, "e1", "m1")
	tb.awaitSeenBy(in, "e2", "m1")
	tb.engines["e1"].Faults.Set(engine.Faults{Freeze: true})
	var group errgroup.Group
	for i := range 20 {
		group.Go(func() error {
			a, err := chat(in, "svc-m1", fmt.Sprint(i), 5, false)
			if err == nil && a.Status != http.StatusOK {
				err = fmt.Errorf("call %d: %d %s", i, a.Status, a.Body)
			}
			return err
		})
	}
	is.NoErr(group.Wait())
	tb.engines["e1"].Faults.Set(engine.Faults{})
}
