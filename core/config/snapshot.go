package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sort"
	"strings"

	"github.com/birchdrift/birchdrift/core/policy"
)

// A Snapshot is one accepted revision, indexed for lookup. It is immutable and
// safe for concurrent use.
type Snapshot struct {
	doc      Document
	services map[string]*Service
	models   map[string]*Model
	adapters map[string]*Adapter
	engines  map[string]*Engine
	policies map[string]*policy.Program
	callers  map[string]*Caller // by hex hash of the key
	forwards forwardTable
}

// NewSnapshot indexes doc and compiles its policies. The document must have
// passed File.Validate; an error means that it did not.
func NewSnapshot(doc Document) (*Snapshot, error) {
	doc = doc.withDefaults()
	s := &Snapshot{
		doc:      doc,
		services: make(map[string]*Service, len(doc.Services)),
		models:   make(map[string]*Model, len(doc.Models)),
		adapters: make(map[string]*Adapter, len(doc.Adapters)),
		engines:  make(map[string]*Engine, len(doc.Engines)),
		policies: make(map[string]*policy.Program, len(doc.Policies)),
		callers:  make(map[string]*Caller, len(doc.Callers)),
		forwards: newForwardTable(doc.Forwards),
	}
	for i := range doc.Services {
		s.services[doc.Services[i].Name] = &doc.Services[i]
	}
	for i := range doc.Models {
		s.models[doc.Models[i].Name] = &doc.Models[i]
	}
	for i := range doc.Adapters {
		s.adapters[doc.Adapters[i].Name] = &doc.Adapters[i]
	}
	for i := range doc.Engines {
		s.engines[doc.Engines[i].Name] = &doc.Engines[i]
	}
	for i := range doc.Callers {
		s.callers[strings.ToLower(doc.Callers[i].KeySHA256)] = &doc.Callers[i]
	}
	for _, p := range doc.Policies {
		program, err := policy.Compile(p.Priority, p.Refuse, p.Wait, policy.Decision(p.Default))
		if err != nil {
			return nil, err
		}
		s.policies[p.Name] = program
	}
	return s, nil
}

// Revision returns the revision of the document; a nil snapshot has revision 0.
func (s *Snapshot) Revision() uint64 {
	if s == nil {
		return 0
	}
	return s.doc.Revision
}

// Document returns the document with its defaults filled in. The caller must not
// modify the contents of its slices.
func (s *Snapshot) Document() Document { return s.doc }

// Service returns the service with the given name. The name of a model that no
// service has denotes a service of that one model, with default targets and no
// policy.
func (s *Snapshot) Service(name string) (Service, bool) {
	if svc, ok := s.services[name]; ok {
		return *svc, true
	}
	if m, ok := s.models[name]; ok {
		return Service{
			Name:     name,
			Versions: []Version{{Name: name, Model: m.Name, Share: 1}},
			Target:   Target{FirstToken: DefaultFirstToken, BetweenTokens: DefaultBetweenTokens},
		}, true
	}
	return Service{}, false
}

// EnginePool returns the pool of engines that announce themselves for a service;
// ok is false if the service has none, or there is no configuration.
func (s *Snapshot) EnginePool(service string) (p *EnginePool, ok bool) {
	if s == nil {
		return nil, false
	}
	svc, found := s.Service(service)
	if !found || svc.Announced == nil || svc.Announced.Engine == nil {
		return nil, false
	}
	return svc.Announced.Engine, true
}

// Model returns the model with the given name.
func (s *Snapshot) Model(name string) (Model, bool) {
	if m, ok := s.models[name]; ok {
		return *m, true
	}
	return Model{}, false
}

// Engine returns the engine with the given name.
func (s *Snapshot) Engine(name string) (Engine, bool) {
	if e, ok := s.engines[name]; ok {
		return *e, true
	}
	return Engine{}, false
}

// ItemMemoryMiB returns the accelerator memory of a model or adapter, 0 if unknown.
func (s *Snapshot) ItemMemoryMiB(item string) int64 {
	if m, ok := s.models[item]; ok {
		return m.MemoryMiB
	}
	if a, ok := s.adapters[item]; ok {
		return a.MemoryMiB
	}
	return 0
}

// BaseModel returns the base model of an adapter, or "" if item is not an
// adapter.
func (s *Snapshot) BaseModel(item string) string {
	if a, ok := s.adapters[item]; ok {
		return a.Model
	}
	return ""
}

// Policy returns the compiled policy with the given name, or nil if there is none.
func (s *Snapshot) Policy(name string) *policy.Program { return s.policies[name] }

// CallerByKey returns the caller that key belongs to. If no callers are
// configured, every key is accepted, as the caller "".
func (s *Snapshot) CallerByKey(key string) (Caller, bool) {
	if len(s.callers) == 0 {
		return Caller{}, true
	}
	sum := sha256.Sum256([]byte(key))
	digest := hex.EncodeToString(sum[:])
	c, ok := s.callers[digest]
	if !ok {
		return Caller{}, false
	}
	// The map lookup compares hashes, so its timing reveals nothing about the
	// key. The constant-time comparison keeps that true if the index changes.
	same := subtle.ConstantTimeCompare([]byte(strings.ToLower(c.KeySHA256)), []byte(digest)) == 1
	return *c, same
}

// MayCall reports whether the caller may call the service.
func (c Caller) MayCall(service string) bool {
	if len(c.Services) == 0 {
		return true
	}
	for _, s := range c.Services {
		if s == service {
			return true
		}
	}
	return false
}

// PickVersion returns the version for a random draw in [0,1), by share.
func (s Service) PickVersion(draw float64) Version {
	total := 0
	for _, v := range s.Versions {
		total += v.Share
	}
	at := int(draw * float64(total))
	for _, v := range s.Versions {
		if at < v.Share {
			return v
		}
		at -= v.Share
	}
	return s.Versions[len(s.Versions)-1]
}

// MayRepeat reports whether a call to a path of the service may run more than
// once. The route with the longest matching prefix overrides the service.
func (s Service) MayRepeat(path string) bool {
	best := -1
	repeatable := !s.NotRepeatable
	for _, r := range s.Routes {
		if strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > best {
			best = len(r.Prefix)
			repeatable = !r.NotRepeatable
		}
	}
	return repeatable
}

// ServiceNames returns the names that callers may use, of services and of models,
// sorted.
func (s *Snapshot) ServiceNames() []string {
	var names []string
	for name := range s.services {
		names = append(names, name)
	}
	for name := range s.models {
		if _, taken := s.services[name]; !taken {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Current holds the configuration in force on one instance. The modules of its
// state machine share it, and it changes only when a newer revision is installed.
// A Current without a snapshot has revision 0.
type Current struct {
	*Snapshot
	Encoded []byte // the snapshot as received, to send to peers
}

// Loaded reports whether a configuration is in force.
func (c *Current) Loaded() bool { return c.Snapshot != nil }
