// Package config provides the operators' configuration: one versioned
// document, its validation, and the immutable Snapshot that every decision
// reads.
//
// An instance never sees a partially applied change. Parse turns bytes into a
// File that holds a Document, File.Validate reports every fault with its path
// and line, and NewSnapshot indexes the document once. The Snapshot never
// changes after that and is shared without locks; a new revision is a new
// Snapshot.
//
// Invariants: a Snapshot's Document passed Validate; the revision in force on
// an instance only increases (core/instance enforces that).
package config

import "time"

// A Document is the complete configuration that operators write.
type Document struct {
	// Revision counts the accepted changes. birchctl sets it; operators omit it.
	Revision uint64 `yaml:"revision,omitempty"`
	// ChangeID identifies the apply that wrote this revision, so that an
	// operator whose response was lost can recognize their own change.
	ChangeID    string      `yaml:"change,omitempty"`
	Zones       []Zone      `yaml:"zones"`
	Engines     []Engine    `yaml:"engines,omitempty"`
	Models      []Model     `yaml:"models,omitempty"`
	Adapters    []Adapter   `yaml:"adapters,omitempty"`
	Services    []Service   `yaml:"services"`
	Forwards    []Forward   `yaml:"forwards,omitempty"`
	Callers     []Caller    `yaml:"callers,omitempty"`
	Policies    []Policy    `yaml:"policies,omitempty"`
	Residency   Residency   `yaml:"residency,omitempty"`
	WeightStore WeightStore `yaml:"weight_store,omitempty"`
	Limits      Limits      `yaml:"limits,omitempty"`
}

// A Zone is one availability zone.
type Zone struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region,omitempty"`
}

// An Engine is a replica that runs models.
type Engine struct {
	Name         string `yaml:"name"`
	Address      string `yaml:"address"` // IP:port
	Zone         string `yaml:"zone"`
	Domain       string `yaml:"domain,omitempty"` // failure domain, such as a rack or a switch
	Accelerators int    `yaml:"accelerators"`
	MemoryMiB    int64  `yaml:"memory_mib"`
	Sequences    int    `yaml:"sequences"` // maximum number of concurrent sequences
	// ChecksFence reports whether the engine rejects orders with an outdated
	// fencing token.
	ChecksFence bool `yaml:"checks_fence,omitempty"`
}

// A Model is a set of weights that an engine can hold.
type Model struct {
	Name      string `yaml:"name"`
	MemoryMiB int64  `yaml:"memory_mib"`
	// PrefillPerSecond is the number of prompt tokens that one engine processes
	// per second.
	PrefillPerSecond int `yaml:"prefill_per_second,omitempty"`
	// LoadTime is the usual time to load the model at the weight store's full
	// speed.
	LoadTime time.Duration `yaml:"load,omitempty"`
}

// An Adapter is a small set of weights that is applied to a base model.
type Adapter struct {
	Name      string `yaml:"name"`
	Model     string `yaml:"model"`
	MemoryMiB int64  `yaml:"memory_mib"`
}

// A Service is the destination that callers name in a call.
type Service struct {
	Name string `yaml:"name"`
	// Versions split the traffic of a model service.
	Versions []Version `yaml:"versions,omitempty"`
	// Replicas serve a plain service, which has no versions.
	Replicas []Replica `yaml:"replicas,omitempty"`
	// Announced is set for a service whose replicas announce themselves. Such a
	// service has neither versions nor replicas and is reached through forwards.
	Announced     *Announced `yaml:"announced,omitempty"`
	NotRepeatable bool       `yaml:"not_repeatable,omitempty"`
	// Routes override NotRepeatable for some paths of a plain service.
	Routes []Route `yaml:"routes,omitempty"`
	Target Target  `yaml:"target,omitempty"`
	Policy string  `yaml:"policy,omitempty"`
}

// A Version is one model, or one adapter with its base model, that receives a
// share of a service's traffic.
type Version struct {
	Name    string `yaml:"name"`
	Model   string `yaml:"model"`
	Adapter string `yaml:"adapter,omitempty"`
	Share   int    `yaml:"share"` // weight relative to the sum of the service's shares
}

// A Replica is one process of a plain service.
type Replica struct {
	Name          string `yaml:"name"`
	Address       string `yaml:"address"` // IP:port
	Zone          string `yaml:"zone"`
	Domain        string `yaml:"domain,omitempty"`
	MaxConcurrent int    `yaml:"concurrent,omitempty"` // maximum number of concurrent calls; 64 if unset
}

