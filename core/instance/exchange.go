package instance

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/demand"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/share"
	"github.com/birchdrift/birchdrift/core/step"
)

// Numbers of the exchanges.
const (
	// abroadEvery is every how manyth exchange goes to another zone.
	abroadEvery = 4
	// plannerEvery is every how manyth exchange goes to the zone's planner,
	// which needs the demand.
	plannerEvery = 2
)

// An exchangeView is what the machine knows of its exchanges.
type exchangeView struct {
	due     clock.Instant
	meshDue clock.Instant // of the exchanges with every peer of a small fleet
	count   int
	acks    map[string]ack      // what each peer confirmed of ours
	flying  map[string]bool     // by address
	turn    int                 // of the neighbours
	news    int                 // exchanges to space by newsSpacing
	urgent  bool                // tell every neighbour without waiting
	pullTo  clock.Instant       // until then a newer revision is being asked for
	version uint64              // of the platform's store, heard at first hand
	peers   map[string]peerWord // what each peer said of itself last
	storeAt clock.Instant       // of the newest word of the platform's store, from whomever
	ahead   uint64              // the newest revision that a peer is known to have
	aheadAt clock.Instant       // since when a peer is known to be ahead
	toldAt  clock.Instant       // when the planner was last told of an unmet demand
	ledAt   clock.Instant       // when other zones' planners were last told of it
}

// A peerWord is what a peer said of itself last.
type peerWord struct {
	boot     uint64
	stamp    uint64 // of its store, when it said so
	revision uint64 // in force there
	store    uint64 // up to where it heard the platform's store at first hand
}

// An ack is a position in one boot of an instance's store.
type ack struct {
	boot  uint64
	stamp uint64
}

func newExchangeView() exchangeView {
	return exchangeView{acks: map[string]ack{}, flying: map[string]bool{}, peers: map[string]peerWord{}}
}

// hurry has the next exchanges begin at once, to spread what is new.
func (x *exchangeView) hurry(m *Machine) {
	x.urgent = true
	x.due = m.now
}

// newsSpacing is how soon the next neighbour is told when there is news that
// calls may wait for: what an engine holds, or who is leaving.
const newsSpacing = 400 * time.Millisecond

// soon brings the next exchange forward for as many turns as there are
// neighbours, so that each of them is told.
func (m *Machine) soon() {
	x := &m.exchanges
	x.news = len(m.members.Neighbours())
	if due := m.now.Add(newsSpacing); due.Before(x.due) {
		x.due = due
	}
}

func (m *Machine) exchangeDue() {
	x := &m.exchanges
	m.pull()
	if m.now.Before(x.due) {
		return
	}
	if m.meshed() && !x.urgent {
		x.due = m.now.Add(step.Jitter(m.rng, m.opt.ExchangeEvery))
		m.contactSeeds()
		return
	}
	every := m.opt.ExchangeEvery
	if x.news > 0 {
		x.news--
		every = min(every, newsSpacing)
	}
	x.due = m.now.Add(step.Jitter(m.rng, every))
	if x.urgent {
		m.exchangeBurst()
		return
	}
	x.count++
	m.exchangeWith(m.nextPeer())
	m.contactSeeds()
}

// tellEvery spaces the words to the planner about unmet demand. Without them a
// call for a cold model would wait for the planner's turn in the rhythm.
const tellEvery = 500 * time.Millisecond

// tellPlanner lets the zone's planner know of an unmet demand soon.
func (m *Machine) tellPlanner() {
	x := &m.exchanges
	if !x.toldAt.IsZero() && m.now.Since(x.toldAt) < tellEvery {
		return
	}
	x.toldAt = m.now
	if m.planning() {
		m.planner.planDue = m.now
		return
	}
	m.exchangeWith(m.members.Get(m.store.Holder(m.self.Zone).Instance))
}

