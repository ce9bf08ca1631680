package shell

import (
	"sync/atomic"

	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/instance"
)

// A publishedState is the part of the machine's state that handlers may read from any
// goroutine. It is immutable.
type publishedState struct {
	config    *config.Snapshot
	ready     bool
	reason    string // why the instance is not ready
	stopBegun bool   // a planned stop has begun
}

// A stateCell holds the latest publishedState.
type stateCell struct {
	current   atomic.Pointer[publishedState]
	installed *config.Snapshot // configuration for the next publish; accessed on the machine's goroutine only
}

// publish stores the state of m, with the installed configuration, unless it is unchanged.
func (c *stateCell) publish(m *instance.Machine) {
	ready, reason := m.Ready()
	old := c.current.Load()
	if old != nil && old.ready == ready && old.reason == reason && old.stopBegun == m.Stopping() && old.config == c.installed {
		return
	}
	c.current.Store(&publishedState{config: c.installed, ready: ready, reason: reason, stopBegun: m.Stopping()})
}

func (c *stateCell) config() *config.Snapshot {
	if v := c.current.Load(); v != nil {
		return v.config
	}
	return nil
}

func (c *stateCell) ready() (bool, string) {
	if v := c.current.Load(); v != nil {
		return v.ready, v.reason
	}
	return false, "starting"
}

func (c *stateCell) stopping() bool {
	v := c.current.Load()
	return v != nil && v.stopBegun
}
