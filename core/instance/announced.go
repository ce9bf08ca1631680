package instance

import (
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/share"
)

// Replicas that announce themselves in the platform's list.

// announced reports whether a replica of this name announced itself.
func (m *Machine) announced(name string) bool {
	r := m.pool.Get(name)
	return r != nil && r.Announced
}

// applyAnnounced takes over what the list says of such a replica.
func (m *Machine) applyAnnounced(l share.Listed) {
	if l.Gone {
		m.out.Log(logevent.Vanished, "upstream", l.Name, "version", l.Version)
		m.pool.Vanish(m.now, l.Name)
		return
	}
	r := m.pool.Get(l.Name)
	a := *l.Announced
	if r == nil {
		m.out.Log(logevent.Announced, "upstream", l.Name, "service", a.Service, "address", a.Address, "zone", a.Zone, "version", l.Version)
	}
	if a.Draining && (r == nil || !r.Leaving()) {
		m.out.Log(logevent.Leaving, "upstream", l.Name, "source", "list", "version", l.Version, "remaining", a.Remaining.String())
	}
	m.pool.Announce(m.now, l.Name, a)
	if word, ok := m.store.Residency(l.Name); r == nil && ok {
		m.pool.ObserveResidency(m.now, l.Name, word.Residency)
	}
	if e := m.engines[l.Name]; e != nil {
		e.Announced(a.Models)
		m.workQueue(e)
		m.tellFleet(e)
	}
}

// missing returns the announced replicas that a whole list no longer has, as
// entries that are gone.
func (m *Machine) missing(entries []share.Listed, version uint64) []share.Listed {
	has := make(map[string]bool, len(entries))
	for _, l := range entries {
		has[l.Name] = true
	}
	var gone []share.Listed
	for _, r := range m.pool.All() {
		if r.Announced && !r.Vanished() && !has[r.Name] {
			gone = append(gone, share.Listed{Name: r.Name, Kind: share.Upstream, Zone: r.Zone, Gone: true, Version: version})
		}
	}
	return gone
}

// vanishDue has replicas whose entries went a while ago count as leaving.
func (m *Machine) vanishDue() {
	for _, name := range m.pool.Expire(m.now, pool.VanishSpan) {
		m.out.Log(logevent.Leaving, "upstream", name, "source", "its entry went")
	}
}
