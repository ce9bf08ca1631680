package instance

import (
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/logevent"
)

// PlatformSource is the Source of a configuration from the platform.
const PlatformSource = "platform"

type (
	// ConfigReply is the result of a watch of the configuration, or a configuration
	// from a peer.
	ConfigReply struct {
		Snapshot *config.Snapshot // nil if there is nothing newer
		Encoded  []byte           // of the snapshot, to send to peers
		Source   string           // PlatformSource or the peer's name
		Err      error
	}
	// ConfigInstalled is the action that reports that a revision is now in force.
	ConfigInstalled struct{ Snapshot *config.Snapshot }
)

// IsEvent implements step.Event.
func (ConfigReply) IsEvent() {}

// IsAction implements step.Action.
func (ConfigInstalled) IsAction() {}

// handleConfigReply handles a configuration that the platform or a peer sent.
func (m *Machine) handleConfigReply(now clock.Instant, e ConfigReply) {
	if e.Source == PlatformSource {
		m.env.handleConfigReply(now, e.Err)
	}
	if e.Err != nil {
		if e.Snapshot == nil && e.Encoded != nil {
			m.state.Out.Log(logevent.ConfigFailed, "source", e.Source, "error", e.Err.Error())
		}
		return
	}
	if e.Snapshot != nil {
		m.install(now, e)
	}
}

// install puts a newer revision in force and ignores an older one.
func (m *Machine) install(now clock.Instant, e ConfigReply) {
	s := e.Snapshot
	if s.Revision() <= m.state.Config.Revision() && !m.state.Options.Disable.Monotonic {
		if s.Revision() < m.state.Config.Revision() {
			m.state.Out.Log(logevent.OlderConfigIgnored, "offered", s.Revision(), "in_force", m.state.Config.Revision(), "source", e.Source)
		}
		return
	}
	*m.state.Config = config.Current{Snapshot: s, Encoded: e.Encoded}
	m.state.Pool.Apply(s)
	m.orders.owned.Configure()
	m.replayRecords(now)
	m.env.configInstalled(now, s)
	m.exchanges.ConfigInstalled(now)
	m.state.Out.Log(logevent.ConfigInstalled, "revision", s.Revision(), "source", e.Source)
	m.state.Out.Emit(ConfigInstalled{Snapshot: s})
}

// replayRecords applies to the pool the records of upstreams that were received
// before the revision that defines them.
func (m *Machine) replayRecords(now clock.Instant) {
	all := m.state.Records.Since(0, "", true, 0)
	for _, r := range all.Residencies {
		m.state.Pool.ObserveResidency(now, r.Engine, r.Residency)
	}
	for _, l := range all.Listed {
		m.listing.Apply(now, l)
	}
}
