package instance

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/backoff"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/rendezvous"
	"github.com/birchdrift/birchdrift/core/step"
)

// The registry: this instance's own record, and which instance orders which of
// the engines that announce themselves.
//
// An owner may give orders for OrderValid after its last renewal, and the last
// watch that it heard the registry through, were sent. Who takes an engine over
// from another waits that long and TurnGap on top, counted from its claim, since
// the former owner may not know yet that it lost the engine: the platform may
// drop a record without telling its writer, and only the watch shows that.
//
// So only instances that watch the platform own engines. Ownerships are spread
// over them, so the loss of one leaves most engines ordered. The others hear the
// registry's records from their peers, and know by them whom to ask for orders.

// A registryView is what the machine knows of the registry.
type registryView struct {
	keep       step.Job
	lease      uint64
	keptAt     clock.Instant // when the last renewal that succeeded was sent
	enrolled   bool
	backoff    backoff.Backoff
	known      bool          // the registry was read at least once
	heardAt    clock.Instant // when the last watch that was answered was sent
	steadyAt   clock.Instant
	instances  map[string]registry.Instance
	absent     map[string]clock.Instant // since when an instance has no record
	owners     map[string]registry.Ownership
	learnt     map[string]clock.Instant // when each ownership was learnt
	placer     registry.Placer
	placerGone clock.Instant // when the last placer's record went
	claimDue   clock.Instant
	claiming   bool
}

// Spacing of the registry's calls.
const (
	claimEvery   = 300 * time.Millisecond
	claimStep    = 700 * time.Millisecond
	enrolBase    = 100 * time.Millisecond
	enrolMax     = time.Second
	sameOwnerGap = 400 * time.Millisecond
	turnMargin   = 300 * time.Millisecond
)

func newRegistryView() registryView {
	return registryView{
		backoff:   backoff.New(enrolBase, enrolMax),
		instances: map[string]registry.Instance{},
		absent:    map[string]clock.Instant{},
		owners:    map[string]registry.Ownership{},
		learnt:    map[string]clock.Instant{},
	}
}

// registryDue keeps this instance's record and claims engines.
func (m *Machine) registryDue() {
	if m.opt.Environment == option.Own || m.stop.begun {
		return
	}
	if !m.mayOrderEngines() {
		m.disown("this instance's record may have gone")
	}
	m.enrolDue()
	m.claimDue()
}

// disown has this instance order nothing any more. Others may have taken its
// engines and its place as the placer without its knowledge, so it must claim
// them anew.
func (m *Machine) disown(why string) {
	for _, name := range sortedKeys(m.engines) {
		m.loseEngine(name, why)
	}
	m.placement.held = false
}

func (m *Machine) enrolDue() {
	g := &m.registry
	if !g.keep.Ready(m.now) {
		return
	}
	g.keep.Begin(m.now)
	if g.enrolled {
		m.out.Do(KeepEnrolled{Lease: g.lease})
		return
	}
	m.out.Do(Enrol{Term: m.opt.EnrolTerm, Instance: registry.Instance{
		Name: m.self.Name, Zone: m.self.Zone, Address: m.self.Address, Boot: m.self.Boot, Processor: m.self.Processor,
	}})
}

func (m *Machine) enrolReply(e EnrolReply) {
	g := &m.registry
	if e.Err != nil {
		m.registryFailed(e.Err)
		return
	}
	m.registryAnswered()
	g.lease = e.Lease
	g.enrolled = true
	g.keptAt = e.Sent
	g.keep.End(m.now.Add(m.keepEvery()))
	m.out.Log(logevent.Enrolled, "lease", e.Lease)
}

func (m *Machine) keepReply(e KeepReply) {
	g := &m.registry
	switch {
	case e.Over:
		m.out.Log(logevent.EnrolmentLost, "lease", e.Lease)
		g.enrolled = false
		m.disown("this instance's record went")
		g.keep.End(m.now)
		m.registryAnswered()
	case e.Err != nil:
		m.registryFailed(e.Err)
	default:
		m.registryAnswered()
		g.keptAt = e.Sent
		g.keep.End(m.now.Add(m.keepEvery()))
	}
}

// keepEvery returns the spacing of renewals. An instance that gives no orders may
// lose its record for a moment without harm, so it renews less often.
func (m *Machine) keepEvery() time.Duration {
	if len(m.engines) == 0 && !m.placement.held {
		return 2 * m.opt.KeepEvery
	}
	return m.opt.KeepEvery
}

// registryFailed notes a call that was not answered; what depends on the time
// for which the store has answered starts anew.
func (m *Machine) registryFailed(err error) {
	g := &m.registry
	m.platformSays(err)
	g.backoff = g.backoff.WithFailure()
	g.keep.End(m.now.Add(g.backoff.Wait(m.rng)))
	g.steadyAt = clock.Instant{}
}

