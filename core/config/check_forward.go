package config

import (
	"fmt"
	"strings"

	"github.com/birchdrift/birchdrift/core/code"
)

// Validation of forwards and of announced services.

// exactlyOne reports whether exactly one of the conditions is true.
func exactlyOne(conditions ...bool) bool {
	n := 0
	for _, c := range conditions {
		if c {
			n++
		}
	}
	return n == 1
}

// checkAnnounced checks the engine pool of service i if its replicas announce
// themselves.
func (c *checker) checkAnnounced(i int, a *Announced) {
	if a == nil || a.Engine == nil {
		return
	}
	e := a.Engine
	c.checkPositive(int64(e.Sequences), "sequences", "services", i, "announced", "engine", "sequences")
	c.checkPositive(e.MemoryMB, "memory_mb", "services", i, "announced", "engine", "memory_mb")
	seen := map[string]bool{}
	for j, m := range e.Models {
		path := []any{"services", i, "announced", "engine", "models", j}
		c.checkName(seen, m.Name, path...)
		c.checkPositive(m.MemoryMB, "memory_mb", append(path, "memory_mb")...)
		if m.MemoryMB > e.MemoryMB {
			c.addFault(code.ConfigNeverFits, fmt.Sprintf("the model needs %d MB, but an engine has %d MB", m.MemoryMB, e.MemoryMB), append(path, "memory_mb")...)
		}
	}
}

// checkForwards checks the forwards. A prefix may occur only once for each host.
func (c *checker) checkForwards() {
	services := map[string]bool{}
	for _, s := range c.doc.Services {
		services[s.Name] = s.Announced != nil
	}
	names := map[string]bool{}
	seen := map[string]bool{}
	for i, f := range c.doc.Forwards {
		c.checkName(names, f.Name, "forwards", i)
		if f.Host == "" {
			c.addFault(code.ConfigBadValue, "a host is required", "forwards", i, "host")
		}
		if !strings.HasPrefix(f.Prefix, "/") || !strings.HasSuffix(f.Prefix, "/") {
			c.addFault(code.ConfigBadValue, fmt.Sprintf("prefix %q does not begin and end with a slash", f.Prefix), "forwards", i, "prefix")
		}
		if key := strings.ToLower(f.Host) + f.Prefix; seen[key] {
			c.addFault(code.ConfigDuplicateName, fmt.Sprintf("%s%s has more than one forward", f.Host, f.Prefix), "forwards", i)
		} else {
			seen[key] = true
		}
		switch f.Kind {
		case Repeatable, Once, Stream:
		default:
			c.addFault(code.ConfigBadValue, fmt.Sprintf("kind is %q, must be repeatable, once or stream", f.Kind), "forwards", i, "kind")
		}
		if f.Timeout <= 0 {
			c.addFault(code.ConfigBadValue, "a positive timeout is required", "forwards", i, "timeout")
		}
		c.checkSplit(i, f, services)
	}
}

// checkSplit checks the services and weights of forward i. The map services holds,
// for each defined service, whether its replicas announce themselves.
func (c *checker) checkSplit(i int, f Forward, services map[string]bool) {
	total := 0
	for j, s := range f.Split {
		announced, ok := services[s.Service]
		if !ok {
			c.addFault(code.ConfigDanglingName, fmt.Sprintf("no service %q is defined", s.Service), "forwards", i, "split", j, "service")
		} else if !announced {
			c.addFault(code.ConfigBadValue, fmt.Sprintf("the replicas of %q do not announce themselves", s.Service), "forwards", i, "split", j, "service")
		}
		if s.Weight < 0 || s.Weight > maxShare {
			c.addFault(code.ConfigBadValue, fmt.Sprintf("weight is %d, must be between 0 and %d", s.Weight, maxShare), "forwards", i, "split", j, "weight")
		}
		total += s.Weight
	}
	if total <= 0 {
		c.addFault(code.ConfigBadValue, "the sum of the weights must be positive", "forwards", i, "split")
	}
}
