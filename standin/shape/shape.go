// Package shape provides configurations in the shapes of the users and of the
// design size, for the demonstration, tests and measurements.
package shape

import (
	"fmt"
	"time"

	"github.com/birchdrift/birchdrift/core/config"
)

// A Size says how large a configuration is.
type Size struct {
	Zones    int
	Regions  int
	Engines  int
	Models   int
	Adapters int
	Plain    int // replicas of the one plain service
	// Fits is how many models of ordinary size one engine holds.
	Fits int
}

// The sizes of today, of the letter's design, and one between.
var (
	Signaturbron = Size{Zones: 4, Regions: 1, Engines: 20, Models: 40, Adapters: 95, Plain: 4, Fits: 2}
	Scire        = Size{Zones: 3, Regions: 1, Engines: 20, Models: 35, Adapters: 100, Plain: 3, Fits: 2}
	Middle       = Size{Zones: 4, Regions: 1, Engines: 106, Models: 300, Adapters: 600, Plain: 8, Fits: 3}
	Design       = Size{Zones: 8, Regions: 2, Engines: 850, Models: 1900, Adapters: 3800, Plain: 16, Fits: 3}
)

// ModelMiB is the memory of an ordinary model; adapters take AdapterMiB.
const (
	ModelMiB   = 8 << 10
	AdapterMiB = 128
)

// EngineMiB returns the memory of an engine of this size: room for Fits
// ordinary models and some adapters on each.
func (s Size) EngineMiB() int64 { return int64(s.Fits) * (ModelMiB + 8*AdapterMiB) }

// Zone returns the name of zone i.
func Zone(i int) string { return fmt.Sprintf("zone-%d", i+1) }

// Engine, Model, Adapter and Service return the names of number i.
func Engine(i int) string { return fmt.Sprintf("engine-%03d", i+1) }

// Model returns the name of model i.
func Model(i int) string { return fmt.Sprintf("model-%04d", i+1) }

// Adapter returns the name of adapter i.
func Adapter(i int) string { return fmt.Sprintf("adapter-%04d", i+1) }

// Service returns the name of the service on adapter i.
func Service(i int) string { return fmt.Sprintf("notes-%04d", i+1) }

// PlainService is the name of the plain service.
const PlainService = "stock"

// Address returns placeholder addresses, one for each name; tests give their own.
type Address func(name string) string

// Placeholder gives every name an address nobody listens at.
func Placeholder(string) string { return "127.0.0.1:1" }

// Document returns a configuration of this size.
func (s Size) Document(address Address) config.Document {
	var d config.Document
	for i := range s.Zones {
		region := 1 + i*max(1, s.Regions)/s.Zones
		d.Zones = append(d.Zones, config.Zone{Name: Zone(i), Region: fmt.Sprintf("region-%d", region)})
	}
	for i := range s.Engines {
		name := Engine(i)
		d.Engines = append(d.Engines, config.Engine{
			Name: name, Address: address(name), Zone: Zone(i % s.Zones),
			Domain:       fmt.Sprintf("rack-%d", i/s.Zones%8),
			Accelerators: 8, MemoryMiB: s.EngineMiB(), Sequences: 8, ChecksFence: true,
		})
	}
	for i := range s.Models {
		d.Models = append(d.Models, config.Model{
			Name: Model(i), MemoryMiB: ModelMiB, PrefillPerSecond: 20000, Load: 2 * time.Second,
		})
	}
	for i := range s.Adapters {
		model := Model(i % s.Models)
		d.Adapters = append(d.Adapters, config.Adapter{Name: Adapter(i), Model: model, MemoryMiB: AdapterMiB})
		d.Services = append(d.Services, config.Service{
			Name:     Service(i),
			Versions: []config.Version{{Name: "v1", Model: model, Adapter: Adapter(i), Share: 1}},
			Policy:   "ordinary",
		})
	}
	d.Services = append(d.Services, s.plain(address))
	d.Policies = []config.Policy{{
		Name:     "ordinary",
		Priority: `load > 0.9 && prompt_tokens > 4000 ? 20 : 50`,
		Wait:     `duration("15s")`,
		Default:  config.Verdict{Priority: config.DefaultPriority, Wait: 15 * time.Second},
	}}
	return d
}

func (s Size) plain(address Address) config.Service {
	svc := config.Service{
		Name:   PlainService,
		Routes: []config.Route{{Prefix: "/allocations", NotRepeatable: true}},
	}
	for i := range s.Plain {
		name := fmt.Sprintf("stock-%d", i+1)
		svc.Replicas = append(svc.Replicas, config.Replica{Name: name, Address: address(name), Zone: Zone(i % s.Zones)})
	}
	return svc
}
