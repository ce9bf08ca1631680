package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/standin/baseline"
	"github.com/birchdrift/birchdrift/standin/engine"
	"github.com/birchdrift/birchdrift/standin/fault"
	"github.com/birchdrift/birchdrift/standin/load"
	"github.com/birchdrift/birchdrift/standin/platform"
	"github.com/birchdrift/birchdrift/standin/shape"
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run the cases against the product and the baselines",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "shape", Value: "scire", Usage: "scire or signaturbron"},
			&cli.StringFlag{Name: "cases", Value: "calm", Usage: "names, separated by commas, or all"},
			&cli.StringFlag{Name: "systems", Value: "product", Usage: "routing/residency pairs such as product, round-robin/product, product/lru, separated by commas"},
			&cli.FloatFlag{Name: "rate", Value: 60, Usage: "calls a second"},
			&cli.DurationFlag{Name: "time", Value: 45 * time.Second, Usage: "for each run"},
			&cli.IntFlag{Name: "fits", Value: 2, Usage: "models that one engine holds"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "out", Value: "out", Usage: "directory for JSON and SVG"},
		},
		Action: runCases,
	}
}

// scale is what one engine of a run is in the users' terms: a tenth of their
// engines and of their zones' instances run here.
const (
	runEngines   = 8
	runInstances = 4
)

func limitsOf(share float64) platform.Limits {
	l := platform.DefaultLimits()
	l.LoadsPerSecond *= share
	return l
}

func sizeOf(cmd *cli.Command) (shape.Size, error) {
	var size shape.Size
	switch cmd.String("shape") {
	case "scire":
		size = shape.Scire
	case "signaturbron":
		size = shape.Signaturbron
	default:
		return size, fmt.Errorf("no shape %q", cmd.String("shape"))
	}
	size.Engines = runEngines
	size.Zones = 2
	size.Plain = 1
	size.Fits = cmd.Int("fits")
	return size, nil
}

func runCases(ctx context.Context, cmd *cli.Command) error {
	size, err := sizeOf(cmd)
	if err != nil {
		return err
	}
	var cases []load.Case
	for _, c := range strings.Split(cmd.String("cases"), ",") {
		cases = append(cases, load.Case(c))
	}
	if cmd.String("cases") == "all" {
		cases = load.Cases
	}
	if err := os.MkdirAll(cmd.String("out"), 0o755); err != nil {
		return err
	}
	var all []load.Report
	for _, c := range cases {
		var reports []load.Report
		for _, system := range strings.Split(cmd.String("systems"), ",") {
			r, err := runOne(ctx, cmd, size, c, system)
			if err != nil {
				return fmt.Errorf("%s, %s: %w", c, system, err)
			}
			load.Text(os.Stderr, []load.Report{r})
			reports = append(reports, r)
		}
		if err := plot(cmd.String("out"), c, reports); err != nil {
			return err
		}
		all = append(all, reports...)
	}
	load.Text(os.Stdout, all)
	data, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(cmd.String("out"), "report.json"), data, 0o644)
}

func plot(dir string, c load.Case, reports []load.Report) error {
	f, err := os.Create(filepath.Join(dir, string(c)+".svg"))
	if err != nil {
		return err
	}
	load.SVG(f, string(c), reports)
	return f.Close()
}

