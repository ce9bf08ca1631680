package instance

import (
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/rendezvous"
)

// Who watches the platform. A few instances of each zone do, and the others hear
// from them; a call that waits at the platform costs its operators as much as
// any other. Each instance works this out from its own view. Where views differ
// one too many watches, or one too few until its peers' news grows old.

// storeSilence is how old the newest word of the platform's store may be before
// an instance watches the platform whoever else should.
const storeSilence = 4 * time.Second

// watches reports whether this instance watches the platform now.
func (m *Machine) watches() bool {
	if m.members.HeardWithin(m.now, 5*m.opt.ExchangeEvery) == 0 {
		return true // it may be alone
	}
	if m.opt.Environment == option.Own {
		return m.members.OnDuty(m.now, watchDuty+m.self.Zone, m.opt.Watchers)
	}
	x := &m.exchanges
	behind := x.ahead > m.cfg.Revision() && m.now.Since(x.aheadAt) > pullLimit
	return m.onWatch() || len(m.engines) > 0 || m.placement.held || m.now.Since(x.storeAt) > storeSilence || behind
}

// pullLimit is how long peers that are ahead may leave this instance behind
// before it asks the platform itself.
const pullLimit = 1200 * time.Millisecond

const watchDuty = "watch/"

// onWatch reports whether this instance is among those that keep a watch of the
// platform, of which engines are owned.
func (m *Machine) onWatch() bool {
	for _, name := range m.watchersOf(m.self.Zone) {
		if name == m.self.Name {
			return true
		}
	}
	return false
}

// A dutyView is what was worked out of who has which duty.
type dutyView struct {
	at       clock.Instant
	watchers map[string][]string // by zone
}

// dutyEvery is how long what was worked out of duties is good.
const dutyEvery = 200 * time.Millisecond

// watchersOf returns the instances of a zone that keep a watch of the platform,
// the most suited first: all in a small fleet, else a few.
func (m *Machine) watchersOf(zone string) []string {
	v := &m.duties
	if v.watchers == nil || m.now.Since(v.at) >= dutyEvery {
		v.at = m.now
		v.watchers = map[string][]string{}
	}
	names, ok := v.watchers[zone]
	if !ok {
		names = m.suited(zone)
		if !m.meshed() && len(names) > m.opt.Watchers {
			names = names[:m.opt.Watchers]
		}
		v.watchers[zone] = names
	}
	return names
}

// suited returns the instances of a zone that have a record and answer: those
// with the largest share of a processor first, else by rendezvous hashing.
func (m *Machine) suited(zone string) []string {
	processors := map[string]float64{}
	if zone == m.self.Zone {
		processors[m.self.Name] = m.self.Processor
	}
	for name, i := range m.registry.instances {
		if i.Zone != zone || name == m.self.Name {
			continue
		}
		if p := m.members.Get(name); p != nil && p.Live(m.now) {
			processors[name] = i.Processor
		}
	}
	names := sortedKeys(processors)
	key := rendezvous.Key(watchDuty + zone)
	sort.SliceStable(names, func(i, j int) bool {
		a, b := names[i], names[j]
		if processors[a] != processors[b] {
			return processors[a] > processors[b]
		}
		return rendezvous.Score(key, a) > rendezvous.Score(key, b)
	})
	return names
}

// nextOfFleet draws whom to exchange with in a fleet that watches the platform as
// one and is too large to exchange pairwise: every other time one that watches
// the platform, which has the news first, and the placer, which needs the
// demand; nil to leave it to the ring of neighbours.
func (m *Machine) nextOfFleet() *member.Peer {
	x := &m.exchanges
	switch x.count % 4 {
	case 0, 2:
		return m.nextWatcher(m.self.Zone)
	case 1:
		if p := m.members.Get(m.registry.placer.Name); p != nil && !p.Leaving {
			return p
		}
	case 3:
		if zones := m.zones(); m.onWatch() && len(zones) > 1 {
			return m.nextWatcher(zones[m.rng.IntN(len(zones))])
		}
	}
	return nil
}

// nextWatcher returns the peer of a zone whose turn it is, of those that watch
// the platform.
func (m *Machine) nextWatcher(zone string) *member.Peer {
	var others []*member.Peer
	for _, name := range m.watchersOf(zone) {
		if p := m.members.Get(name); p != nil && !p.Leaving {
			others = append(others, p)
		}
	}
	if len(others) == 0 {
		return nil
	}
	m.exchanges.turn++
	return others[m.exchanges.turn%len(others)]
}

// zones returns the zones that have instances, in order.
func (m *Machine) zones() []string {
	seen := map[string]bool{m.self.Zone: true}
	for _, i := range m.registry.instances {
		seen[i.Zone] = true
	}
	return sortedKeys(seen)
}
