package instance

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/demand"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/place"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/rendezvous"
	"github.com/birchdrift/birchdrift/core/step"
)

// Placing models on the engines that announce themselves. One instance, the
// placer, decides which models are loaded where; the owners of the engines give
// the orders. Its record in the registry hangs on its lease. Two placers at once
// can do no harm to an engine, only to the rate of loads from the weight store;
// so a new one waits with those until the former certainly has stopped.

// Tunables of the placer.
const (
	placeEvery   = 200 * time.Millisecond
	placeGap     = 40 * time.Millisecond // least time between two placements
	changeTime   = 10 * time.Second      // after which a change that is not done is given up
	storeBurst   = 2.0                   // loads from the store that may begin together
	storeShare   = 0.9                   // of the store's rate that is used
	minimumStay  = 3 * time.Second
	blindTime    = 3 * time.Second // for which a new placer learns the demand
	placerDuty   = "placer"
	changeRepeat = 400 * time.Millisecond // between two askings for one order
)

// A placementView is the machine's work as the placer.
type placementView struct {
	seekDue  clock.Instant
	seeking  bool
	held     bool // this instance has the placer's record, by its last write
	due      clock.Instant
	placedAt clock.Instant // when models were placed last
	active   bool
	orphan   bool          // only the own engines, and only what is missed
	since    clock.Instant // when this instance became the placer
	demandAt clock.Instant // since when callers are known to ask for models
	tokens   float64       // loads from the store that may begin
	at       clock.Instant // when tokens were last counted
	changes  map[string]*change
	readyAt  map[placement]clock.Instant // since when a copy is seen ready
}

// A change is a placement under way on one engine.
type change struct {
	place.Change
	begun   clock.Instant
	askedAt clock.Instant
	paid    bool // its load from the weight store was counted
}

func newPlacementView() placementView {
	return placementView{changes: map[string]*change{}, readyAt: map[placement]clock.Instant{}}
}

// placing reports whether this instance places models.
func (m *Machine) placing() bool {
	return m.placement.held && m.mayOrderEngines()
}

// placementDue seeks the placer's record while nobody has it, and places models
// while this instance has.
func (m *Machine) placementDue() {
	v := &m.placement
	if m.opt.Environment == option.Own || m.stop.begun || m.cfg == nil {
		return
	}
	placing := m.placing()
	if !placing {
		m.seekPlacement()
	}
	if !placing && !m.orphaned() {
		if v.active {
			v.active = false
			v.changes = map[string]*change{}
		}
		return
	}
	if !placing || !v.active || v.orphan {
		m.beginPlacing(!placing)
	}
	if m.now.Before(v.due) || !v.placedAt.IsZero() && m.now.Since(v.placedAt) < placeGap {
		return
	}
	v.placedAt = m.now
	v.due = m.now.Add(placeEvery)
	m.placeModels()
}

// beginPlacing begins to place models: for the fleet, or as an orphan for the
// own engines alone.
func (m *Machine) beginPlacing(orphan bool) {
	v := &m.placement
	if v.active && v.orphan == orphan {
		return
	}
	v.active = true
	v.orphan = orphan
	v.changes = map[string]*change{}
	v.since = m.now
	v.at = m.now
	v.tokens = 0
	v.demandAt = m.now
	m.out.Log(logevent.Placing, "orphan", orphan, "revision", m.registry.placer.Revision)
}

// orphaned reports whether this instance owns engines and cannot hear of the
// placer, as in a zone that is cut off: then it brings in what its own callers
// miss, from the weights that its engines have at hand.
func (m *Machine) orphaned() bool {
	return len(m.engines) > 0 && m.mayOrderEngines() && m.placerSilent()
}

// placerSilent reports whether the placer is another instance that does not
// answer this one.
func (m *Machine) placerSilent() bool {
	p := m.members.Get(m.registry.placer.Name)
	return p != nil && p.Failing()
}

// seekPlacement writes the placer's record where there is none, or where it is
// this instance's from before it may have lost it. Instances come in the order
// of their rank, should those before them not do it.
func (m *Machine) seekPlacement() {
	v := &m.placement
	g := &m.registry
	if v.seeking || m.now.Before(v.seekDue) || !g.enrolled || !g.known || g.steadyAt.IsZero() || !m.onWatch() {
		return
	}
	v.seekDue = m.now.Add(step.Jitter(m.rng, claimEvery))
	if g.placer.Name != "" && g.placer.Name != m.self.Name {
		return
	}
	if g.placer.Name == "" && m.now.Before(later(g.steadyAt, g.placerGone).Add(time.Duration(m.placerRank())*claimStep)) {
		return
	}
	v.seeking = true
	m.out.Do(WriteRegistry{Write: RegistryWrite{Placer: &registry.Placer{Name: m.self.Name, Boot: m.self.Boot, Revision: g.placer.Revision}}, Lease: g.lease})
}