// runOne runs one case against one system on a fresh site.
func runOne(ctx context.Context, cmd *cli.Command, size shape.Size, c load.Case, system string) (load.Report, error) {
	limits := limitsOf(1)
	if c == load.Bottleneck {
		limits = limitsOf(0.25)
	}
	s, err := newSite(size, limits)
	if err != nil {
		return load.Report{}, err
	}
	defer s.close()
	err = s.startEngines(func(o *engine.Options) {
		o.TokenTime = 10 * time.Millisecond
		o.PrefillPerSecond = 10000
		o.CacheBlocks = 64
		o.MiBPerSecond = 4096
		o.LoadLag = 500 * time.Millisecond
	})
	if err != nil {
		return load.Report{}, err
	}
	program, extra := programOf(system)
	if err := s.startInstances(runInstances, program, extra...); err != nil {
		return load.Report{}, err
	}
	// While it warms up the weight store is quick, so that a run begins with
	// what each system would have resident after hours, not with loading.
	doc := s.document(c)
	measured := doc.Weights
	doc.Weights = config.WeightStore{LoadsPerSecond: warmLoads, AtOnce: config.DefaultLoadsAtOnce}
	s.platform.SetLoadRate(warmLoads)
	if err := s.apply(doc); err != nil {
		return load.Report{}, err
	}
	w := load.Workload{
		Services: size.Adapters, Rate: cmd.Float("rate"), Time: cmd.Duration("time"), Zipf: 0.9,
		Prefix: 4096, Tokens: 20, Seed: cmd.Uint64("seed"), Case: c,
	}
	s.warmUp(ctx, w)
	doc.Weights = measured
	s.platform.SetLoadRate(limits.LoadsPerSecond)
	if err := s.apply(doc); err != nil {
		return load.Report{}, err
	}
	return s.measure(ctx, w, system), nil
}

// programOf returns the program and flags for "routing/residency".
func programOf(system string) (string, []string) {
	if system == baseline.Product {
		return "", nil
	}
	routing, residency, _ := strings.Cut(system, "/")
	return "baseline", []string{"--routing", routing, "--residency", residency}
}

func (s *site) document(c load.Case) config.Document {
	doc := s.size.Document(s.upstreamAddress)
	if c == load.Bottleneck {
		doc.Weights.LoadsPerSecond = config.DefaultLoadsPerSec / 4
	}
	return doc
}

// warmLoads is how many loads a second the weight store allows while a run
// warms up.
const warmLoads = 40

// warmTime is how long calls come before a run is measured, so that every
// system begins with what it would have resident.
const warmTime = 25 * time.Second

func (s *site) warmUp(ctx context.Context, w load.Workload) {
	w.Case = load.Calm
	w.Time = warmTime
	w.Seed += 1000
	load.NewSender(s.callers(), shape.Service).Send(ctx, w.Calls())
}

func (s *site) measure(ctx context.Context, w load.Workload, system string) load.Report {
	before := s.moves()
	callsBefore := s.platform.Counts()
	ctx, cancel := context.WithTimeout(ctx, w.Time+time.Minute)
	defer cancel()
	stop := s.inject(w)
	calls := w.Calls()
	results := load.NewSender(s.callers(), shape.Service).Send(ctx, calls)
	stop()
	r := load.Summarise(system, w, results, s.size.Engines)
	after := s.moves()
	r.Loads = after.Loads - before.Loads
	r.Unloads = after.Unloads - before.Unloads
	r.Overcommits = after.Overcommits
	r.Ceiling = load.Ceiling(calls, func(service int) int { return service % s.size.Models }, s.size.Engines*s.size.Fits, 10*time.Second)
	counts := s.platform.Counts()
	r.PlatformCalls = float64(counts.Reads+counts.Writes-callsBefore.Reads-callsBefore.Writes) / w.Time.Seconds()
	return r
}

func (s *site) moves() engine.Counts {
	var sum engine.Counts
	for _, e := range s.engines {
		c := e.Counts()
		sum.Loads += c.Loads
		sum.Unloads += c.Unloads
		sum.Overcommits += c.Overcommits
	}
	return sum
}

// inject has the case's fault happen while the calls run.
func (s *site) inject(w load.Workload) (stop func()) {
	third := w.Time / 3
	first := s.engines[shape.Engine(0)]
	var timers []*time.Timer
	at := func(d time.Duration, f func()) { timers = append(timers, time.AfterFunc(d, f)) }
	switch w.Case {
	case load.SlowOne:
		at(third, func() { first.Faults.Set(engine.Faults{Slow: fault.Duration(2 * time.Second)}) })
		at(2*third, func() { first.Faults.Set(engine.Faults{}) })
	case load.DeadOne:
		at(third, first.Restart)
	case load.Outage:
		at(third, func() { s.platform.Faults.Set(platform.Faults{Down: true}) })
		at(2*third, func() { s.platform.Faults.Set(platform.Faults{}) })
	}
	return func() {
		for _, t := range timers {
			t.Stop()
		}
	}
}
