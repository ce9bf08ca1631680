package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// A Result is what one caller saw.
type Result struct {
	Call    Call
	Status  int
	Code    int           // numbered code of a refusal
	First   time.Duration // from when it was due to the first token
	Between time.Duration // mean time between tokens
	Total   time.Duration
	Whole   bool
}

// A Sender sends calls as streams, each to the next of the addresses.
type Sender struct {
	Addresses []string
	Model     func(service int) string
	client    http.Client
}

// NewSender returns a sender with a connection pool of its own.
func NewSender(addresses []string, model func(int) string) *Sender {
	return &Sender{
		Addresses: addresses, Model: model,
		client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
	}
}

// Send sends every call when it is due, and waits for all answers.
func (s *Sender) Send(ctx context.Context, calls []Call) []Result {
	results := make([]Result, len(calls))
	var group sync.WaitGroup
	begun := time.Now()
	for i, c := range calls {
		wait := time.Until(begun.Add(c.Due))
		if wait > 0 {
			time.Sleep(wait) // the open loop's own clock
		}
		group.Go(func() { results[i] = s.one(ctx, s.Addresses[i%len(s.Addresses)], c, begun.Add(c.Due)) })
	}
	group.Wait()
	return results
}

func (s *Sender) one(ctx context.Context, address string, c Call, due time.Time) Result {
	r := Result{Call: c}
	body, err := json.Marshal(map[string]any{
		"model": s.Model(c.Service), "prompt": c.Prompt, "max_tokens": c.Tokens, "stream": true,
	})
	if err != nil {
		return r
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		return r
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return r
	}
	defer resp.Body.Close()
	r.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		var refusal struct {
			Error struct {
				Code int `json:"code"`
			} `json:"error"`
		}
		if json.NewDecoder(resp.Body).Decode(&refusal) == nil {
			r.Code = refusal.Error.Code
		}
		return r
	}
	return r.read(resp, due)
}

// read follows the stream to its end.
func (r Result) read(resp *http.Response, due time.Time) Result {
	scanner := bufio.NewScanner(resp.Body)
	tokens := 0
	var last time.Time
	for scanner.Scan() {
		line := scanner.Text()
		if !strings.HasPrefix(line, "data: ") {
			continue
		}
		if line == "data: [DONE]" {
			r.Whole = true
			break
		}
		last = time.Now()
		if tokens == 0 {
			r.First = last.Sub(due)
		}
		tokens++
	}
	r.Total = time.Since(due)
	if tokens > 1 {
		r.Between = (last.Sub(due) - r.First) / time.Duration(tokens-1)
	}
	r.Whole = r.Whole && tokens >= r.Call.Tokens
	return r
}

// Attained reports whether the caller got what the service promises.
func (r Result) Attained(first, between time.Duration) bool {
	return r.Whole && r.First <= first && r.Between <= between
}

// String words a result for a failing run.
func (r Result) String() string {
	return fmt.Sprintf("service %d: status %d, code %d, first %v, whole %v", r.Call.Service, r.Status, r.Code, r.First, r.Whole)
}