// placerRank returns how many instances come before this one as the placer: of
// those that watch the platform, the ones with more of a processor, else by
// rendezvous hashing.
func (m *Machine) placerRank() int {
	key := rendezvous.Key(placerDuty)
	own := rendezvous.Score(key, m.self.Name)
	ahead := 0
	for _, zone := range m.zones() {
		for _, name := range m.watchersOf(zone) {
			theirs := m.registry.instances[name].Processor
			switch {
			case name == m.self.Name || theirs < m.self.Processor:
			case theirs > m.self.Processor || rendezvous.Score(key, name) > own:
				ahead++
			}
		}
	}
	return ahead
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
	m.placement.held = true
}

// takePlacer takes in who the registry says the placer is.
func (m *Machine) takePlacer(p registry.Placer) {
	m.registry.placer = p
	if p.Name != m.self.Name || p.Boot != m.self.Boot {
		m.placement.held = false
	}
}

// placeModels goes on with the changes under way, then begins new ones.
func (m *Machine) placeModels() {
	v := &m.placement
	m.board.Report(m.now, m.self.Name, m.flow.Items(m.now))
	if len(m.board.Sum(m.now)) == 0 {
		v.demandAt = m.now
	}
	m.countStoreLoads()
	m.trackReady()
	for _, name := range sortedKeys(v.changes) {
		if m.goOn(v.changes[name]) {
			delete(v.changes, name)
		}
	}
	for _, svc := range m.cfg.Document().Services {
		if svc.Announced != nil && svc.Announced.Engine != nil {
			m.placeService(svc)
		}
	}
}

func (m *Machine) placeService(svc config.Service) {
	v := &m.placement
	for _, c := range place.Changes(m.placeInput(svc)) {
		m.out.Log(logevent.Placed, "engine", c.Engine, "load", c.Load, "drop", c.Drop, "source", c.Source.String(), "worth", c.Worth, "cost", c.Cost, "work", c.Work, "copies", c.Copies)
		ch := &change{Change: c, begun: m.now}
		v.changes[c.Engine] = ch
		if m.goOn(ch) {
			delete(v.changes, c.Engine)
		}
	}
}

// goOn takes the next step of a change, and reports whether it is over.
func (m *Machine) goOn(c *change) bool {
	r := m.pool.Get(c.Engine)
	switch {
	case r == nil || !r.Usable():
		m.out.Log(logevent.PlaceEnded, "engine", c.Engine, "load", c.Load, "detail", "the engine is gone")
		return true
	case m.now.Since(c.begun) > changeTime:
		m.out.Log(logevent.PlaceEnded, "engine", c.Engine, "load", c.Load, "detail", "it took too long")
		return true
	case r.Phase(c.Load) == pool.Ready:
		m.out.Log(logevent.PlaceEnded, "engine", c.Engine, "load", c.Load, "detail", "done", "took", m.now.Since(c.begun).String())
		return true
	case r.Phase(c.Load) == pool.Loading || m.now.Before(c.askedAt.Add(changeRepeat)) && !c.askedAt.IsZero():
		return false
	}
	for _, model := range c.Drop {
		if r.Phase(model) != 0 {
			m.askOnce(c, orders.Request{Model: model})
			return false
		}
	}
	// Counted where it begins: what makes way may take seconds to go, and loads
	// that were planned over seconds would begin together.
	if c.Source == place.FromStore && !c.paid {
		if m.placement.tokens < 1 {
			return false
		}
		m.placement.tokens--
		c.paid = true
	}
	m.askOnce(c, orders.Request{Load: true, Model: c.Load})
	return false
}

// storeLoads returns how many loads from the weight store may be planned now:
// those that may begin, less those that are planned and have not begun.
func (m *Machine) storeLoads() int {
	free := math.Floor(m.placement.tokens)
	for _, c := range m.placement.changes {
		if c.Source == place.FromStore && !c.paid {
			free--
		}
	}
	return max(0, int(free))
}

// askOnce asks the engine's owner for the order that a change needs next.
func (m *Machine) askOnce(c *change, r orders.Request) {
	key := askKey{c.Engine, r}
	if m.asks[key] != nil || !m.mayAsk(key) {
		return
	}
	c.askedAt = m.now
	m.askFor(key, nil)
}

// countStoreLoads counts the loads from the weight store that may begin. While
// the former placer may still be at work, there are none.
func (m *Machine) countStoreLoads() {
	v := &m.placement
	if m.opt.Disable.Rate {
		v.tokens = math.MaxInt32
		return
	}
	if m.now.Since(v.since) < m.opt.OrderValid {
		v.at = m.now
		return
	}
	rate := 0.0
	for _, svc := range m.cfg.Document().Services {
		if svc.Announced != nil && svc.Announced.Engine != nil {
			rate += svc.Announced.Engine.LoadsPerSec
		}
	}
	v.tokens = min(v.tokens+storeShare*rate*m.now.Since(v.at).Seconds(), storeBurst)
	v.at = m.now
}

// trackReady notes since when copies are ready.
func (m *Machine) trackReady() {
	v := &m.placement
	seen := map[placement]bool{}
	for _, r := range m.pool.All() {
		if !r.Announced || r.Kind != pool.Engine {
			continue
		}
		for item, phase := range r.Items() {
			key := placement{r.Name, item}
			if phase != pool.Ready {
				continue
			}
			seen[key] = true
			if _, ok := v.readyAt[key]; !ok {
				v.readyAt[key] = m.now
			}
		}
	}
	for key := range v.readyAt {
		if !seen[key] {
			delete(v.readyAt, key)
		}
	}
}

