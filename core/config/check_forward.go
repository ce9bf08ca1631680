package config

import (
	"fmt"
	"strings"

	"github.com/birchdrift/birchdrift/core/code"
)

// Checks of forwards and of announced services.

func exactlyOne(conditions ...bool) bool {
	n := 0
	for _, c := range conditions {
		if c {
			n++
		}
	}
	return n == 1
}

// checkAnnounced checks what a service says of replicas that announce themselves.
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
			c.addFault(code.ConfigNeverFits, fmt.Sprintf("%d MB, an engine has %d MB", m.MemoryMB, e.MemoryMB), append(path, "memory_mb")...)
		}
	}
}

// checkForwards checks where calls are sent; a prefix may stand once for each host.
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
			c.addFault(code.ConfigBadValue, "a host is needed", "forwards", i, "host")
		}
		if !strings.HasPrefix(f.Prefix, "/") || !strings.HasSuffix(f.Prefix, "/") {
			c.addFault(code.ConfigBadValue, fmt.Sprintf("%q does not begin and end with a slash", f.Prefix), "forwards", i, "prefix")
		}
		if key := strings.ToLower(f.Host) + f.Prefix; seen[key] {
			c.addFault(code.ConfigDuplicateName, fmt.Sprintf("%s%s is forwarded twice", f.Host, f.Prefix), "forwards", i)
		} else {
			seen[key] = true
		}
		switch f.Kind {
		case Repeatable, Once, Stream:
		default:
			c.addFault(code.ConfigBadValue, fmt.Sprintf("kind is %q, allowed: repeatable, once, stream", f.Kind), "forwards", i, "kind")
		}
		if f.Timeout <= 0 {
			c.addFault(code.ConfigBadValue, "a timeout is needed", "forwards", i, "timeout")
		}
		c.checkSplit(i, f, services)
	}
}

func (c *checker) checkSplit(i int, f Forward, services map[string]bool) {
	total := 0
	for j, s := range f.Split {
		announced, ok := services[s.Service]
		if !ok {
			c.addFault(code.ConfigDanglingName, fmt.Sprintf("no service %q", s.Service), "forwards", i, "split", j, "service")
		} else if !announced {
			c.addFault(code.ConfigBadValue, fmt.Sprintf("the replicas of %q do not announce themselves", s.Service), "forwards", i, "split", j, "service")
		}
		if s.Weight < 0 || s.Weight > maxShare {
			c.addFault(code.ConfigBadValue, fmt.Sprintf("weight is %d, 0 to %d allowed", s.Weight, maxShare), "forwards", i, "split", j, "weight")
		}
		total += s.Weight
	}
	if total <= 0 {
		c.addFault(code.ConfigBadValue, "the weights sum to 0", "forwards", i, "split")
	}
}
