package config

import (
	"sort"
	"strings"
	"time"
)

// A Kind says what may be done with the calls of a forward.
type Kind string

// The kinds of forward.
const (
	// Repeatable calls may run more than once.
	Repeatable Kind = "repeatable"
	// Once calls run at most once for each call of a caller.
	Once Kind = "once"
	// Stream calls are answered with a series of events. One that is not
	// resumable runs at most once.
	Stream Kind = "stream"
)

// A Forward sends the calls for one host and path prefix to services, with
// method, path, query and body unchanged.
type Forward struct {
	Name   string `yaml:"name"`
	Host   string `yaml:"host"`
	Prefix string `yaml:"prefix"` // begins and ends with a slash
	Kind   Kind   `yaml:"kind"`
	// Resumable says that a broken stream may go on at another replica.
	Resumable bool `yaml:"resumable,omitempty"`
	// Timeout is the longest time one call may be held.
	Timeout time.Duration `yaml:"timeout"`
	// Target is the time within which an answer counts in full: its end, or
	// the first event of a stream.
	Target time.Duration `yaml:"target,omitempty"`
	// MaxEventGap is the longest pause between events that keeps a stream in time.
	MaxEventGap time.Duration `yaml:"gap,omitempty"`
	// Priority is the rank of the calls; 0 is the most urgent.
	Priority int `yaml:"priority,omitempty"`
	// MaxAttempts bounds the replicas that one call may go to.
	MaxAttempts int `yaml:"max_attempts,omitempty"`
	// Split shares the calls out among services by weight.
	Split []Share `yaml:"split"`
}

// A Share is one service's part of a forward's calls.
type Share struct {
	Service string `yaml:"service"`
	Weight  int    `yaml:"weight"`
}

// MayRepeat reports whether a call of the forward may run more than once.
func (f Forward) MayRepeat() bool {
	return f.Kind == Repeatable || f.Kind == Stream && f.Resumable
}

// PickService returns the service for a draw in [0,1), by weight.
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

// An Announced service has replicas that announce themselves in the platform's
// list, rather than being named in the configuration.
type Announced struct {
	// MaxConnections bounds the connections to one replica, over all instances.
	MaxConnections int `yaml:"max_connections,omitempty"`
	// Engine is set when the replicas run models.
	Engine *EnginePool `yaml:"engine,omitempty"`
}

// An EnginePool says what every engine of an announced service is and which
// models it may hold.
type EnginePool struct {
	Sequences      int           `yaml:"sequences"`    // calls one engine runs at once
	CacheTokens    int           `yaml:"cache_tokens"` // tokens its memory for prompts and answers holds
	MemoryMB       int64         `yaml:"memory_mb"`    // for weights and adapters together
	MaxAdapters    int           `yaml:"max_adapters"` // adapters one engine may hold
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
	AdapterCount int           `yaml:"adapters"`  // how many there are
	AdapterMB    int64         `yaml:"adapter_mb"`
}

// Model returns the pool's model with this name.
func (p *EnginePool) Model(name string) (PooledModel, bool) {
	for _, m := range p.Models {
		if m.Name == name {
			return m, true
		}
	}
	return PooledModel{}, false
}

// Limits bound what callers of forwards may send.
type Limits struct {
	MaxHeaderBytes int           `yaml:"header_bytes,omitempty"`
	MaxBodyBytes   int64         `yaml:"body_bytes,omitempty"`
	HeaderTimeout  time.Duration `yaml:"header_time,omitempty"`
	IdleTimeout    time.Duration `yaml:"idle_time,omitempty"`
}

// forwardTable finds the forward of a call: by host, then by longest prefix.
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

// Forward returns the forward for a host, with or without a port, and a raw
// path: the one whose prefix is longest.
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
