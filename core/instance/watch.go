package instance

import (
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/share"
)

// watchDue begins the watches that are this instance's to keep.
func (m *Machine) watchDue() {
	if m.stop.begun || !m.watches() {
		return
	}
	p := &m.platform
	if m.opt.Environment == option.Platform {
		if p.list.Ready(m.now) {
			p.list.Begin(m.now)
			m.out.Do(WatchPlatform{Wait: m.opt.WatchWait})
		}
		return
	}
	if p.config.Ready(m.now) {
		p.config.Begin(m.now)
		m.out.Do(WatchConfig{Have: m.cfg.Revision(), Wait: m.opt.WatchWait})
	}
	if p.list.Ready(m.now) {
		p.list.Begin(m.now)
		m.out.Do(WatchList{Since: p.version, Wait: m.opt.WatchWait})
	}
}

func (m *Machine) configReply(e ConfigReply) {
	if e.Source == PlatformSource && m.opt.Environment == option.Own {
		m.platformSays(e.Err)
		m.platform.config.End(m.nextWatch())
	}
	if e.Err != nil {
		if e.Snapshot == nil && e.Encoded != nil {
			m.out.Log(logevent.ConfigFailed, "source", e.Source, "error", e.Err.Error())
		}
		return
	}
	if e.Snapshot != nil {
		m.install(e.Snapshot, e.Encoded, e.Source)
	}
}

// PlatformSource is the Source of configurations that the platform sent.
const PlatformSource = "platform"

// install puts a newer revision in force; an older one changes nothing.
func (m *Machine) install(s *config.Snapshot, encoded []byte, source string) {
	if s.Revision() <= m.cfg.Revision() && !m.opt.Disable.Monotonic {
		if s.Revision() < m.cfg.Revision() {
			m.out.Log(logevent.OlderIgnored, "offered", s.Revision(), "in_force", m.cfg.Revision(), "source", source)
		}
		return
	}
	m.cfg = s
	m.encoded = encoded
	m.pool.Apply(s)
	m.configureEngines()
	m.replayRecords()
	m.homes = newHomeView(s, m.self.Zone)
	m.planner.sync(m)
	m.exchanges.aheadAt = m.now
	m.pulled()
	m.exchanges.hurry(m)
	m.out.Log(logevent.Installed, "revision", s.Revision(), "source", source)
	m.out.Do(Install{Snapshot: s, Source: source})
}

// replayRecords tells the pool what was heard of upstreams before the revision
// that defines them.
func (m *Machine) replayRecords() {
	all := m.store.Since(0, "", true, 0)
	for _, r := range all.Residencies {
		m.pool.ObserveResidency(m.now, r.Engine, r.Residency)
	}
	for _, l := range all.Listed {
		m.applyListed(l)
	}
}

func (m *Machine) listReply(e ListReply) {
	if m.opt.Environment == option.Own {
		m.watchReply(WatchReply{Err: e.Err})
	}
	if e.Err != nil {
		return
	}
	m.platform.version = e.Version
	if m.opt.Environment == option.Platform {
		m.exchanges.version = e.Version
	}
	if e.Whole {
		e.Entries = append(e.Entries, m.missing(e.Entries, e.Version)...)
	}
	for _, l := range e.Entries {
		if m.store.AddListed("", l) {
			m.applyListed(l)
			m.soon()
		}
	}
}

// watchReply notes that a watch of the list is over.
func (m *Machine) watchReply(e WatchReply) {
	m.platformSays(e.Err)
	if e.Err == nil {
		m.registry.heardAt = m.platform.list.SentAt()
		m.exchanges.storeAt = later(m.exchanges.storeAt, m.platform.list.SentAt())
	}
	m.platform.list.End(m.nextWatch())
}

// applyListed takes over one entry of the platform's list.
func (m *Machine) applyListed(l share.Listed) {
	if l.Kind == share.Entry {
		m.applyPeer(l)
		return
	}
	if l.Announced != nil || l.Gone && m.announced(l.Name) {
		m.applyAnnounced(l)
		return
	}
	if !l.Leaving && !l.Gone {
		return
	}
	r := m.pool.Get(l.Name)
	if r != nil && !r.Leaving() {
		m.out.Log(logevent.Leaving, "upstream", l.Name, "source", "list")
	}
	m.pool.ObserveListed(l.Name, true)
}

func (m *Machine) applyPeer(l share.Listed) {
	if l.Gone {
		m.members.Forget(l.Name)
		return
	}
	m.members.Learn(l.Name, l.Zone, l.Address)
	m.members.SetLeaving(l.Name, l.Leaving)
}

// nextWatch returns when the next watch of one kind may begin.
func (m *Machine) nextWatch() clock.Instant {
	return m.now.Add(max(m.opt.WatchEvery, m.platform.backoff.Wait(m.rng)))
}
