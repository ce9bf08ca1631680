package pool

import (
	"slices"
	"strings"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/era"
)

// An Announcement is a replica's entry in the platform's list.
type Announcement struct {
	Service string
	Address string // IP:port
	Zone    string
	Slots   int  // maximum number of concurrent calls
	Leaving bool // takes no new work and will terminate
	// Remaining is the time left, counted from the announcement, to a replica that is being
	// reclaimed at short notice; 0 if it is not, or if the time is unknown.
	Remaining time.Duration
	// Born distinguishes incarnations of replicas with the same name; "" if unknown.
	Born string
	// Software is the version of the software that the replica runs; "" if it states none.
	Software string
	Engine   bool // runs models
	Models   []AnnouncedModel
	InMemory []string // models whose weights are cached in its host memory
	OnDisk   []string // models whose weights are cached on its disk
	// Created is the revision of the store at which the entry was created; 0 if unknown.
	Created era.Revision
}

// An AnnouncedModel is a model that an engine has loaded, with its loaded adapters.
type AnnouncedModel struct {
	Name     string
	Adapters []string
}

// A WeightSource is where an engine loads the weights of a model from.
type WeightSource int

// The weight sources, slowest first.
const (
	WeightStore WeightSource = iota // shared by all engines, with a limited rate
	Disk                            // local to the engine
	HostMemory                      // local to the engine
)

// String returns the name of the source for logs.
func (s WeightSource) String() string { return [...]string{"store", "disk", "memory"}[s] }

// SourceOf returns where the engine would load the weights of a model from, according to its
// announcement.
func (a Announcement) SourceOf(model string) WeightSource {
	switch {
	case slices.Contains(a.InMemory, model):
		return HostMemory
	case slices.Contains(a.OnDisk, model):
		return Disk
	default:
		return WeightStore
	}
}

// ItemName returns the name of an engine item: the model, or "model/adapter" for an adapter. It
// includes the model because two models may have adapters of the same name.
func ItemName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// SplitItem returns the model and the adapter named by an engine item; the adapter is "" if the
// item is a model.
func SplitItem(item string) (model, adapter string) {
	model, adapter, _ = strings.Cut(item, "/")
	return model, adapter
}

// items returns the items that the announcement reports as ready.
func (a Announcement) items() map[string]ItemPhase {
	items := make(map[string]ItemPhase, 4*len(a.Models))
	for _, m := range a.Models {
		items[m.Name] = Ready
		for _, adapter := range m.Adapters {
			items[ItemName(m.Name, adapter)] = Ready
		}
	}
	return items
}

// VanishedGracePeriod is how long a replica is still used, if no better one is available, after
// its entry vanished from the list. Entries of healthy replicas vanish too, when the list's
// store loses its leases in an outage.
const VanishedGracePeriod = time.Second

// vanishedRetention is how long a replica is kept in the pool after its entry vanished.
const vanishedRetention = 30 * time.Second

// Announce records an announcement. A restarted replica has another name, or the same name and
// another value of Born. Of the replicas announced at one address, those with older entries are
// superseded, in whatever order the entries arrive. State of a previous incarnation is discarded,
// except for the rest that it requested: the platform identifies the replica, not its
// incarnation, so the rest may apply to the new one as well.
func (p *Pool) Announce(now clock.Instant, name string, a Announcement) {
	r := p.replicas[name]
	kind := Plain
	if a.Engine {
		kind = Engine
	}
	spec := Spec{
		Name: name, Address: a.Address, Zone: a.Zone, Kind: kind,
		Service: a.Service, Concurrent: max(1, a.Slots), Announced: true,
	}
	formerAddress := a.Address
	if r != nil {
		formerAddress = r.Address
	}
	if r == nil || r.Address != a.Address || !a.sameIncarnation(r.announced) {
		next := newReplica(spec)
		next.seenAt = now
		if r != nil {
			next.inherit(r, a)
		}
		r = next
		p.replicas[name] = r
	}
	if a.Born == "" {
		a.Born = r.announced.Born
	}
	r.Spec = spec
	r.announced = a
	r.announcedAt = now
	r.vanishedAt = clock.Instant{}
	r.leavingDeadline = clock.Instant{}
	// Leaving is final for an incarnation. A later entry without it is older data: it was
	// written late or read from a stale copy of the store.
	r.announcedLeaving = r.announcedLeaving || a.Leaving
	r.listedLeaving = r.announcedLeaving
	if a.Leaving && a.Remaining > 0 {
		r.endsAt = now.Add(a.Remaining)
	}
	p.mergeItems(r)
	p.reindex()
	p.supersede(a.Address)
	if formerAddress != a.Address {
		p.supersede(formerAddress)
	}
}

// maxPastIncarnations is the number of past incarnations of a replica whose Born is remembered.
// Entries arrive late by seconds, and no replica restarts that often within that time.
const maxPastIncarnations = 8

