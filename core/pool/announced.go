package pool

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// An Announcement is what a replica says of itself in the platform's list.
type Announcement struct {
	Service string
	Address string // IP:port
	Zone    string
	Slots   int  // calls it runs at once
	Leaving bool // it takes no new work and will end
	// Remaining is the time left to a replica that is taken away at short
	// notice, counted from the announcement; 0 if it is not, or not known.
	Remaining time.Duration
	// Born tells the lives of replicas of one name apart; "" if it is not known.
	Born     string
	Engine   bool // it runs models
	Models   []AnnouncedModel
	InMemory []string // models whose copies lie in its host memory
	OnDisk   []string // models whose copies lie on its disk
}

// An AnnouncedModel is a model that an engine holds ready.
type AnnouncedModel struct {
	Name     string
	Adapters []string
}

// A WeightSource is where an engine takes the weights of a model from.
type WeightSource int

// The sources, the slowest first.
const (
	WeightStore WeightSource = iota // shared by all engines, limited in its rate
	Disk                            // the engine's own
	HostMemory                      // the engine's own
)

// String names the source for logs.
func (s WeightSource) String() string { return [...]string{"store", "disk", "memory"}[s] }

// SourceOf returns where the engine would take a model's weights from, by what
// it announced.
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

// ItemName names an adapter of a model among the items of an engine. Two
// models may have adapters of the same name.
func ItemName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// SplitItem returns the model and the adapter that an item of an engine names;
// the adapter is "" for a model itself.
func SplitItem(item string) (model, adapter string) {
	model, adapter, _ = strings.Cut(item, "/")
	return model, adapter
}

// items returns the items that the announcement shows as ready.
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

// VanishedGracePeriod is how long a replica is still used, where nothing better is there,
// after its entry went from the list. Entries also go while the replica is
// sound: when the list's store loses its leases in an outage.
const VanishedGracePeriod = time.Second

// vanishedRetention is how long a replica without an entry is remembered.
const vanishedRetention = 30 * time.Second

// Announce takes in an announcement. A replica that restarts has another name, or the same
// one and another birth; one that appears at an address where another was known takes that
// one's place. What was known of a former life is gone with it, but for the rest that it
// asked for: the platform names the replica, not its life, so the stricter reading holds.
func (p *Pool) Announce(now clock.Instant, name string, a Announcement) {
	r := p.replicas[name]
	kind := Plain
	if a.Engine {
		kind = Engine
	}
	facts := Spec{
		Name: name, Address: a.Address, Zone: a.Zone, Kind: kind,
		Service: a.Service, Concurrent: max(1, a.Slots), Announced: true,
	}
	if r == nil || r.Address != a.Address || !a.sameIncarnation(r.announced) {
		p.retireAddress(now, name, a.Address)
		next := newReplica(facts)
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
	r.Spec = facts
	r.announced = a
	r.announcedAt = now
	r.vanishedAt = clock.Instant{}
	r.leavingDeadline = clock.Instant{}
	// An entry that says otherwise later is an older one: it was written late, or comes from
	// a copy of the store. A replica that said that it leaves ends.
	r.announcedLeaving = r.announcedLeaving || a.Leaving
	r.listedLeaving = r.announcedLeaving
	if a.Leaving && a.Remaining > 0 {
		r.endsAt = now.Add(a.Remaining)
	}
	p.mergeItems(r)
	p.reindex()
}

// maxPastIncarnations is how many births of former lives of a replica are remembered: entries come
// late by seconds, and no replica starts so often in that time.
const maxPastIncarnations = 8

// IsPastIncarnation reports whether a birth is that of a life which ended before this one.
func (r *Replica) IsPastIncarnation(born string) bool {
	return born != "" && slices.Contains(r.pastStartIDs, born)
}

// Restarted reports whether a birth is that of a life after the one that is known.
func (r *Replica) Restarted(born string) bool {
	return r.Announced && !r.MayBeIncarnation(born) && !r.IsPastIncarnation(born)
}

// inherit takes over what outlives a former life of the replica.
func (r *Replica) inherit(former *Replica, a Announcement) {
	r.rest.until = former.rest.until
	r.pastStartIDs = former.pastStartIDs
	if born := former.announced.Born; born != "" && !a.sameIncarnation(former.announced) {
		r.pastStartIDs = append(slices.Clone(r.pastStartIDs), born)
		r.pastStartIDs = r.pastStartIDs[max(0, len(r.pastStartIDs)-maxPastIncarnations):]
	}
}

// MayBeIncarnation reports whether what is said of the life with this birth may be of this one.
func (r *Replica) MayBeIncarnation(born string) bool {
	return born == "" || r.announced.Born == "" || born == r.announced.Born
}

// sameIncarnation reports whether both announcements may be of the same life of a replica.
func (a Announcement) sameIncarnation(former Announcement) bool {
	return a.Born == "" || former.Born == "" || a.Born == former.Born
}

// retireAddress notes that the replicas known at an address have ended.
func (p *Pool) retireAddress(now clock.Instant, name, address string) {
	for _, r := range p.replicas {
		if r.Announced && r.Address == address && r.Name != name {
			r.listedLeaving = true
			r.reportedLeaving = true
			r.terminated = true
			if r.vanishedAt.IsZero() {
				r.vanishedAt = now
			}
		}
	}
}

// MarkVanished notes that the list no longer has the replica. It counts as leaving once the span of
// Expire is over, or at the deadline if that is sooner; a zero deadline is none.
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
	}
}