// tellLeaders has a planner tell the planners of other zones of unmet demand
// for items whose first copy is theirs to place.
func (m *Machine) tellLeaders() {
	x := &m.exchanges
	if !x.ledAt.IsZero() && m.now.Since(x.ledAt) < tellEvery {
		return
	}
	zones := m.planningZones()
	told := map[string]bool{m.self.Zone: true}
	for _, it := range m.board.Sum(m.now) {
		if it.Unmet == 0 || len(m.pool.Ready(it.Name)) > 0 {
			continue
		}
		zone := m.leader(zones, it.Name)
		if told[zone] {
			continue
		}
		told[zone] = true
		x.ledAt = m.now
		m.exchangeWith(m.members.Get(m.store.Holder(zone).Instance))
	}
}

// exchangeBurst tells every neighbour, and a peer of another zone, at once.
func (m *Machine) exchangeBurst() {
	m.exchanges.urgent = false
	if m.meshed() {
		for _, p := range m.members.Peers() {
			m.exchangeWith(p)
		}
		return
	}
	for _, p := range m.members.Neighbours() {
		m.exchangeWith(p)
	}
	m.exchangeWith(m.draw(m.members.InZone(false)))
}

// nextPeer draws whom to exchange with: the planner, another zone, or the own
// zone, in a fixed rhythm.
func (m *Machine) nextPeer() *member.Peer {
	x := &m.exchanges
	if m.opt.Environment == option.Platform {
		if p := m.nextOfFleet(); p != nil {
			return p
		}
	}
	if x.count%abroadEvery == 0 {
		if p := m.abroad(); p != nil {
			return p
		}
	}
	if x.count%plannerEvery == 1 {
		if p := m.members.Get(m.store.Holder(m.self.Zone).Instance); p != nil && !p.Leaving {
			return p
		}
	}
	if near := m.members.Neighbours(); len(near) > 0 {
		x.turn++
		return near[x.turn%len(near)]
	}
	return m.draw(m.members.InZone(false))
}

// abroad draws a peer of another zone. A planner draws other zones' planners,
// to tell them which of their models its zone lives on.
func (m *Machine) abroad() *member.Peer {
	if !m.planning() {
		return m.draw(m.members.InZone(false))
	}
	var planners []*member.Peer
	for _, p := range m.members.InZone(false) {
		if m.store.Holder(p.Zone).Instance == p.Name {
			planners = append(planners, p)
		}
	}
	if len(planners) == 0 {
		return m.draw(m.members.InZone(false))
	}
	return m.draw(planners)
}

func (m *Machine) draw(peers []*member.Peer) *member.Peer {
	if len(peers) == 0 {
		return nil
	}
	return peers[m.rng.IntN(len(peers))]
}

// contactSeeds tries one address from the settings while no peer was heard.
func (m *Machine) contactSeeds() {
	if len(m.self.Seeds) == 0 || m.members.HeardWithin(m.now, 5*m.opt.ExchangeEvery) > 0 {
		return
	}
	address := m.self.Seeds[m.rng.IntN(len(m.self.Seeds))]
	if address == m.self.Address || m.exchanges.flying[address] {
		return
	}
	m.exchanges.flying[address] = true
	m.out.Do(Exchange{Address: address, Message: m.message("")})
}

func (m *Machine) exchangeWith(p *member.Peer) {
	if p == nil || m.exchanges.flying[p.Address] {
		return
	}
	m.exchanges.flying[p.Address] = true
	m.out.Do(Exchange{Peer: p.Name, Address: p.Address, Message: m.message(p.Name)})
}