func (m *Machine) registryAnswered() {
	g := &m.registry
	m.platformSays(nil)
	g.backoff = g.backoff.WithSuccess()
	if g.steadyAt.IsZero() {
		g.steadyAt = m.now
	}
}

// mayOrderEngines reports whether this instance's ownerships are certainly its
// own still.
func (m *Machine) mayOrderEngines() bool {
	g := &m.registry
	if m.stop.begun || g.keptAt.IsZero() || m.now.Elapsed(g.keptAt) >= m.opt.OrderValid {
		return false
	}
	return m.opt.Disable.HearRegistry || !g.heardAt.IsZero() && m.now.Elapsed(g.heardAt) < m.opt.OrderValid
}

// registryReply takes in what the platform says of the registry.
func (m *Machine) registryReply(e RegistryReply) {
	m.registry.known = true
	records := e.Records
	if e.Whole {
		records = append(slices.Clone(records), m.store.Missing(records, e.Version)...)
	}
	m.takeRegistered("", records)
}

// takeRegistered takes in those of the records, told by from or by the platform
// itself (""), that are news.
func (m *Machine) takeRegistered(from string, records []registry.Record) {
	var change registry.Change
	news := false
	for _, r := range records {
		if m.store.AddRegistered(from, r) {
			change.Add(r)
			news = true
		}
	}
	if news {
		m.applyRegistry(change)
		m.soon()
	}
}

// applyRegistry takes in news of the registry.
func (m *Machine) applyRegistry(c registry.Change) {
	g := &m.registry
	for _, i := range c.Instances {
		g.instances[i.Name] = i
		delete(g.absent, i.Name)
		m.members.Learn(i.Name, i.Zone, i.Address)
	}
	for _, name := range c.GoneInstances {
		m.instanceGone(name)
	}
	for _, o := range c.Owners {
		m.takeOwnership(o)
	}
	for _, engine := range c.GoneOwners {
		delete(g.owners, engine)
		m.loseEngine(engine, "its record went")
	}
	if c.Placer != nil {
		m.takePlacer(*c.Placer)
	}
	if c.PlacerGone {
		m.takePlacer(registry.Placer{})
		g.placerGone = m.now
	}
}

