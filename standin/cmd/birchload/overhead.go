package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/urfave/cli/v3"

	"github.com/birchdrift/birchdrift/internal/engine"
	"github.com/birchdrift/birchdrift/standin/fleet"
	"github.com/birchdrift/birchdrift/standin/shape"
)

func overheadCommand() *cli.Command {
	return &cli.Command{
		Name:  "overhead",
		Usage: "compare calls through an instance with direct ones to the same engine, side by side",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "rates", Value: "50,500,5000", Usage: "calls a second"},
			&cli.DurationFlag{Name: "time", Value: 10 * time.Second, Usage: "for each rate"},
			&cli.IntFlag{Name: "tokens", Value: 1, Usage: "of each answer, streamed if more than one"},
		},
		Action: runOverhead,
	}
}

const overheadModel = "model-0001"

func runOverhead(ctx context.Context, cmd *cli.Command) error {
	size := shape.Size{Zones: 1, Engines: 1, Models: 1, Fits: 2}
	s, err := newSite(size, limitsOf(1))
	if err != nil {
		return err
	}
	defer s.close()
	// The engine is a process of its own, so that its work is not this one's.
	p, address, err := fleet.StartStandin(s.bin, "engine-001", "engine", "--name", "engine-001",
		"--memory-mib", fmt.Sprint(size.EngineMiB()), "--sequences", "20000", "--token-time", "0", "--load-mib", "0", "--prefill", "0")
	if err != nil {
		return err
	}
	defer p.Kill()
	s.addresses["engine-001"] = address
	if err := s.startInstances(1, ""); err != nil {
		return err
	}
	doc := size.Document(s.upstreamAddress)
	doc.Services = nil
	doc.Policies = nil
	doc.Engines[0].Sequences = 20000
	if err := s.apply(doc); err != nil {
		return err
	}
	in := s.instances[0]
	if err := fleet.Await("the model is served", func() bool { return oneCall(ctx, viaInstance(in.Callers, 1)) == nil }); err != nil {
		return err
	}
	fmt.Println("| calls a second | direct p50 / p99 ms | through an instance p50 / p99 ms | added p50 / p99 ms | calls a second per core of the instance | failed |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	for _, text := range strings.Split(cmd.String("rates"), ",") {
		rate, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return err
		}
		compare(ctx, rate, cmd.Duration("time"), cmd.Int("tokens"), address, in)
	}
	return nil
}

// compare runs both ways at once, each at the full rate, so that both see the
// same machine.
func compare(ctx context.Context, rate float64, span time.Duration, tokens int, address string, in *fleet.Instance) {
	direct := hdrhistogram.New(1, histogramTop, 3)
	through := hdrhistogram.New(1, histogramTop, 3)
	before := cpuOf(in.PID())
	begun := time.Now()
	var failed int
	var group sync.WaitGroup
	var mu sync.Mutex
	for _, way := range []struct {
		hist *hdrhistogram.Histogram
		make func(n int) request
	}{
		{direct, func(n int) request { return directCall(address, n, tokens) }},
		{through, func(n int) request { return viaInstance(in.Callers, tokens) }},
	} {
		group.Go(func() {
			openLoop(rate, span, uint64(rate), func(n int, due time.Time) {
				err := oneCall(ctx, way.make(n))
				took := time.Since(due).Microseconds()
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					failed++
					return
				}
				_ = way.hist.RecordValue(min(took, histogramTop)) // in range by the min
			})
		})
	}
	group.Wait()
	cores := (cpuOf(in.PID()) - before).Seconds() / time.Since(begun).Seconds()
	d50, d99 := ms(direct, 50), ms(direct, 99)
	t50, t99 := ms(through, 50), ms(through, 99)
	perCore := float64(through.TotalCount()) / time.Since(begun).Seconds() / cores
	fmt.Printf("| %.0f | %.2f / %.2f | %.2f / %.2f | %.2f / %.2f | %.0f | %d |\n", rate, d50, d99, t50, t99, t50-d50, t99-d99, perCore, failed)
}

const histogramTop = int64(time.Minute / time.Microsecond)

func ms(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }

// openLoop calls f for each Poisson arrival, in a goroutine of its own, and
// waits for all.
func openLoop(rate float64, span time.Duration, seed uint64, f func(n int, due time.Time)) {
	rng := rand.New(rand.NewPCG(seed, 3))
	begun := time.Now()
	var at time.Duration
	var group sync.WaitGroup
	for n := 0; ; n++ {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= span {
			break
		}
		due := begun.Add(at)
		time.Sleep(time.Until(due)) // the open loop's own clock
		group.Go(func() { f(n, due) })
	}
	group.Wait()
}

type request struct {
	url  string
	body []byte
}

// directCall words a call as the instance does towards the engine.
func directCall(address string, n, tokens int) request {
	body, _ := json.Marshal(engine.GenerateRequest{ID: fmt.Sprintf("direct-%d-%d", time.Now().UnixNano(), n), Model: overheadModel, Prompt: "x", MaxTokens: tokens}) // never fails for this type
	return request{"http://" + address + engine.PathGenerate, body}
}

func viaInstance(address string, tokens int) request {
	body := fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":%d,"stream":%v}`, overheadModel, tokens, tokens > 1)
	return request{"http://" + address + "/v1/completions", []byte(body)}
}

var client = http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}

func oneCall(ctx context.Context, r request) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url, bytes.NewReader(r.body))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// tick is the unit of processor time in /proc.
const tick = 10 * time.Millisecond

// cpuOf returns the processor time that a process has used.
func cpuOf(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	user, _ := strconv.Atoi(fields[11]) // utime; the kernel writes numbers
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * tick
}

// residentOf returns a process's resident set in bytes.
func residentOf(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64) // the kernel writes numbers
	return pages * int64(os.Getpagesize())
}