// IsPastIncarnation reports whether born belongs to an incarnation that ended before the
// current one.
func (r *Replica) IsPastIncarnation(born string) bool {
	return born != "" && slices.Contains(r.pastStartIDs, born)
}

// Restarted reports whether born belongs to an incarnation after the known one.
func (r *Replica) Restarted(born string) bool {
	return r.Announced && !r.MayBeIncarnation(born) && !r.IsPastIncarnation(born)
}

// inherit copies the state that survives a restart from the previous incarnation.
func (r *Replica) inherit(former *Replica, a Announcement) {
	r.rest.until = former.rest.until
	r.pastStartIDs = former.pastStartIDs
	if born := former.announced.Born; born != "" && !a.sameIncarnation(former.announced) {
		r.pastStartIDs = append(slices.Clone(r.pastStartIDs), born)
		r.pastStartIDs = r.pastStartIDs[max(0, len(r.pastStartIDs)-maxPastIncarnations):]
	}
}

// MayBeIncarnation reports whether information about the incarnation with this Born may apply
// to the current one. An unknown Born matches any incarnation.
func (r *Replica) MayBeIncarnation(born string) bool {
	return born == "" || r.announced.Born == "" || born == r.announced.Born
}

// sameIncarnation reports whether both announcements may come from the same incarnation.
func (a Announcement) sameIncarnation(former Announcement) bool {
	return a.Born == "" || former.Born == "" || a.Born == former.Born
}

// MaxSupersession is how long a newer entry supersedes a replica whose own entry lasts: longer than
// the entry of a replica that has ended lasts while the store works. After that either entry may be
// wrong.
const MaxSupersession = 5 * time.Second

// supersede determines which replicas announced at an address are superseded: all but those with
// the newest entry of a replica that may still run. An address is free for another process only
// once the former one has ended, so an older entry at the address is that of a replica that has
// ended, unless the newer one turns out to be wrong.
func (p *Pool) supersede(address string) {
	var newest era.Revision
	for _, r := range p.sorted {
		if r.Announced && r.Address == address && r.mayRun() {
			newest = max(newest, r.announced.Created)
		}
	}
	for _, r := range p.sorted {
		if r.Announced && r.Address == address {
			r.supersededBy = newest
			p.setSuperseded(r, max(r.announced.Created, r.disputed) < newest)
		}
	}
}

// setSuperseded changes whether the replica is superseded.
func (p *Pool) setSuperseded(r *Replica, superseded bool) {
	if superseded == r.superseded {
		return
	}
	r.superseded = superseded
	r.supersededAt = clock.Instant{}
	p.supersessions = append(p.supersessions, Supersession{Replica: r.Name, Address: r.Address, Superseded: superseded})
	p.capacityChanges++
}

// expireSupersession ends the supersession of a replica whose own entry has lasted for
// MaxSupersession.
func (p *Pool) expireSupersession(now clock.Instant, r *Replica) {
	switch {
	case !r.superseded, r.Vanished():
	case r.supersededAt.IsZero():
		r.supersededAt = now
	case now.Since(r.supersededAt) >= MaxSupersession:
		r.disputed = r.supersededBy
		r.proven = false
		p.setSuperseded(r, false)
	}
}

// mayRun reports whether nothing shows that the replica has ended.
func (r *Replica) mayRun() bool { return !r.terminated && !(r.Vanished() && r.listedLeaving) }

// Disputed reports whether the address of the replica is in dispute: a newer entry has named it for
// another replica for MaxSupersession, and this one has answered no call since.
func (r *Replica) Disputed() bool { return r.disputed > r.announced.Created && !r.proven }

// A Supersession records that a replica became superseded by another one announced at its
// address, or is no longer.
type Supersession struct {
	Replica    string
	Address    string
	Superseded bool
}

// TakeSupersessions returns the supersessions since the last call, in the order in which they
// happened.
func (p *Pool) TakeSupersessions() []Supersession {
	taken := p.supersessions
	p.supersessions = nil
	return taken
}

// Superseded reports whether a newer entry announces another replica at the replica's address.
func (r *Replica) Superseded() bool { return r.superseded }

// MarkVanished records that the replica's entry is missing from the list. The replica counts as
// leaving after the grace period passed to ExpireVanished, or at the deadline if that is
// earlier; a zero deadline means none.
func (p *Pool) MarkVanished(now clock.Instant, name string, deadline clock.Instant) {
	r := p.replicas[name]
	if r == nil || !r.Announced {
		return
	}
	if !deadline.IsZero() && (r.leavingDeadline.IsZero() || deadline.Before(r.leavingDeadline)) {
		r.leavingDeadline = deadline
	}
	if r.vanishedAt.IsZero() {
		r.vanishedAt = now
		p.capacityChanges++
		p.supersede(r.Address)
	}
}

