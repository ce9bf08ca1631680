package instance

import (
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/logevent"
)

// PlatformSource is the Source of configurations that the platform sent.
const PlatformSource = "platform"

type (
	// ConfigReply brings a configuration, or ends a watch of it.
	ConfigReply struct {
		Snapshot *config.Snapshot // nil if there is nothing newer
		Encoded  []byte           // of the snapshot, to pass on to peers
		Source   string           // PlatformSource or the peer's name
		Err      error
	}
	// ConfigInstalled is an action: a revision is in force from now on.
	ConfigInstalled struct{ Snapshot *config.Snapshot }
)

// IsEvent implements step.Event.
func (ConfigReply) IsEvent() {}

// IsAction implements step.Action.
func (ConfigInstalled) IsAction() {}

// handleConfigReply takes in a configuration that the platform or a peer sent.
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

// install puts a newer revision in force; an older one changes nothing.
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

// replayRecords tells the pool what was heard of upstreams before the revision
// that defines them.
func (m *Machine) replayRecords(now clock.Instant) {
	all := m.state.Records.Since(0, "", true, 0)
	for _, r := range all.Residencies {
		m.state.Pool.ObserveResidency(now, r.Engine, r.Residency)
	}
	for _, l := range all.Listed {
		m.listing.Apply(now, l)
	}
}
