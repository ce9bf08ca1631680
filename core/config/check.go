package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"

	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/policy"
)

// Limits on the values of a configuration.
const (
	maxNameLength = 128       // bytes
	maxShare      = 1_000_000 // largest share of a version, and weight of a service in a split
	sha256HexLen  = 64        // hex digits
)

var nameRE = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Validate returns all faults of the file; if there are none, the file may be
// applied.
func (f File) Validate() []*code.Error {
	c := checker{file: f, doc: f.Document.withDefaults()}
	c.checkZones()
	c.checkEngines()
	c.checkModels()
	c.checkPolicies()
	c.checkServices()
	c.checkForwards()
	c.checkCallers()
	c.checkPlannerLimits()
	return c.faults
}

// A checker collects the faults of one file.
type checker struct {
	file            File
	doc             Document
	faults          []*code.Error
	zoneNames       map[string]bool
	modelMemory     map[string]int64  // in MiB, by model
	baseModels      map[string]string // base model by adapter
	policyNames     map[string]bool
	maxEngineMemory int64 // memory of the largest engine, in MiB
}

// addFault records a fault at path, with its line.
func (c *checker) addFault(num code.Code, detail string, path ...any) {
	c.faults = append(c.faults, &code.Error{
		Code:   num,
		Path:   pathString(path...),
		Line:   c.file.lineAt(path...),
		Detail: detail,
	})
}

// checkName records a fault if name is malformed or already in seen. It adds a
// well-formed name to seen.
func (c *checker) checkName(seen map[string]bool, name string, path ...any) {
	path = append(append([]any(nil), path...), "name")
	if len(name) > maxNameLength || !nameRE.MatchString(name) {
		c.addFault(code.ConfigBadValue, fmt.Sprintf("%q is not a valid name: letters, digits, '.', '_' and '-', at most %d bytes", name, maxNameLength), path...)
		return
	}
	if seen[name] {
		c.addFault(code.ConfigDuplicateName, fmt.Sprintf("%q is defined twice", name), path...)
	}
	seen[name] = true
}

// checkPositive records a fault if v, the value of the field what, is less than 1.
func (c *checker) checkPositive(v int64, what string, path ...any) {
	if v <= 0 {
		c.addFault(code.ConfigBadValue, fmt.Sprintf("%s is %d, must be at least 1", what, v), path...)
	}
}

// checkEndpoint checks the address and the zone of an upstream.
func (c *checker) checkEndpoint(address, zone string, path ...any) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.addFault(code.ConfigBadValue, fmt.Sprintf("address %q is not of the form IP:port", address), append(append([]any(nil), path...), "address")...)
	}
	if !c.zoneNames[zone] {
		c.addFault(code.ConfigDanglingName, fmt.Sprintf("no zone %q", zone), append(append([]any(nil), path...), "zone")...)
	}
}

func (c *checker) checkZones() {
	c.zoneNames = map[string]bool{}
	for i, z := range c.doc.Zones {
		c.checkName(c.zoneNames, z.Name, "zones", i)
	}
	if len(c.doc.Zones) == 0 {
		c.addFault(code.ConfigBadValue, "at least one zone is required", "zones")
	}
}

func (c *checker) checkEngines() {
	seen := map[string]bool{}
	for i, e := range c.doc.Engines {
		c.checkName(seen, e.Name, "engines", i)
		c.checkEndpoint(e.Address, e.Zone, "engines", i)
		c.checkPositive(int64(e.Accelerators), "accelerators", "engines", i, "accelerators")
		c.checkPositive(e.MemoryMiB, "memory_mib", "engines", i, "memory_mib")
		c.checkPositive(int64(e.Sequences), "sequences", "engines", i, "sequences")
		c.maxEngineMemory = max(c.maxEngineMemory, e.MemoryMiB)
	}
}

// checkModels checks models and adapters. They share one namespace because an
// engine's memory holds both as items.
func (c *checker) checkModels() {
	c.modelMemory = map[string]int64{}
	c.baseModels = map[string]string{}
	seen := map[string]bool{}
	for i, m := range c.doc.Models {
		c.checkName(seen, m.Name, "models", i)
		c.checkPositive(m.MemoryMiB, "memory_mib", "models", i, "memory_mib")
		c.checkFits(m.MemoryMiB, "models", i, "memory_mib")
		c.modelMemory[m.Name] = m.MemoryMiB
	}
	for i, a := range c.doc.Adapters {
		c.checkName(seen, a.Name, "adapters", i)
		c.checkPositive(a.MemoryMiB, "memory_mib", "adapters", i, "memory_mib")
		base, ok := c.modelMemory[a.Model]
		if !ok {
			c.addFault(code.ConfigDanglingName, fmt.Sprintf("no model %q is defined", a.Model), "adapters", i, "model")
			continue
		}
		c.baseModels[a.Name] = a.Model
		c.checkFits(base+a.MemoryMiB, "adapters", i, "memory_mib")
	}
}