// A Route overrides its service for paths that begin with Prefix.
type Route struct {
	Prefix        string `yaml:"prefix"`
	NotRepeatable bool   `yaml:"not_repeatable"`
}

// A Target holds the latency targets of a service; zero fields take the defaults.
type Target struct {
	FirstToken    time.Duration `yaml:"first_token,omitempty"`
	BetweenTokens time.Duration `yaml:"between_tokens,omitempty"`
}

// A Caller is a client that may make calls. If no callers are configured, any
// client may.
type Caller struct {
	Name      string   `yaml:"name"`
	KeySHA256 string   `yaml:"key_sha256"`         // SHA-256 hash of the key, in hex
	Services  []string `yaml:"services,omitempty"` // services that it may call; empty means all
}

// A Policy is a set of expressions that are evaluated for each call. They are
// written in CEL over the variables of package policy; an empty expression
// takes the default.
type Policy struct {
	Name     string  `yaml:"name"`
	Priority string  `yaml:"priority,omitempty"` // int, 0 to 100; 100 is the most important
	Refuse   string  `yaml:"refuse,omitempty"`   // bool
	Wait     string  `yaml:"wait,omitempty"`     // duration by which the first token may be late
	Default  Verdict `yaml:"default,omitempty"`
}

// A Verdict is the result of a policy for one call. A Policy's Default replaces
// the result of an expression that fails.
type Verdict struct {
	Priority int           `yaml:"priority,omitempty"`
	Refuse   bool          `yaml:"refuse,omitempty"`
	Wait     time.Duration `yaml:"wait,omitempty"`
}

// Residency holds the parameters of the residency planner.
type Residency struct {
	// MoveCost is the benefit, in target seconds saved, that the planner requires
	// of one move. A higher cost means fewer moves; the default is 1.
	MoveCost float64 `yaml:"move_cost,omitempty"`
	// MinimumStay is the least time a model stays resident before it may be
	// unloaded.
	MinimumStay time.Duration `yaml:"minimum_stay,omitempty"`
}

// WeightStore holds the limits of the weight store that all zones load from.
type WeightStore struct {
	LoadsPerSecond     float64 `yaml:"loads_per_second,omitempty"`
	MaxConcurrentLoads int     `yaml:"at_once,omitempty"`
}

// Defaults of the fields that operators may omit.
const (
	DefaultFirstToken         = 400 * time.Millisecond
	DefaultBetweenTokens      = 75 * time.Millisecond
	DefaultMaxConcurrent      = 64
	DefaultPrefillPerSecond   = 8000 // tokens per second
	DefaultLoadTime           = 10 * time.Second
	DefaultMoveCost           = 1.0
	DefaultMinimumStay        = 30 * time.Second
	DefaultLoadsPerSecond     = 2.0
	DefaultMaxConcurrentLoads = 8
	DefaultPriority           = 50
)

// withDefaults returns a copy of d in which unset fields have their defaults.
func (d Document) withDefaults() Document {
	d.Models = append([]Model(nil), d.Models...)
	for i := range d.Models {
		m := &d.Models[i]
		m.PrefillPerSecond = intOrDefault(m.PrefillPerSecond, DefaultPrefillPerSecond)
		m.LoadTime = durationOrDefault(m.LoadTime, DefaultLoadTime)
	}
	d.Services = append([]Service(nil), d.Services...)
	for i := range d.Services {
		s := &d.Services[i]
		s.Target.FirstToken = durationOrDefault(s.Target.FirstToken, DefaultFirstToken)
		s.Target.BetweenTokens = durationOrDefault(s.Target.BetweenTokens, DefaultBetweenTokens)
		s.Replicas = append([]Replica(nil), s.Replicas...)
		for j := range s.Replicas {
			s.Replicas[j].MaxConcurrent = intOrDefault(s.Replicas[j].MaxConcurrent, DefaultMaxConcurrent)
		}
	}
	if d.Residency.MoveCost == 0 {
		d.Residency.MoveCost = DefaultMoveCost
	}
	d.Residency.MinimumStay = durationOrDefault(d.Residency.MinimumStay, DefaultMinimumStay)
	if d.WeightStore.LoadsPerSecond == 0 {
		d.WeightStore.LoadsPerSecond = DefaultLoadsPerSecond
	}
	d.WeightStore.MaxConcurrentLoads = intOrDefault(d.WeightStore.MaxConcurrentLoads, DefaultMaxConcurrentLoads)
	return d
}

func intOrDefault(v, def int) int {
	if v == 0 {
		return def
	}
	return v
}

func durationOrDefault(v, def time.Duration) time.Duration {
	if v == 0 {
		return def
	}
	return v
}
