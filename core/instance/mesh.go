package instance

import (
	"time"

	"github.com/birchdrift/birchdrift/core/share"
	"github.com/birchdrift/birchdrift/core/step"
)

// A small fleet exchanges pairwise: each instance begins an exchange with every
// peer whose name comes after its own, so that all hear from all, at first hand
// and within MeshEvery. A larger one uses the ring of neighbours.

// meshMost is how many instances a fleet may have to exchange pairwise.
const meshMost = 16

// meshed reports whether the fleet exchanges pairwise.
func (m *Machine) meshed() bool {
	return m.opt.MeshEvery > 0 && m.members.Size() <= meshMost
}

func (m *Machine) meshDue() {
	x := &m.exchanges
	if !m.meshed() || m.now.Before(x.meshDue) {
		return
	}
	x.meshDue = m.now.Add(step.Jitter(m.rng, m.opt.MeshEvery))
	for _, p := range m.members.Peers() {
		if p.Name > m.self.Name && (!p.Failing() || x.count%failingEvery == 0) {
			m.exchangeWith(p)
		}
	}
	x.count++
	m.pool.ForgetUsed()
}

// failingEvery is every how manyth round a peer that does not answer is tried.
const failingEvery = 4

// uses returns what a message says of the calls in flight here.
func (m *Machine) uses(msg *share.Message) {
	if m.opt.MeshEvery > 0 {
		msg.Uses = m.pool.OwnUse(m.now)
	}
}

// takeUses takes in what a peer has in flight.
func (m *Machine) takeUses(msg share.Message) {
	if msg.Uses == nil {
		return
	}
	m.pool.ObserveUse(m.now, msg.From, msg.Uses)
	for engine, use := range msg.Uses {
		e := m.engines[engine]
		if e == nil {
			continue
		}
		for _, item := range use.Items {
			e.Used(m.now, item)
		}
	}
}

// zoneDoubtCost keeps calls from the replicas of a zone none of whose instances
// answers, where others can serve them.
const zoneDoubtCost = 400 * time.Millisecond

// zoneDoubt returns the cost of a zone that seems to be cut off from this one.
func (m *Machine) zoneDoubt(zone string) time.Duration {
	if zone == m.self.Zone || !m.meshed() || !m.zoneSilent(zone) {
		return 0
	}
	return zoneDoubtCost
}

// zoneSilent reports whether the zone has instances and none of them answers.
func (m *Machine) zoneSilent(zone string) bool {
	known := false
	for _, p := range m.members.Peers() {
		if p.Zone != zone {
			continue
		}
		known = true
		if !p.Failing() {
			return false
		}
	}
	return known
}
