package main

import (
	"fmt"
	"time"

	"github.com/birchdrift/birchdrift/core/config"
)

// The size of the demonstration's configuration. It has 35 models, and the engines
// have room for 24 at a time, so some models are loaded only when they are called.
const (
	zones    = 2
	engines  = 6
	replicas = 2 // of the plain service
	models   = 35
	adapters = 100
	// modelMiB and adapterMiB are the sizes of a model and an adapter.
	// engineMiB holds four models with eight adapters each.
	modelMiB   = 8 << 10
	adapterMiB = 128
	engineMiB  = 4 * (modelMiB + 8*adapterMiB)
)

func zoneName(i int) string    { return fmt.Sprintf("zone-%d", i+1) }
func engineName(i int) string  { return fmt.Sprintf("engine-%03d", i+1) }
func modelName(i int) string   { return fmt.Sprintf("model-%04d", i+1) }
func adapterName(i int) string { return fmt.Sprintf("adapter-%04d", i+1) }
func serviceName(i int) string { return fmt.Sprintf("notes-%04d", i+1) }
func replicaName(i int) string { return fmt.Sprintf("stock-%d", i+1) }

// document returns the demonstration's configuration. addresses holds the
// address (IP:port) of each engine and replica by name.
func document(addresses map[string]string) config.Document {
	var d config.Document
	for i := range zones {
		d.Zones = append(d.Zones, config.Zone{Name: zoneName(i), Region: "region-1"})
	}
	for i := range engines {
		name := engineName(i)
		d.Engines = append(d.Engines, config.Engine{
			Name: name, Address: addresses[name], Zone: zoneName(i % zones),
			Domain:       fmt.Sprintf("rack-%d", i/zones),
			Accelerators: 8, MemoryMiB: engineMiB, Sequences: 8, ChecksFence: true,
		})
	}
	for i := range models {
		d.Models = append(d.Models, config.Model{
			Name: modelName(i), MemoryMiB: modelMiB, PrefillPerSecond: 20000, LoadTime: 2 * time.Second,
		})
	}
	for i := range adapters {
		model := modelName(i % models)
		d.Adapters = append(d.Adapters, config.Adapter{Name: adapterName(i), Model: model, MemoryMiB: adapterMiB})
		d.Services = append(d.Services, config.Service{
			Name:     serviceName(i),
			Versions: []config.Version{{Name: "v1", Model: model, Adapter: adapterName(i), Share: 1}},
			Policy:   "ordinary",
		})
	}
	d.Services = append(d.Services, plainService(addresses))
	d.Policies = []config.Policy{{
		Name:     "ordinary",
		Priority: `load > 0.9 && prompt_tokens > 4000 ? 20 : 50`,
		Wait:     `duration("15s")`,
		Default:  config.Verdict{Priority: config.DefaultPriority, Wait: 15 * time.Second},
	}}
	return d
}

// plainService returns a service without a model. Calls to its path /allocations must
// run at most once.
func plainService(addresses map[string]string) config.Service {
	svc := config.Service{
		Name:   "stock",
		Routes: []config.Route{{Prefix: "/allocations", NotRepeatable: true}},
	}
	for i := range replicas {
		name := replicaName(i)
		svc.Replicas = append(svc.Replicas, config.Replica{Name: name, Address: addresses[name], Zone: zoneName(i % zones)})
	}
	return svc
}
