package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/internal/control"
	"github.com/birchdrift/birchdrift/internal/keyvalue"
	"github.com/birchdrift/birchdrift/internal/upstream"
	"github.com/birchdrift/birchdrift/standin/engine"
	"github.com/birchdrift/birchdrift/standin/fleet"
	"github.com/birchdrift/birchdrift/standin/shape"
)

func footprintCommand() *cli.Command {
	return &cli.Command{
		Name:  "footprint",
		Usage: "measure what control costs an instance at three sizes: memory, processor time, bytes, platform calls",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "time", Value: 20 * time.Second, Usage: "for each size, after settling"},
			&cli.StringFlag{Name: "sizes", Value: "scire,middle,design"},
			&cli.IntFlag{Name: "instances", Value: 8, Usage: "entry instances of one zone that run"},
		},
		Action: runFootprint,
	}
}

// settle is how long a size may take to reach a steady state.
const settle = 15 * time.Second

func runFootprint(_ context.Context, cmd *cli.Command) error {
	fmt.Println("| models | replicas in all / of the zone | instances | resident MiB, mean / most | core % idle, mean / most | bytes a second per instance: peers + platform + engines' states | platform calls a second, all instances | a change in force everywhere after, most of 5 | bytes per change and instance: peers + platform |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	sizes := map[string]shape.Size{"scire": shape.Scire, "signaturbron": shape.Signaturbron, "middle": shape.Middle, "design": shape.Design}
	for _, name := range strings.Split(cmd.String("sizes"), ",") {
		size, ok := sizes[name]
		if !ok {
			return fmt.Errorf("no size %q", name)
		}
		if err := footprint(size, cmd.Int("instances"), cmd.Duration("time")); err != nil {
			return err
		}
	}
	return nil
}

// A meter is a counting relay in front of one instance's peers' listener.
type meter struct {
	listener net.Listener
	target   string
	bytes    *atomic.Int64
}

func newMeter(bytes *atomic.Int64) (*meter, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &meter{listener: l, bytes: bytes}, nil
}

func (m *meter) serve() {
	for {
		from, err := m.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", m.target)
		if err != nil {
			_ = from.Close() // the peer sees a failed exchange
			continue
		}
		go m.relay(from, to)
		go m.relay(to, from)
	}
}

func (m *meter) relay(from, to net.Conn) {
	_, _ = io.Copy(io.MultiWriter(to, count{m.bytes}), from) // either end may close
	_ = from.Close()
	_ = to.Close()
}

// count adds up what is written to it.
type count struct{ bytes *atomic.Int64 }

// Write implements io.Writer.
func (c count) Write(data []byte) (int, error) {
	c.bytes.Add(int64(len(data)))
	return len(data), nil
}

// traffic counts bytes by what they are for.
type traffic struct{ peers, platform, engines atomic.Int64 }

// A footing is one size under measurement.
type footing struct {
	*site
	traffic     traffic
	zoneEngines int
	span        time.Duration
}

// footprint runs the instances of one zone of the size; the zone's own engines
// are there, those of other zones are configured and silent.
func footprint(size shape.Size, instances int, span time.Duration) error {
	s, err := newSite(size, limitsOf(50))
	if err != nil {
		return err
	}
	defer s.close()
	f := &footing{site: s, span: span}
	if err := f.start(instances); err != nil {
		return err
	}
	doc := size.Document(s.upstreamAddress)
	if err := s.apply(doc); err != nil {
		return err
	}
	time.Sleep(settle) // the measure is of the steady state after it
	idle := f.idle()
	changes, err := f.changes(doc)
	if err != nil {
		return err
	}
	fmt.Printf("| %d | %d / %d | %d %s %s\n", size.Models, size.Engines, f.zoneEngines, instances, idle, changes)
	return nil
}

func (f *footing) start(instances int) error {
	relayed, err := relay(f.address, &f.traffic.platform)
	if err != nil {
		return err
	}
	f.address = relayed
	for i := range f.size.Engines {
		if i%f.size.Zones != 0 {
			continue
		}
		f.zoneEngines++
		if err := f.startEngine(i); err != nil {
			return err
		}
	}
	for i := range instances {
		if err := f.startMetered(fmt.Sprintf("entry-%d", i+1)); err != nil {
			return err
		}
	}
	return nil
}

// relay returns the address of a counting relay in front of target.
func relay(target string, bytes *atomic.Int64) (string, error) {
	m, err := newMeter(bytes)
	if err != nil {
		return "", err
	}
	m.target = target
	go m.serve()
	return m.listener.Addr().String(), nil
}

func (f *footing) startEngine(i int) error {
	name := shape.Engine(i)
	opt := engine.DefaultOptions(name)
	opt.MemoryMiB = f.size.EngineMiB()
	opt.MiBPerSecond = 0
	e := engine.New(opt)
	f.engines[name] = e
	address, err := f.listen(e.Handler())
	if err != nil {
		return err
	}
	f.addresses[name], err = relay(address, &f.traffic.engines)
	return err
}

// startMetered starts an instance whose peers reach it through a relay.
func (f *footing) startMetered(name string) error {
	m, err := newMeter(&f.traffic.peers)
	if err != nil {
		return err
	}
	if err := f.startNamed(name, shape.Zone(0), m.listener.Addr().String()); err != nil {
		return err
	}
	m.target = f.instances[len(f.instances)-1].Peers
	go m.serve()
	return nil
}

// idle measures the steady state and words it as cells.
func (f *footing) idle() string {
	before := make([]time.Duration, len(f.instances))
	for i, in := range f.instances {
		before[i] = cpuOf(in.PID())
	}
	calls := f.platform.Counts()
	peers, plat, engines := f.traffic.peers.Load(), f.traffic.platform.Load(), f.traffic.engines.Load()
	time.Sleep(f.span)
	var rss, mostRSS int64
	var cpu, mostCPU float64
	for i, in := range f.instances {
		r := residentOf(in.PID())
		rss += r
		mostRSS = max(mostRSS, r)
		used := (cpuOf(in.PID()) - before[i]).Seconds() / f.span.Seconds() * 100
		cpu += used
		mostCPU = max(mostCPU, used)
	}
	n := float64(len(f.instances))
	now := f.platform.Counts()
	seconds := f.span.Seconds()
	const mib = 1 << 20
	return fmt.Sprintf("| %.1f / %.1f | %.2f / %.2f | %.0f + %.0f + %.0f | %.2f |",
		float64(rss)/n/mib, float64(mostRSS)/mib, cpu/n, mostCPU,
		// A byte between peers is one instance's to send and another's to receive.
		2*float64(f.traffic.peers.Load()-peers)/n/seconds,
		float64(f.traffic.platform.Load()-plat)/n/seconds,
		float64(f.traffic.engines.Load()-engines)/n/seconds,
		float64(now.Reads+now.Writes-calls.Reads-calls.Writes)/seconds)
}

const changesMade = 5

// changes applies changes one after the other, each when the last is in force.
func (f *footing) changes(doc config.Document) (string, error) {
	var slowest time.Duration
	peers, plat := f.traffic.peers.Load(), f.traffic.platform.Load()
	for i := range changesMade {
		doc.Residency.MoveCost = float64(i + 2)
		begun := time.Now()
		revision, err := control.Apply(context.Background(), keyvalue.NewClient(f.address, upstream.NewTransports()), doc)
		if err != nil {
			return "", err
		}
		for _, in := range f.instances {
			err := fleet.Await(in.Name+" has the revision", func() bool {
				st, err := in.Status()
				return err == nil && st.Revision >= revision
			})
			if err != nil {
				return "", err
			}
		}
		slowest = max(slowest, time.Since(begun))
	}
	n := float64(len(f.instances)) * changesMade
	return fmt.Sprintf("%d ms | %.0f + %.0f |", slowest.Milliseconds(),
		2*float64(f.traffic.peers.Load()-peers)/n, float64(f.traffic.platform.Load()-plat)/n), nil
}
