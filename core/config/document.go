// Package config provides the operators' configuration: one versioned
// document, its checks, and the immutable Snapshot that every decision reads.
//
// The idea: an instance never reads half of a change. Parse turns bytes into a
// Document, Check refuses it with every fault named by path and line, and
// NewSnapshot indexes it once. From then on the Snapshot is shared without
// locks and never changes; a new revision is a new Snapshot.
//
// Invariants: a Snapshot's Document passed Check; its revision only rises on
// any one instance (package revision of the state machine keeps that).
package config

import "time"

// A Document is the whole of the operators' configuration.
type Document struct {
	// Revision counts accepted changes. birchctl writes it; operators leave it out.
	Revision uint64 `yaml:"revision,omitempty"`
	// ChangeID identifies the apply that wrote this revision, so that an
	// operator whose answer was lost can recognise his own change.
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

// An Engine is one replica that runs models.
type Engine struct {
	Name         string `yaml:"name"`
	Address      string `yaml:"address"` // IP:port
	Zone         string `yaml:"zone"`
	Domain       string `yaml:"domain,omitempty"` // rack or switch it shares fate with
	Accelerators int    `yaml:"accelerators"`
	MemoryMiB    int64  `yaml:"memory_mib"`
	Sequences    int    `yaml:"sequences"` // sequences it runs at once
	// ChecksFence says whether the engine refuses orders under an old fence.
	ChecksFence bool `yaml:"checks_fence,omitempty"`
}

// A Model is a set of weights an engine can hold.
type Model struct {
	Name      string `yaml:"name"`
	MemoryMiB int64  `yaml:"memory_mib"`
	// PrefillPerSecond is the prompt tokens one engine reads a second.
	PrefillPerSecond int `yaml:"prefill_per_second,omitempty"`
	// LoadTime is the usual time to load it at the weight store's full speed.
	LoadTime time.Duration `yaml:"load,omitempty"`
}

// An Adapter is a small set of weights on top of a model.
type Adapter struct {
	Name      string `yaml:"name"`
	Model     string `yaml:"model"`
	MemoryMiB int64  `yaml:"memory_mib"`
}

// A Service is what callers name in a call.
type Service struct {
	Name string `yaml:"name"`
	// Versions share the traffic of a model service.
	Versions []Version `yaml:"versions,omitempty"`
	// Replicas serve a plain service; such a service has no versions.
	Replicas []Replica `yaml:"replicas,omitempty"`
	// Announced is set for a service whose replicas announce themselves; such a
	// service has neither versions nor replicas and is reached by forwards.
	Announced     *Announced `yaml:"announced,omitempty"`
	NotRepeatable bool       `yaml:"not_repeatable,omitempty"`
	// Routes mark paths of a plain service that differ from it.
	Routes []Route `yaml:"routes,omitempty"`
	Target Target  `yaml:"target,omitempty"`
	Policy string  `yaml:"policy,omitempty"`
}

// A Version is one model, or one adapter on its model, with a share of traffic.
type Version struct {
	Name    string `yaml:"name"`
	Model   string `yaml:"model"`
	Adapter string `yaml:"adapter,omitempty"`
	Share   int    `yaml:"share"` // parts; the shares of a service are summed
}

// A Replica is one process of a plain service.
type Replica struct {
	Name          string `yaml:"name"`
	Address       string `yaml:"address"` // IP:port
	Zone          string `yaml:"zone"`
	Domain        string `yaml:"domain,omitempty"`
	MaxConcurrent int    `yaml:"concurrent,omitempty"` // calls it bears at once; 64 if unset
}

// A Route overrides its service for paths that begin with Prefix.
type Route struct {
	Prefix        string `yaml:"prefix"`
	NotRepeatable bool   `yaml:"not_repeatable"`
}

// A Target is what a service promises its callers; zero fields take the defaults.
type Target struct {
	FirstToken    time.Duration `yaml:"first_token,omitempty"`
	BetweenTokens time.Duration `yaml:"between_tokens,omitempty"`
}

// A Caller is somebody who may call. With no callers configured, all may.
type Caller struct {
	Name      string   `yaml:"name"`
	KeySHA256 string   `yaml:"key_sha256"`         // hex of the key's SHA-256
	Services  []string `yaml:"services,omitempty"` // empty admits to every service
}

// A Policy is a short program that decides about one call. Each expression is
// CEL over the variables of package policy; an empty one takes the default.
type Policy struct {
	Name     string  `yaml:"name"`
	Priority string  `yaml:"priority,omitempty"` // int, 0 to 100; what matters most is 100
	Refuse   string  `yaml:"refuse,omitempty"`   // bool
	Wait     string  `yaml:"wait,omitempty"`     // duration the first token may be late
	Default  Verdict `yaml:"default,omitempty"`
}

// A Verdict is what a policy says of a call; as a Policy's Default it stands in
// for an expression that fails.
type Verdict struct {
	Priority int           `yaml:"priority,omitempty"`
	Refuse   bool          `yaml:"refuse,omitempty"`
	Wait     time.Duration `yaml:"wait,omitempty"`
}

// Residency steers the planner.
type Residency struct {
	// MoveCost is the demand, in target seconds saved, that one move must earn.
	// Higher means fewer moves; 1 is the default.
	MoveCost float64 `yaml:"move_cost,omitempty"`
	// MinimumStay is how long a model stays resident before it may be dropped.
	MinimumStay time.Duration `yaml:"minimum_stay,omitempty"`
}

// WeightStore carries the limits of the store that all zones load from.
type WeightStore struct {
	LoadsPerSecond     float64 `yaml:"loads_per_second,omitempty"`
	MaxConcurrentLoads int     `yaml:"at_once,omitempty"`
}

// Defaults of fields that operators may leave out.
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

// withDefaults returns d with unset fields filled in.
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