// message composes one side of an exchange with the peer, "" if its name is
// not known yet.
func (m *Machine) message(peer string) share.Message {
	x := &m.exchanges
	known := x.acks[peer]
	word := x.peers[peer]
	sameZone := false
	if p := m.members.Get(peer); p != nil {
		sameZone = p.Zone == m.self.Zone
	}
	msg := share.Message{
		From:     m.self.Name,
		Zone:     m.self.Zone,
		Address:  m.self.Address,
		Boot:     m.self.Boot,
		Leaving:  m.stop.begun,
		Revision: m.cfg.Revision(),
		StoreAge: m.now.Since(x.storeAt),

		StoreVersion: x.version,
		Stamp:        m.store.Stamp(),
		AckBoot:      word.boot,
		Ack:          word.stamp,
		Records:      m.store.Since(known.stamp, peer, sameZone, word.store),
	}
	msg.Demand = m.demandFor(peer)
	if msg.Demand == nil {
		msg.Demand = m.placementDemand(peer)
	}
	m.uses(&msg)
	return msg
}

// demandFor returns what the peer's planning needs to know: this instance's
// demand if it plans for this zone; what this zone lives on elsewhere if both
// are planners.
func (m *Machine) demandFor(peer string) []demand.Item {
	p := m.members.Get(peer)
	if p == nil || m.store.Holder(p.Zone).Instance != peer {
		return nil
	}
	if p.Zone == m.self.Zone {
		return m.meter.Items(m.now)
	}
	if !m.planning() {
		return nil
	}
	return m.borrowed(p.Zone)
}

// borrowed returns the zone's demand for items that it has not and that the
// other zone has ready, or is to place.
func (m *Machine) borrowed(zone string) []demand.Item {
	var items []demand.Item
	zones := m.planningZones()
	// Only what this zone's own callers ask for: what other planners reported
	// here must not come back to them as more demand.
	own := m.board.SumOf(m.now, func(name string) bool {
		p := m.members.Get(name)
		return name == m.self.Name || p != nil && p.Zone == m.self.Zone
	})
	for _, it := range own {
		here := false
		there := false
		for _, r := range m.pool.Ready(it.Name) {
			here = here || r.Zone == m.self.Zone
			there = there || r.Zone == zone
		}
		if !here && (there || m.leader(zones, it.Name) == zone) {
			items = append(items, it)
		}
	}
	return items
}

func (m *Machine) exchangeAsked(e ExchangeAsked) {
	m.take(e.Message)
	reply := m.message(e.Message.From)
	if e.Message.WantConfig && e.Message.Revision < m.cfg.Revision() {
		reply.Config = m.encoded
	}
	m.out.Do(Answer{Token: e.Token, Message: reply})
}

func (m *Machine) exchangeReply(e ExchangeReply) {
	delete(m.exchanges.flying, e.Address)
	if e.Err != nil {
		if p := m.members.Get(e.Peer); p != nil && p.Live(m.now) {
			m.out.Log(logevent.PeerFailed, "peer", e.Peer, "error", e.Err.Error())
		}
		m.members.Failed(m.now, e.Peer)
		m.pull()
		return
	}
	m.take(e.Message)
}

// take takes in what a peer said.
func (m *Machine) take(msg share.Message) {
	if msg.From == "" || msg.From == m.self.Name {
		return
	}
	m.members.Learn(msg.From, msg.Zone, msg.Address)
	m.members.SetLeaving(msg.From, msg.Leaving)
	m.members.Heard(m.now, msg.From)
	x := &m.exchanges
	former := x.peers[msg.From]
	x.peers[msg.From] = peerWord{boot: msg.Boot, stamp: msg.Stamp, revision: msg.Revision, store: msg.StoreVersion}
	// What a new boot confirms may have been composed for the boot before it.
	if msg.AckBoot == m.self.Boot && (former.boot == msg.Boot || former.boot == 0) {
		x.acks[msg.From] = ack{boot: msg.AckBoot, stamp: msg.Ack}
	} else {
		x.acks[msg.From] = ack{} // it has nothing of this boot
	}
	m.takeRecords(msg.From, msg.Records)
	if heard := m.now.Add(-msg.StoreAge); msg.StoreAge > 0 {
		x.storeAt = later(x.storeAt, heard)
	}
	m.takeUses(msg)
	if len(msg.Demand) > 0 {
		m.board.Report(m.now, msg.From, msg.Demand)
		m.placeSoon(msg.Demand)
		m.planSoon(msg.Demand)
	}
	if msg.Revision > x.ahead {
		if x.ahead <= m.cfg.Revision() {
			x.aheadAt = m.now
		}
		x.ahead = msg.Revision
	}
	if len(msg.Config) == 0 {
		m.pull()
	}
}