// placeInput gathers what a placement depends on.
func (m *Machine) placeInput(svc config.Service) place.Input {
	p := svc.Announced.Engine
	in := place.Input{
		Models:      make(map[string]place.Model, len(p.Models)),
		Demand:      map[string]place.Demand{},
		StoreLoads:  m.storeLoads(),
		MinimumStay: minimumStay,
		Blind:       m.now.Since(m.placement.demandAt) < blindTime,
		OnlyAbsent:  m.placement.orphan,
	}
	if m.placement.orphan {
		in.StoreLoads = 0
	}
	for _, model := range p.Models {
		in.Models[model.Name] = place.Model{
			Name: model.Name, MB: model.MemoryMB, Store: model.Load, Disk: model.LoadDisk, Memory: model.LoadHost,
		}
	}
	for _, d := range m.board.Sum(m.now) {
		in.Demand[d.Name] = place.Demand{Work: d.Concurrent, Rate: d.Rate, Absent: d.Absent}
	}
	for _, r := range m.pool.Serving(svc.Name) {
		if r.Kind == pool.Engine {
			in.Engines = append(in.Engines, m.placeEngine(r, p))
		}
	}
	return in
}

func (m *Machine) placeEngine(r *pool.Replica, p *config.EnginePool) place.Engine {
	e := place.Engine{
		Name:   r.Name,
		Zone:   r.Zone,
		FreeMB: p.MemoryMB,
		Sound:  r.Usable() && !r.Vanished() && !r.Ejected(m.now),
		Open:   m.placement.changes[r.Name] == nil && m.ownerReachable(r.Name),
	}
	newest := clock.Instant{}
	for item, phase := range r.Items() {
		model, adapter := pool.SplitItem(item)
		facts, _ := p.Model(model)
		if adapter != "" {
			e.FreeMB -= facts.AdapterMB
			continue
		}
		e.FreeMB -= facts.MemoryMB
		c := place.Copy{Model: model, Ready: phase == pool.Ready, Leaving: phase == pool.Unloading}
		if since, ok := m.placement.readyAt[placement{r.Name, item}]; ok {
			c.Age = m.now.Since(since)
			newest = later(newest, since)
		}
		if phase != pool.Ready {
			e.Open = false
		}
		e.Copies = append(e.Copies, c)
	}
	// A load pushes other weights out of the engine's disk and host memory, and
	// what it announced before does not say which. Taken for at hand, they would
	// come from the weight store without being counted there.
	if !r.AnnouncedAt().Before(newest) {
		a := r.Announcement()
		e.InMemory = setOf(a.InMemory)
		e.OnDisk = setOf(a.OnDisk)
	}
	e = withChange(e, m.placement.changes[r.Name])
	sort.Slice(e.Copies, func(i, j int) bool { return e.Copies[i].Model < e.Copies[j].Model })
	return e
}

// withChange returns an engine as it will be once the change under way is done,
// so that a later placement does not ask for the same again.
func withChange(e place.Engine, c *change) place.Engine {
	if c == nil {
		return e
	}
	coming := false
	for i, copy := range e.Copies {
		coming = coming || copy.Model == c.Load
		if slices.Contains(c.Drop, copy.Model) {
			e.Copies[i].Leaving = true
		}
	}
	if !coming {
		e.Copies = append(e.Copies, place.Copy{Model: c.Load})
	}
	return e
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[n] = true
	}
	return set
}

// placementDemand returns what the peer needs to know to place models: if it is
// the placer, or in a large fleet may stand in for one that does not answer.
func (m *Machine) placementDemand(peer string) []demand.Item {
	if peer == "" {
		return nil
	}
	standIn := !m.meshed() && m.placerSilent() && slices.Contains(m.watchersOf(m.self.Zone), peer)
	if m.registry.placer.Name != peer && !standIn {
		return nil
	}
	return m.flow.Items(m.now)
}

// tellPlacer lets the placer know soon of a call that found its model nowhere.
func (m *Machine) tellPlacer() {
	x := &m.exchanges
	if !x.toldAt.IsZero() && m.now.Since(x.toldAt) < tellPlacerEvery {
		return
	}
	x.toldAt = m.now
	if m.placing() {
		m.placement.due = m.now
		return
	}
	if m.placerSilent() && !m.meshed() {
		m.exchangeWith(m.nextWatcher(m.self.Zone))
		return
	}
	m.exchangeWith(m.members.Get(m.registry.placer.Name))
}

const tellPlacerEvery = 100 * time.Millisecond

// placeSoon has models placed at once if a peer's callers found one nowhere.
func (m *Machine) placeSoon(items []demand.Item) {
	if !m.placing() && !m.orphaned() {
		return
	}
	for _, it := range items {
		if it.Absent > 0 {
			m.placement.due = m.now
			return
		}
	}
}
