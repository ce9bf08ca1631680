package config

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// A Kind states whether and how the calls of a forward may be retried.
type Kind string

// The kinds of forward.
const (
	// Repeatable calls may run more than once.
	Repeatable Kind = "repeatable"
	// Once calls run at most once for each call of a caller, so they are not
	// retried if an attempt may have run.
	Once Kind = "once"
	// Stream calls return a stream of events. A call that is not resumable runs
	// at most once.
	Stream Kind = "stream"
)

// A Forward routes the calls for one host and path prefix to services, with
// method, path, query and body unchanged.
type Forward struct {
	Name   string `yaml:"name"`
	Host   string `yaml:"host"`
	Prefix string `yaml:"prefix"` // begins and ends with a slash
	Kind   Kind   `yaml:"kind"`
	// Resumable reports whether a broken stream may be resumed at another
	// replica.
	Resumable bool `yaml:"resumable,omitempty"`
	// Timeout is the longest time that one call may take.
	Timeout time.Duration `yaml:"timeout"`
	// Target is the latency target. A response has its full value if it ends
	// within this time, or, for a stream, if its first event arrives within it.
	Target time.Duration `yaml:"target,omitempty"`
	// MaxEventGap is the longest time between two events of a stream that meets
	// its target.
	MaxEventGap time.Duration `yaml:"gap,omitempty"`
	// Priority is the priority rank of the calls; 0 is the most urgent.
	Priority int `yaml:"priority,omitempty"`
	// MaxAttempts is the maximum number of replicas that one call may be sent to.
	MaxAttempts int `yaml:"max_attempts,omitempty"`
	// Split distributes the calls among services by weight.
	Split []Share `yaml:"split"`
}

// A Share is the weight of one service in a forward's split.
type Share struct {
	Service string `yaml:"service"`
	Weight  int    `yaml:"weight"`
}

// MayRepeat reports whether a call of the forward may run more than once, so
// that it may be retried after an attempt that may have run.
func (f Forward) MayRepeat() bool {
	return f.Kind == Repeatable || f.Kind == Stream && f.Resumable
}

// Names reports whether the forward sends calls to a service.
func (f Forward) Names(service string) bool {
	return slices.ContainsFunc(f.Split, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// PickService returns the service for a random draw in [0,1), by weight.
func (f Forward) PickService(draw float64) string {
	total := 0
	for _, s := range f.Split {
		total += s.Weight
	}
	at := int(draw * float64(total))
	for _, s := range f.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return f.Split[len(f.Split)-1].Service
}

// Announced configures a service whose replicas announce themselves in the
// platform's list instead of being named in the configuration.
type Announced struct {
	// MaxConnections is the maximum number of connections to one replica, over
	// all instances.
	MaxConnections int `yaml:"max_connections,omitempty"`
	// Engine is set when the replicas run models.
	Engine *EnginePool `yaml:"engine,omitempty"`
}

// An EnginePool describes the engines of an announced service, which are all
// alike, and the models that they may hold.
type EnginePool struct {
	Sequences      int           `yaml:"sequences"`    // maximum number of concurrent calls of one engine
	CacheTokens    int           `yaml:"cache_tokens"` // capacity of its KV cache in tokens, for prompts and responses
	MemoryMB       int64         `yaml:"memory_mb"`    // for weights and adapters together, of one engine
	MaxAdapters    int           `yaml:"max_adapters"` // maximum number of adapters that one engine may hold
	LoadsPerSecond float64       `yaml:"loads_per_second"`
	Models         []PooledModel `yaml:"models"`
}

// A PooledModel is a model that the engines of a pool may hold.
type PooledModel struct {
	Name         string        `yaml:"name"`
	MemoryMB     int64         `yaml:"memory_mb"`
	LoadTime     time.Duration `yaml:"load"`      // from the weight store
	DiskLoadTime time.Duration `yaml:"load_disk"` // from the engine's own disk
	HostLoadTime time.Duration `yaml:"load_host"` // from the engine's host memory
	AdapterCount int           `yaml:"adapters"`  // number of adapters of the model
	AdapterMB    int64         `yaml:"adapter_mb"`
}

// Model returns the pool's model with the given name.
func (p *EnginePool) Model(name string) (PooledModel, bool) {
	for _, m := range p.Models {
		if m.Name == name {
			return m, true
		}
	}
	return PooledModel{}, false
}

// Limits bound the requests that callers of forwards may send, and the time they
// may take.
type Limits struct {
	MaxHeaderBytes int           `yaml:"header_bytes,omitempty"`
	MaxBodyBytes   int64         `yaml:"body_bytes,omitempty"`
	HeaderTimeout  time.Duration `yaml:"header_time,omitempty"`
	IdleTimeout    time.Duration `yaml:"idle_time,omitempty"`
}

// A forwardTable holds the forwards by lower-case host, the longest prefix first.
type forwardTable map[string][]*Forward

func newForwardTable(forwards []Forward) forwardTable {
	t := forwardTable{}
	for i := range forwards {
		f := &forwards[i]
		host := strings.ToLower(f.Host)
		t[host] = append(t[host], f)
	}
	for _, list := range t {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

// Forward returns the forward with the longest prefix that matches a raw path, for
// a host with or without a port.
func (s *Snapshot) Forward(host, path string) (*Forward, bool) {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	for _, f := range s.forwards[strings.ToLower(host)] {
		if strings.HasPrefix(path, f.Prefix) {
			return f, true
		}
	}
	return nil, false
}

// HasForwards reports whether the configuration has any forward.
func (s *Snapshot) HasForwards() bool { return s != nil && len(s.forwards) > 0 }