func sortedKeys[V any](of map[string]V) []string {
	keys := make([]string, 0, len(of))
	for k := range of {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func (m *Machine) instanceGone(name string) {
	g := &m.registry
	delete(g.instances, name)
	if name == m.self.Name {
		return // the next renewal will say so
	}
	if _, ok := g.absent[name]; !ok {
		g.absent[name] = m.now
	}
}

// takeOwnership takes in one ownership record, of whoever wrote it.
func (m *Machine) takeOwnership(o registry.Ownership) {
	g := &m.registry
	if old, ok := g.owners[o.Engine]; ok && old.Revision > o.Revision {
		return
	}
	g.owners[o.Engine] = o
	g.learnt[o.Engine] = m.now
	if o.Owner != m.self.Name || o.Boot != m.self.Boot {
		m.loseEngine(o.Engine, "another instance took it")
	}
}

// claimDue claims the engines that this instance should own.
func (m *Machine) claimDue() {
	g := &m.registry
	if m.now.Before(g.claimDue) {
		return
	}
	g.claimDue = m.now.Add(step.Jitter(m.rng, claimEvery))
	if !g.known || !g.enrolled || g.claiming || !m.onWatch() || !m.mayOrderEngines() || m.cfg == nil {
		return
	}
	var claims []registry.Ownership
	for _, r := range m.pool.All() {
		if !r.Announced || r.Kind != pool.Engine || !r.Usable() || len(claims) == registry.MaxClaims {
			continue
		}
		if c, ok := m.claimOf(r); ok {
			claims = append(claims, c)
		}
	}
	if len(claims) == 0 {
		return
	}
	g.claiming = true
	m.out.Do(WriteRegistry{Write: RegistryWrite{Claim: claims}})
}

// claimOf returns the claim of an engine, if this instance is to take it now.
func (m *Machine) claimOf(r *pool.Replica) (registry.Ownership, bool) {
	old, owned := m.registry.owners[r.Name]
	claim := registry.Ownership{Engine: r.Name, Owner: m.self.Name, Boot: m.self.Boot, Revision: old.Revision}
	switch {
	case owned && old.Owner == m.self.Name:
		e := m.engines[r.Name]
		if e == nil {
			claim.Former = old.Former
			claim.QuietMS = old.QuietMS
			return claim, true
		}
		// The former owner's orders cannot be on their way any more: say so.
		return claim, !e.settled && !m.now.Before(e.From)
	case owned && old.Owner == "":
		claim.Former = cmp.Or(old.Former, registry.Returned)
		claim.QuietMS = old.QuietMS
	case owned:
		claim.Former = old.Owner
	}
	since, free := m.freeSince(r, old, owned)
	if !free {
		return claim, false
	}
	// Should the instance that ranks first not claim, the next one does.
	return claim, !m.now.Before(since.Add(time.Duration(m.ownerRank(r)) * claimStep))
}

// freeSince returns since when nobody is to be expected to order an engine; ok
// is false while its owner is there, or may be as far as this instance can tell.
func (m *Machine) freeSince(r *pool.Replica, old registry.Ownership, owned bool) (since clock.Instant, ok bool) {
	g := &m.registry
	if g.steadyAt.IsZero() {
		return since, false
	}
	if !owned {
		return later(g.steadyAt.Add(claimStep), r.SeenAt()), true
	}
	if old.Owner == "" {
		return g.learnt[r.Name], true
	}
	if _, there := g.instances[old.Owner]; there {
		return since, false
	}
	gone, seen := g.absent[old.Owner]
	if !seen {
		g.absent[old.Owner] = m.now
		return since, false
	}
	return later(gone, g.steadyAt).Add(m.opt.AbsentFor), true
}

func later(a, b clock.Instant) clock.Instant {
	if a.Before(b) {
		return b
	}
	return a
}

// ownerRank returns how many instances come before this one for an engine: of
// those that watch the platform, the ones of the engine's zone first.
func (m *Machine) ownerRank(r *pool.Replica) int {
	ahead := 0
	if m.self.Zone != r.Zone {
		ahead = len(m.watchersOf(r.Zone))
	}
	key := rendezvous.Key(r.Name)
	own := rendezvous.Score(key, m.self.Name)
	for _, zone := range m.zones() {
		if (zone == r.Zone) != (m.self.Zone == r.Zone) {
			continue
		}
		for _, name := range m.watchersOf(zone) {
			if name != m.self.Name && rendezvous.Score(key, name) > own {
				ahead++
			}
		}
	}
	return ahead
}

// writeReply takes in what came of a write of the registry.
func (m *Machine) writeReply(e WriteReply) {
	g := &m.registry
	if e.Write.Placer != nil {
		m.placerReply(e)
		return
	}
	g.claiming = false
	if e.Err != nil {
		m.platformSays(e.Err)
		return // the watch tells if it took effect after all
	}
	if e.Conflict {
		return // the watch brings what stands there
	}
	for _, claim := range e.Write.Claim {
		first := claim.Revision == 0
		claim.Revision = e.Revision
		g.owners[claim.Engine] = claim
		if own := m.engines[claim.Engine]; own != nil && claim.Former == "" {
			own.Fence = claim.Revision
			own.settled = true
			continue
		}
		m.ownEngine(claim, m.firstOrder(claim, first))
	}
}

// firstOrder returns when the orders of this instance may begin at an engine
// that it has just claimed; first says that nobody ever ordered the engine.
func (m *Machine) firstOrder(claim registry.Ownership, first bool) clock.Instant {
	switch {
	case m.opt.Disable.TurnWait:
		return m.now
	case claim.Former == "" && first:
		return m.now
	case claim.Former == "":
		return m.now.Add(sameOwnerGap)
	case claim.Former == registry.Returned:
		quiet := time.Duration(claim.QuietMS) * time.Millisecond
		return m.now.Add(max(0, m.opt.TurnGap+turnMargin-quiet))
	default:
		return m.now.Add(m.opt.OrderValid + m.opt.TurnGap + turnMargin)
	}
}

// quiet returns for how long an engine has certainly been sent no order: by this
// instance, and before it by others, for whose orders it has waited.
func (m *Machine) quiet(e *ownedEngine) time.Duration {
	switch {
	case !e.settled || e.Flying() || e.Doubtful() || m.now.Before(e.From):
		return 0
	case !e.orderedAt.IsZero():
		return m.now.Since(e.orderedAt)
	default:
		return m.now.Since(e.From)
	}
}

// resign gives the engines back and ends the lease, at a planned stop.
func (m *Machine) resign() {
	g := &m.registry
	if !g.enrolled {
		return
	}
	var give []registry.Ownership
	for _, name := range sortedKeys(m.engines) {
		o := g.owners[name]
		o.Owner = ""
		o.QuietMS = m.quiet(m.engines[name]).Milliseconds()
		give = append(give, o)
	}
	for _, name := range sortedKeys(m.engines) {
		m.loseEngine(name, "this instance stops")
	}
	g.enrolled = false
	m.out.Do(Resign{Lease: g.lease, Give: give})
}