// pull asks a peer that is ahead for what it has, now. Only one is asked at a
// time, since the whole configuration comes back; another, if that one is slow.
func (m *Machine) pull() {
	x := &m.exchanges
	if x.ahead <= m.cfg.Revision() || m.now.Before(x.pullTo) {
		return
	}
	if m.opt.Environment == option.Platform && m.watches() && !m.platform.down && m.now.Before(x.aheadAt.Add(pullPatience)) {
		return // the platform will bring it, and more cheaply
	}
	p := m.furthestAhead()
	if p == nil {
		return
	}
	x.pullTo = m.now.Add(pullTime)
	x.flying[p.Address] = true
	msg := m.message(p.Name)
	msg.WantConfig = true
	m.out.Do(Exchange{Peer: p.Name, Address: p.Address, Message: msg})
}

// pullTime is how long a configuration that a peer was asked for is waited for
// before another peer is asked. Several at once would share a narrow link, and
// none would arrive.
const pullTime = 600 * time.Millisecond

// furthestAhead returns the peer with the newest revision that is not being asked
// already and seems to answer, one of the own zone before others.
func (m *Machine) furthestAhead() *member.Peer {
	x := &m.exchanges
	var best *member.Peer
	for _, p := range m.members.Peers() {
		word := x.peers[p.Name]
		if word.revision <= m.cfg.Revision() || p.Failing() || x.flying[p.Address] {
			continue
		}
		if best == nil || m.preferred(p, best) {
			best = p
		}
	}
	return best
}

// preferred reports whether a rather than b is asked for a configuration.
func (m *Machine) preferred(a, b *member.Peer) bool {
	x := &m.exchanges
	if near := a.Zone == m.self.Zone; near != (b.Zone == m.self.Zone) {
		return near
	}
	return x.peers[a.Name].revision > x.peers[b.Name].revision
}

// pullPatience is how long an instance that watches the platform itself waits
// for a revision that a peer has, before it asks the peer for it.
const pullPatience = 600 * time.Millisecond

// pulled notes that the request for a configuration is over, so that a still
// newer one that was announced meanwhile is asked for at once.
func (m *Machine) pulled() {
	m.exchanges.pullTo = clock.Instant{}
	m.pull()
}

// planSoon has the next plan made at once if a peer's callers wait.
func (m *Machine) planSoon(items []demand.Item) {
	for _, it := range items {
		if it.Unmet > 0 && m.planning() {
			m.planner.planDue = m.now
			return
		}
	}
}

func (m *Machine) takeRecords(from string, r share.Records) {
	for _, res := range r.Residencies {
		if m.store.AddResidency(from, res) {
			m.noticeLeaving(res)
			m.pool.ObserveResidency(m.now, res.Engine, res.Residency)
			m.soon()
		}
	}
	for _, l := range r.Loads {
		if m.store.AddLoad(from, l) {
			m.pool.ObserveLoad(m.now, l.Engine, l.Load)
		}
	}
	for _, l := range r.Listed {
		if m.store.AddListed(from, l) {
			m.applyListed(l)
			m.soon()
		}
		m.platform.version = max(m.platform.version, l.Version)
	}
	for _, h := range r.Holders {
		m.store.AddHolder(from, h)
	}
	m.takeRegistered(from, r.Registered)
}

func (m *Machine) noticeLeaving(res share.Residency) {
	r := m.pool.Get(res.Engine)
	if r != nil && res.Leaving && !r.Leaving() {
		m.out.Log(logevent.Leaving, "upstream", res.Engine, "source", "itself")
	}
}
