package instance

import (
	"fmt"
	"testing"
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/demand"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/own/choose"
	"github.com/birchdrift/birchdrift/core/own/plan"
	"github.com/birchdrift/birchdrift/core/pool"
)

// A benchSize is the size of a deployment.
type benchSize struct{ models, replicas, zones int }

// benchSizes holds the size of current deployments, an intermediate size, and the size that the
// design targets.
var benchSizes = []benchSize{{35, 20, 3}, {300, 106, 4}, {1900, 850, 8}}

func (s benchSize) String() string { return fmt.Sprintf("models=%d/replicas=%d", s.models, s.replicas) }

func (s benchSize) document() config.Document {
	var d config.Document
	for i := range s.zones {
		d.Zones = append(d.Zones, config.Zone{Name: fmt.Sprintf("z%d", i)})
	}
	for i := range s.replicas {
		name := fmt.Sprintf("engine-%d", i)
		d.Engines = append(d.Engines, config.Engine{
			Name: name, Address: name, Zone: fmt.Sprintf("z%d", i%s.zones), Domain: fmt.Sprintf("rack-%d", i%16),
			Accelerators: 8, MemoryMiB: 3000, Sequences: 8, ChecksFence: true,
		})
	}
	for i := range s.models {
		name := fmt.Sprintf("model-%d", i)
		d.Models = append(d.Models, config.Model{Name: name, MemoryMiB: 900})
		d.Services = append(d.Services, config.Service{Name: "svc-" + name, Versions: []config.Version{{Name: "v", Model: name, Share: 1}}})
	}
	d.Revision = 1
	return d
}

// loadedMachine returns a machine for a deployment of size s whose engines hold three models each.
func (s benchSize) loadedMachine(b *testing.B) (*Machine, clock.Instant) {
	b.Helper()
	now := clocktest.At(time.Hour)
	m := New(member.Identity{Name: "entry-1", Zone: "z0", Address: "a", Boot: 1}, option.Default(), 1)
	snapshot, err := config.NewSnapshot(s.document())
	if err != nil {
		b.Fatal(err)
	}
	m.Step(now, ConfigReply{Snapshot: snapshot, Source: PlatformSource})
	for i := range s.replicas {
		res := pool.Residency{Boot: 1, Change: 1}
		for k := range 3 {
			res.Items = append(res.Items, pool.Item{Name: fmt.Sprintf("model-%d", (i*3+k)%s.models), Phase: pool.Ready})
		}
		m.state.Pool.ObserveResidency(now, fmt.Sprintf("engine-%d", i), res)
	}
	return m, now
}

// BenchmarkCall measures one call through the machine: arrival, replica choice, first token and
// completion.
func BenchmarkCall(b *testing.B) {
	for _, s := range benchSizes {
		b.Run(s.String(), func(b *testing.B) {
			m, now := s.loadedMachine(b)
			b.ReportAllocs()
			id := calls.ID(0)
			for b.Loop() {
				id++
				now = now.Add(time.Millisecond)
				m.Step(now, calls.Arrived{Call: calls.Request{ID: id, Service: fmt.Sprintf("svc-model-%d", int(id)%s.models), Replayable: true, PromptTokens: 100}})
				m.Step(now, calls.AnswerBegan{ID: id})
				m.Step(now, calls.Completed{ID: id})
			}
		})
	}
}

// BenchmarkChoose measures one choice among all replicas, the largest possible number of
// candidates.
func BenchmarkChoose(b *testing.B) {
	for _, s := range benchSizes {
		b.Run(s.String(), func(b *testing.B) {
			m, now := s.loadedMachine(b)
			prompt := make([]byte, 8192)
			q := choose.Query{Zone: "z0", PromptTokens: 2000, PrefillRate: 8000, Prefix: choose.NewPrefix("m", string(prompt))}
			b.ReportAllocs()
			for b.Loop() {
				m.env.own.chooser.Choose(now, q, m.state.Pool.All())
			}
		})
	}
}

// BenchmarkPlan measures one residency plan of one zone, with demand for every model.
func BenchmarkPlan(b *testing.B) {
	for _, s := range benchSizes {
		b.Run(s.String(), func(b *testing.B) {
			in := s.planInput()
			b.ReportAllocs()
			for b.Loop() {
				plan.Steps(in)
			}
		})
	}
}

func (s benchSize) planInput() plan.Input {
	in := plan.Input{Items: map[string]plan.Item{}, MoveCost: 1, MinimumStay: time.Second, Loads: 1}
	for i := range s.models {
		name := fmt.Sprintf("model-%d", i)
		in.Items[name] = plan.Item{Name: name, MiB: 900}
		in.Demand = append(in.Demand, demand.Item{Name: name, Rate: 1 / float64(i+1), Concurrent: 1 / float64(i+1), Weight: 1})
	}
	for i := range s.replicas / s.zones {
		e := plan.Engine{Name: fmt.Sprintf("engine-%d", i), Domain: fmt.Sprintf("rack-%d", i%16), Sequences: 8, Free: 300, Capacity: 3000, Usable: true}
		for k := range 3 {
			e.Residents = append(e.Residents, plan.Resident{Name: fmt.Sprintf("model-%d", (i*3+k+7)%s.models), Since: time.Minute, Settled: true})
		}
		in.Engines = append(in.Engines, e)
	}
	return in
}
