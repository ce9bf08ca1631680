package instance

import "github.com/birchdrift/birchdrift/core/clock"

// Placing models on the engines that announce themselves. One instance, the
// placer, decides which models are loaded where; the owners of the engines give
// the orders. Its record in the registry hangs on its lease.

// A placementView is the machine's work as the placer.
type placementView struct {
	seeking bool
	since   clock.Instant // when this instance became the placer
}

// placing reports whether this instance places models.
func (m *Machine) placing() bool {
	p := m.registry.placer
	return p.Name == m.self.Name && p.Boot == m.self.Boot && m.mayOrderEngines()
}

func (m *Machine) placerReply(e WriteReply) {
	m.placement.seeking = false
	if e.Err != nil {
		m.platformSays(e.Err)
		return
	}
	if e.Conflict {
		return // the watch brings what stands there
	}
	m.registry.placer = *e.Write.Placer
	m.registry.placer.Revision = e.Revision
	m.placement.since = m.now
}