// checkFits records a fault if no engine has mib MiB of memory. That is the memory
// that a model needs, or an adapter together with its model.
func (c *checker) checkFits(mib int64, path ...any) {
	if mib > c.maxEngineMemory {
		c.addFault(code.ConfigNeverFits, fmt.Sprintf("needs %d MiB (an adapter together with its model), but the largest engine has %d MiB", mib, c.maxEngineMemory), path...)
	}
}

func (c *checker) checkPolicies() {
	c.policyNames = map[string]bool{}
	for i, p := range c.doc.Policies {
		c.checkName(c.policyNames, p.Name, "policies", i)
		for _, e := range []struct {
			field, text string
			kind        policy.ResultType
		}{
			{"priority", p.Priority, policy.Int},
			{"refuse", p.Refuse, policy.Bool},
			{"wait", p.Wait, policy.Duration},
		} {
			if err := policy.Validate(e.text, e.kind); err != nil {
				c.addFault(code.ConfigBadPolicy, err.Error(), "policies", i, e.field)
			}
		}
		if p.Default.Priority < 0 || p.Default.Priority > policy.MaxPriority {
			c.addFault(code.ConfigBadValue, "the priority must be between 0 and 100", "policies", i, "default", "priority")
		}
	}
}

func (c *checker) checkServices() {
	seen := map[string]bool{}
	replicas := map[string]bool{} // engines share the namespace of replicas
	for _, e := range c.doc.Engines {
		replicas[e.Name] = true
	}
	for i, s := range c.doc.Services {
		c.checkName(seen, s.Name, "services", i)
		if !exactlyOne(len(s.Versions) > 0, len(s.Replicas) > 0, s.Announced != nil) {
			c.addFault(code.ConfigBadValue, "a service must have exactly one of versions, replicas and announced", "services", i)
		}
		c.checkAnnounced(i, s.Announced)
		if s.Policy != "" && !c.policyNames[s.Policy] {
			c.addFault(code.ConfigDanglingName, fmt.Sprintf("no policy %q is defined", s.Policy), "services", i, "policy")
		}
		if s.Target.FirstToken < 0 || s.Target.BetweenTokens < 0 {
			c.addFault(code.ConfigBadValue, "targets must not be negative", "services", i, "target")
		}
		c.checkVersions(i, s)
		for j, r := range s.Replicas {
			c.checkName(replicas, r.Name, "services", i, "replicas", j)
			c.checkEndpoint(r.Address, r.Zone, "services", i, "replicas", j)
			c.checkPositive(int64(r.MaxConcurrent), "concurrent", "services", i, "replicas", j, "concurrent")
		}
	}
}

func (c *checker) checkVersions(i int, s Service) {
	seen := map[string]bool{}
	total := 0
	for j, v := range s.Versions {
		c.checkName(seen, v.Name, "services", i, "versions", j)
		if _, ok := c.modelMemory[v.Model]; !ok {
			c.addFault(code.ConfigDanglingName, fmt.Sprintf("no model %q is defined", v.Model), "services", i, "versions", j, "model")
		}
		if base, ok := c.baseModels[v.Adapter]; v.Adapter != "" && (!ok || base != v.Model) {
			c.addFault(code.ConfigDanglingName, fmt.Sprintf("no adapter %q is defined for model %q", v.Adapter, v.Model), "services", i, "versions", j, "adapter")
		}
		if v.Share < 0 || v.Share > maxShare {
			c.addFault(code.ConfigBadValue, fmt.Sprintf("share is %d, must be between 0 and %d", v.Share, maxShare), "services", i, "versions", j, "share")
		}
		total += v.Share
	}
	if len(s.Versions) > 0 && total <= 0 {
		c.addFault(code.ConfigBadValue, "the sum of the shares of a service must be positive", "services", i, "versions")
	}
}

func (c *checker) checkCallers() {
	names := map[string]bool{}
	services := map[string]bool{}
	for _, s := range c.doc.Services {
		services[s.Name] = true
	}
	for i, caller := range c.doc.Callers {
		c.checkName(names, caller.Name, "callers", i)
		if _, err := hex.DecodeString(caller.KeySHA256); err != nil || len(caller.KeySHA256) != sha256HexLen {
			c.addFault(code.ConfigBadValue, "key_sha256 is not a SHA-256 hash in hex", "callers", i, "key_sha256")
		}
		for j, s := range caller.Services {
			if !services[s] {
				c.addFault(code.ConfigDanglingName, fmt.Sprintf("no service %q is defined", s), "callers", i, "services", j)
			}
		}
	}
}

// checkPlannerLimits checks the parameters of the residency planner and of the
// weight store.
func (c *checker) checkPlannerLimits() {
	if c.doc.Residency.MoveCost < 0 {
		c.addFault(code.ConfigBadValue, "move_cost is negative", "residency", "move_cost")
	}
	if c.doc.Residency.MinimumStay < 0 {
		c.addFault(code.ConfigBadValue, "minimum_stay is negative", "residency", "minimum_stay")
	}
	if c.doc.WeightStore.LoadsPerSecond < 0 || c.doc.WeightStore.MaxConcurrentLoads < 0 {
		c.addFault(code.ConfigBadValue, "limits must not be negative", "weight_store")
	}
}
