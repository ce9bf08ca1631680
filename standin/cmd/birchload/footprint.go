package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/birchdrift/birchdrift/standin/engine"
	"github.com/birchdrift/birchdrift/standin/shape"
)

func footprintCommand() *cli.Command {
	return &cli.Command{
		Name:  "footprint",
		Usage: "measure what control costs an instance at three sizes: memory, processor time, bytes, platform calls",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "time", Value: 20 * time.Second, Usage: "for each size, after settling"},
			&cli.IntFlag{Name: "instances", Value: 8, Usage: "entry instances of one zone that run"},
		},
		Action: runFootprint,
	}
}

// settle is how long a size may take to reach a steady state.
const settle = 15 * time.Second

func runFootprint(_ context.Context, cmd *cli.Command) error {
	fmt.Println("| models | replicas in all / of the zone | instances | resident MiB, mean / most | core % idle, mean / most | bytes a second to and from peers, mean per instance | platform calls a second, all instances |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range []shape.Size{shape.Scire, shape.Middle, shape.Design} {
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

// footprint runs the instances of one zone of the size; the zone's own engines
// are there, those of other zones are configured and silent.
func footprint(size shape.Size, instances int, span time.Duration) error {
	s, err := newSite(size, limitsOf(50))
	if err != nil {
		return err
	}
	defer s.close()
	var bytes atomic.Int64
	zoneEngines := 0
	for i := range size.Engines {
		if i%size.Zones != 0 {
			continue
		}
		zoneEngines++
		if err := s.startEngine(i); err != nil {
			return err
		}
	}
	for i := range instances {
		if err := s.startMetered(fmt.Sprintf("entry-%d", i+1), &bytes); err != nil {
			return err
		}
	}
	if err := s.apply(size.Document(s.upstreamAddress)); err != nil {
		return err
	}
	time.Sleep(settle) // the measure is of the steady state after it
	before := make([]time.Duration, len(s.instances))
	for i, in := range s.instances {
		before[i] = cpuOf(in.PID())
	}
	callsBefore := s.platform.Counts()
	bytesBefore := bytes.Load()
	time.Sleep(span)
	s.printFootprint(size, zoneEngines, span, before, callsBefore.Reads+callsBefore.Writes, bytes.Load()-bytesBefore)
	return nil
}

func (s *site) startEngine(i int) error {
	name := shape.Engine(i)
	opt := engine.DefaultOptions(name)
	opt.MemoryMiB = s.size.EngineMiB()
	opt.MiBPerSecond = 0
	e := engine.New(opt)
	s.engines[name] = e
	address, err := s.listen(e.Handler())
	s.addresses[name] = address
	return err
}

// startMetered starts an instance whose peers reach it through a relay that
// counts.
func (s *site) startMetered(name string, bytes *atomic.Int64) error {
	m, err := newMeter(bytes)
	if err != nil {
		return err
	}
	address := m.listener.Addr().String()
	if err := s.startNamed(name, shape.Zone(0), address); err != nil {
		return err
	}
	m.target = s.instances[len(s.instances)-1].Peers
	go m.serve()
	return nil
}

func (s *site) printFootprint(size shape.Size, zoneEngines int, span time.Duration, before []time.Duration, calls, bytes int64) {
	var rss, most int64
	var cpu, mostCPU float64
	for i, in := range s.instances {
		r := residentOf(in.PID())
		rss += r
		most = max(most, r)
		used := (cpuOf(in.PID()) - before[i]).Seconds() / span.Seconds() * 100
		cpu += used
		mostCPU = max(mostCPU, used)
	}
	n := int64(len(s.instances))
	now := s.platform.Counts()
	const mib = 1 << 20
	fmt.Printf("| %d | %d / %d | %d | %.1f / %.1f | %.2f / %.2f | %.0f | %.2f |\n",
		size.Models, size.Engines, zoneEngines, n, float64(rss/n)/mib, float64(most)/mib, cpu/float64(n), mostCPU,
		float64(bytes)*2/float64(n)/span.Seconds(), float64(now.Reads+now.Writes-calls)/span.Seconds())
}