// ExpireVanished marks vanished replicas as leaving once the grace period or their deadline has
// passed, and returns their names in order. It removes replicas that vanished longer than
// vanishedRetention ago and have no calls in flight. It also ends supersessions that have lasted
// for MaxSupersession.
func (p *Pool) ExpireVanished(now clock.Instant, grace time.Duration) []string {
	var expired, freed []string
	removed := false
	for _, r := range p.sorted {
		p.expireSupersession(now, r)
		if r.vanishedAt.IsZero() {
			continue
		}
		name := r.Name
		age := now.Since(r.vanishedAt)
		due := age >= grace || !r.leavingDeadline.IsZero() && !now.Before(r.leavingDeadline)
		if due && !r.listedLeaving {
			r.listedLeaving = true
			expired = append(expired, name)
			freed = append(freed, r.Address)
			p.capacityChanges++
		}
		if age >= vanishedRetention && len(r.inFlight) == 0 {
			delete(p.replicas, name)
			removed = true
		}
	}
	if removed {
		p.reindex()
	}
	for _, address := range freed {
		p.supersede(address)
	}
	return expired
}

// Vanished reports whether the replica's entry is missing from the list.
func (r *Replica) Vanished() bool { return !r.vanishedAt.IsZero() }

// FirstSeenAt returns when this instance first received an announcement of this incarnation.
func (r *Replica) FirstSeenAt() clock.Instant { return r.seenAt }

// EndsAt returns when a replica that is being reclaimed at short notice terminates; ok is false
// if that is unknown.
func (r *Replica) EndsAt() (at clock.Instant, ok bool) { return r.endsAt, !r.endsAt.IsZero() }

// Announcement returns the replica's latest announcement.
func (r *Replica) Announcement() Announcement { return r.announced }

// AnnouncedAt returns when the latest announcement was received.
func (r *Replica) AnnouncedAt() clock.Instant { return r.announcedAt }

// MarkTerminated records a response that shows that the replica's process has ended: another
// replica has its address, or nothing listens there.
func (p *Pool) MarkTerminated(name string) {
	r := p.replicas[name]
	if r == nil {
		return
	}
	r.reportedLeaving = true
	r.terminated = true
	p.capacityChanges++
	p.supersede(r.Address)
}

// staleReportAge is how much newer than the owner's report an announcement must be to show that
// a model in the report is no longer loaded.
const staleReportAge = 1500 * time.Millisecond

// mergeItems computes the items of an announced engine from the report of the engine's owner if
// there is one, and from its announcement otherwise. An announcement newer than the report
// shows the outcome of orders on models. It is not used for adapters, because engines announce
// them late.
func (p *Pool) mergeItems(r *Replica) {
	if !r.Announced {
		return
	}
	announced := r.announced.items()
	if r.Residency.Boot == 0 {
		r.items = announced
		return
	}
	r.items = make(map[string]ItemPhase, len(r.Residency.Items))
	for _, it := range r.Residency.Items {
		r.items[it.Name] = it.Phase
	}
	if r.announcedAt.Before(r.reportedAt) {
		return
	}
	stale := r.announcedAt.Since(r.reportedAt) >= staleReportAge
	for item, phase := range r.items {
		model, adapter := SplitItem(item)
		_, shown := announced[model]
		switch {
		case adapter == "" && phase == Loading && shown:
			r.items[item] = Ready
		case !shown && (stale && phase == Ready || phase == Unloading):
			delete(r.items, item)
		}
	}
}

// Items returns the phase of each item of the engine. The caller must not modify the map.
func (r *Replica) Items() map[string]ItemPhase { return r.items }

// Adapters returns the number of adapters on the engine, including those being loaded.
func (r *Replica) Adapters() int {
	n := 0
	for item := range r.items {
		if _, adapter := SplitItem(item); adapter != "" {
			n++
		}
	}
	return n
}

// MarkAbsent records that the replica itself reported that it does not have the item.
func (p *Pool) MarkAbsent(name, item string) {
	r := p.replicas[name]
	if r == nil || r.items[item] != Ready {
		return
	}
	old := r.items
	r.items = make(map[string]ItemPhase, len(old))
	for it, phase := range old {
		if it != item {
			r.items[it] = phase
		}
	}
	p.reindexItems(r, old)
	p.capacityChanges++
}

// MarkReady records that an item is ready on an engine, as reported by the instance that
// ordered its load.
func (p *Pool) MarkReady(name, item string) {
	r := p.replicas[name]
	if r == nil || r.items[item] == Ready {
		return
	}
	old := r.items
	r.items = make(map[string]ItemPhase, len(old)+1)
	for it, phase := range old {
		r.items[it] = phase
	}
	r.items[item] = Ready
	p.reindexItems(r, old)
	p.capacityChanges++
}