// ExpireVanished has replicas that vanished count as leaving when their time is up, and
// forgets those that are long gone. It returns the names of the former.
func (p *Pool) ExpireVanished(now clock.Instant, span time.Duration) []string {
	var left []string
	gone := false
	for name, r := range p.replicas {
		if r.vanishedAt.IsZero() {
			continue
		}
		age := now.Since(r.vanishedAt)
		due := age >= span || !r.leavingDeadline.IsZero() && !now.Before(r.leavingDeadline)
		if due && !r.listedLeaving {
			r.listedLeaving = true
			left = append(left, name)
			p.capacityChanges++
		}
		if age >= vanishedRetention && len(r.inFlight) == 0 {
			delete(p.replicas, name)
			gone = true
		}
	}
	if gone {
		p.reindex()
	}
	sort.Strings(left)
	return left
}

// Vanished reports whether the list no longer has the replica.
func (r *Replica) Vanished() bool { return !r.vanishedAt.IsZero() }

// FirstSeenAt returns when the replica was first announced here.
func (r *Replica) FirstSeenAt() clock.Instant { return r.seenAt }

// EndsAt returns when a replica that is taken away at short notice ends; ok is
// false where that is not known.
func (r *Replica) EndsAt() (at clock.Instant, ok bool) { return r.endsAt, !r.endsAt.IsZero() }

// Announcement returns what the replica last said of itself in the list.
func (r *Replica) Announcement() Announcement { return r.announced }

// AnnouncedAt returns when the replica was last announced.
func (r *Replica) AnnouncedAt() clock.Instant { return r.announcedAt }

// MarkTerminated notes an answer that shows that another replica has the address, or that
// nothing runs there.
func (p *Pool) MarkTerminated(name string) {
	r := p.replicas[name]
	if r == nil {
		return
	}
	r.reportedLeaving = true
	r.terminated = true
	p.capacityChanges++
}

// staleReportAge is how much younger than its owner's report an announcement must be to
// show that a model which the report has is not there any more.
const staleReportAge = 1500 * time.Millisecond

// mergeItems works out what an announced engine holds, from the report of the instance
// that orders it where there is one, else from its announcement. An announcement
// that is younger than the report tells what became of orders on models; it says
// nothing of adapters, which engines announce late.
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
	old := r.announcedAt.Since(r.reportedAt) >= staleReportAge
	for item, phase := range r.items {
		model, adapter := SplitItem(item)
		_, shown := announced[model]
		switch {
		case adapter == "" && phase == Loading && shown:
			r.items[item] = Ready
		case !shown && (old && phase == Ready || phase == Unloading):
			delete(r.items, item)
		}
	}
}

// Items returns where each item of the engine stands. The caller must not
// change the map.
func (r *Replica) Items() map[string]ItemPhase { return r.items }

// Adapters returns how many adapters the engine holds, those on their way
// included.
func (r *Replica) Adapters() int {
	n := 0
	for item := range r.items {
		if _, adapter := SplitItem(item); adapter != "" {
			n++
		}
	}
	return n
}

// MarkAbsent notes that the replica itself said that it does not hold the item.
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

// MarkReady notes that an item is ready on an engine, as reported by whoever had it
// loaded.
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
