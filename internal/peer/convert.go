package peer

import (
	"math"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/demand"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/permits"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/streams"
	"github.com/birchdrift/birchdrift/internal/peer/peerpb"
)

// encode converts a message to its wire form.
func encode(m gossip.Message) *peerpb.Message {
	out := &peerpb.Message{
		From:         m.From,
		Zone:         m.Zone,
		Address:      m.Address,
		Boot:         m.Boot,
		Leaving:      m.Leaving,
		Revision:     m.Revision,
		Stamp:        m.Stamp,
		AckBoot:      m.AckBoot,
		Ack:          m.Ack,
		WantConfig:   m.WantConfig,
		Config:       m.Config,
		StoreAgeMs:   toMilliseconds(m.StoreAge),
		StoreVersion: uint64(m.StoreVersion),
		Relays:       m.Relays,
		Informed:     m.Informed,

		VersionsKnown:  m.Versions.Known,
		ConfirmedAgeMs: toMilliseconds(m.ConfirmedAge),
	}
	for _, v := range m.Versions.Reports {
		out.Versions = append(out.Versions, &peerpb.VersionReport{
			Service: v.Service, Software: v.Software, Initial: v.Initial,
			UnlistedMs: toMilliseconds(v.Unlisted), HeardMs: toMilliseconds(v.Heard), LastMs: toMilliseconds(v.Last),
		})
	}
	encodeRecords(m.Records, out)
	for _, l := range m.Links {
		out.Links = append(out.Links, &peerpb.LinkReport{
			Service: l.Service, Lost: l.Lost, Proven: l.Proven, ProvenMs: toMilliseconds(l.ProvenAge),
			RejectionsKnown: l.Rejections.Known, RejectionsNamed: l.Rejections.Named, Rejections: uint32(l.Rejections.PerSecond),
			RejectionsMs: toMilliseconds(l.Rejections.Age),
		})
	}
	for _, d := range m.Demand {
		out.Demand = append(out.Demand, &peerpb.Demand{
			Name: d.Name, Software: d.Software, Rate: float32(d.Rate), Concurrent: float32(d.Concurrent), Weight: float32(d.Weight),
			Waiting: uint32(d.Waiting), UnmetMs: uint32(d.Unmet.Milliseconds()), IdleMs: uint32(d.Idle.Milliseconds()), Absent: float32(d.Absent),
		})
	}
	out.HasUses = m.Uses != nil
	for name, u := range m.Uses {
		out.Uses = append(out.Uses, &peerpb.Use{
			Replica: name, Calls: encodeByRank(u.Calls, 1), PrefillUs: encodeByRank(u.Prefill, time.Microsecond), Items: u.Items, Down: u.Unreachable,
		})
	}
	return out
}

// encodeByRank returns amounts by rank as multiples of unit, each limited to the largest
// uint32, up to the last rank whose amount is not 0.
func encodeByRank[T int | time.Duration](amounts pool.ByRank[T], unit T) []uint32 {
	var out []uint32
	for rank, amount := range amounts {
		if amount == 0 {
			continue
		}
		out = append(out, make([]uint32, rank-len(out))...)
		out = append(out, uint32(min(int64(amount/unit), math.MaxUint32)))
	}
	return out
}

// decodeByRank converts amounts by rank from multiples of unit. Ranks that this version
// does not know count as the last one.
func decodeByRank[T int | time.Duration](in []uint32, unit T) pool.ByRank[T] {
	var amounts pool.ByRank[T]
	for rank, amount := range in {
		amounts[pool.RankOf(rank)] += T(amount) * unit
	}
	return amounts
}

// encodeRecords appends the records to the wire message out.
func encodeRecords(records gossip.Records, out *peerpb.Message) {
	for _, r := range records.Registered {
		out.Registered = append(out.Registered, &peerpb.Registered{Key: r.Key, Data: r.Data, Revision: uint64(r.Revision), Gone: r.Gone})
	}
	for _, r := range records.Residencies {
		out.Residencies = append(out.Residencies, encodeResidency(r))
	}
	for _, l := range records.Loads {
		out.Loads = append(out.Loads, &peerpb.Load{
			Engine: l.Engine, Boot: l.Boot, Seq: l.Seq, Running: uint32(l.Running), Waiting: uint32(l.Waiting),
		})
	}
	for _, l := range records.Listed {
		out.Listed = append(out.Listed, &peerpb.Listed{
			Name: l.Name, Kind: uint32(l.Kind), Zone: l.Zone, Address: l.Address,
			Leaving: l.Leaving, Gone: l.Gone, Version: uint64(l.Version), Announced: encodeAnnounced(l.Announced),
		})
	}
	for _, c := range records.Crashes {
		out.Crashes = append(out.Crashes, encodeCrash(c))
	}
	for _, s := range records.Successes {
		out.Successes = append(out.Successes, &peerpb.Success{Trait: uint64(s.Trait), AgeMs: toMilliseconds(s.Age)})
	}
	for _, l := range records.Leaving {
		out.LeavingReplicas = append(out.LeavingReplicas, encodeIncarnation(l.Incarnation))
	}
	for _, r := range records.Rests {
		out.Rests = append(out.Rests, &peerpb.Rest{Replica: encodeIncarnation(r.Incarnation), LeftMs: toMilliseconds(r.Left)})
	}
	for _, l := range records.Limits {
		limit := encodeLimit(l.LimitReport)
		limit.Replica = encodeIncarnation(l.Incarnation)
		out.Limits = append(out.Limits, limit)
	}
	for _, h := range records.Holders {
		out.Holders = append(out.Holders, &peerpb.Holder{Zone: h.Zone, Instance: h.Instance, Fence: h.Fence})
	}
}

func encodeIncarnation(i pool.Incarnation) *peerpb.Incarnation {
	return &peerpb.Incarnation{Name: i.Name, Born: i.Born}
}

func decodeIncarnation(i *peerpb.Incarnation) pool.Incarnation {
	return pool.Incarnation{Name: i.GetName(), Born: i.GetBorn()}
}

// encodeLimit converts a limit report; it returns nil for the zero report of a replica
// that never stated a limit.
func encodeLimit(r pool.LimitReport) *peerpb.RateLimit {
	if r.IsZero() {
		return nil
	}
	return &peerpb.RateLimit{Named: r.Limit.Named, PerSecond: r.Limit.PerSecond, By: r.By, AgeMs: toMilliseconds(r.Age)}
}

func decodeLimit(l *peerpb.RateLimit) pool.LimitReport {
	if l == nil {
		return pool.LimitReport{}
	}
	return pool.LimitReport{
		Limit: pool.RateLimit{Named: l.GetNamed(), PerSecond: l.GetPerSecond()}, By: l.GetBy(), EventTime: eventTimeOfAge(l.GetAgeMs()),
	}
}

func encodePermitRequest(from string, r permits.Request) *peerpb.PermitRequest {
	return &peerpb.PermitRequest{
		From: from, Replica: encodeIncarnation(r.Replica), Service: r.Service, Alone: r.Alone, Zone: r.Zone, Rank: int32(r.Rank), WithinMs: toMilliseconds(r.Wait),
		Unused: r.Unused, Limit: encodeLimit(r.Word), Retries: r.Retries,
	}
}

func decodePermitRequest(r *peerpb.PermitRequest) permits.Request {
	return permits.Request{
		Resource: permits.Resource{Replica: decodeIncarnation(r.GetReplica()), Service: r.GetService()}, Alone: r.GetAlone(), Zone: r.GetZone(), Rank: int(r.GetRank()), Wait: fromMilliseconds(r.GetWithinMs()),
		Unused: r.GetUnused(), Word: decodeLimit(r.GetLimit()), Retries: r.GetRetries(),
	}
}

func encodeDecision(d permits.Decision) *peerpb.PermitReply {
	return &peerpb.PermitReply{
		Granted: d.Granted, HeldMs: toMilliseconds(d.Held), TurnMs: toMilliseconds(d.Turn), AfterMs: toMilliseconds(d.After),
		Limit: encodeLimit(d.Word), Retries: d.Retries,
	}
}

func decodeDecision(r *peerpb.PermitReply) permits.Decision {
	return permits.Decision{
		Granted: r.GetGranted(), Held: fromMilliseconds(r.GetHeldMs()), Turn: fromMilliseconds(r.GetTurnMs()), After: fromMilliseconds(r.GetAfterMs()),
		Word: decodeLimit(r.GetLimit()), Retries: r.GetRetries(),
	}
}

func encodeStreamsRequest(r streams.Request) *peerpb.StreamsRequest {
	out := &peerpb.StreamsRequest{Wanted: uint64(r.Query.ID), Service: r.Query.Service}
	for _, g := range r.Began {
		group := &peerpb.StreamGroup{Service: g.Service, Software: g.Software, Ambiguous: g.Ambiguous}
		for _, id := range g.IDs {
			group.Ids = append(group.Ids, uint64(id))
		}
		out.Began = append(out.Began, group)
	}
	return out
}

func decodeStreamsRequest(r *peerpb.StreamsRequest) streams.Request {
	out := streams.Request{Query: streams.Query{ID: streams.ID(r.GetWanted()), Service: r.GetService()}}
	for _, g := range r.GetBegan() {
		group := streams.Group{Origin: streams.Origin{Service: g.GetService(), Software: g.GetSoftware()}, Ambiguous: g.GetAmbiguous()}
		for _, id := range g.GetIds() {
			group.IDs = append(group.IDs, streams.ID(id))
		}
		out.Began = append(out.Began, group)
	}
	return out
}

func encodeStreamsAnswer(a streams.Answer) *peerpb.StreamsReply {
	return &peerpb.StreamsReply{Known: a.Known, Ambiguous: a.Ambiguous, Sole: a.Sole, Service: a.Origin.Service, Software: a.Origin.Software}
}

func decodeStreamsAnswer(r *peerpb.StreamsReply) streams.Answer {
	return streams.Answer{
		Known: r.GetKnown(), Ambiguous: r.GetAmbiguous(), Sole: r.GetSole(),
		Origin: streams.Origin{Service: r.GetService(), Software: r.GetSoftware()},
	}
}

// fromMilliseconds returns a duration of ms milliseconds.
func fromMilliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func encodeCrash(c crash.Report) *peerpb.Crash {
	out := &peerpb.Crash{Observer: c.Observer, Boot: c.Boot, Seq: c.Seq, Replica: c.Replica.Name, Born: c.Replica.Born, Service: c.Service, AgeMs: toMilliseconds(c.Age)}
	for _, r := range c.Requests {
		out.Requests = append(out.Requests, uint64(r.Fingerprint))
		if len(r.Parts) > 0 {
			out.Prompts = append(out.Prompts, encodePrompt(r))
		}
	}
	return out
}

func encodePrompt(r crash.Request) *peerpb.CrashedPrompt {
	out := &peerpb.CrashedPrompt{Request: uint64(r.Fingerprint), Model: r.Model}
	for _, part := range r.Parts {
		out.Parts = append(out.Parts, uint64(part))
	}
	return out
}

func decodeCrash(c *peerpb.Crash) crash.Report {
	out := crash.Report{
		Observer: c.GetObserver(), Boot: c.GetBoot(), Seq: c.GetSeq(), Replica: pool.Incarnation{Name: c.GetReplica(), Born: c.GetBorn()}, Service: c.GetService(),
		EventTime: eventTimeOfAge(c.GetAgeMs()),
	}
	for _, r := range c.GetRequests() {
		out.Requests = append(out.Requests, crash.Request{Fingerprint: crash.Fingerprint(r)})
	}
	crash.SortRequests(out.Requests) // lookups require sorted requests, and a peer may send them unsorted
	for _, p := range c.GetPrompts() {
		if i, found := crash.SearchRequests(out.Requests, crash.Fingerprint(p.GetRequest())); found {
			out.Requests[i].Model = p.GetModel()
			out.Requests[i].Parts = decodeParts(p.GetParts())
		}
	}
	return out
}

func decodeParts(parts []uint64) []crash.PartID {
	var out []crash.PartID
	for _, part := range parts[:min(len(parts), crash.MaxParts)] {
		out = append(out, crash.PartID(part))
	}
	return out
}

// eventTimeOfAge returns the time of an event that happened ms milliseconds ago.
func eventTimeOfAge(ms uint32) clock.EventTime { return clock.EventTime{Age: fromMilliseconds(ms)} }

// toMilliseconds returns a duration in milliseconds, limited to the largest uint32.
func toMilliseconds(d time.Duration) uint32 { return uint32(min(d.Milliseconds(), math.MaxUint32)) }

func encodeAnnounced(a *pool.Announcement) *peerpb.Announced {
	if a == nil {
		return nil
	}
	out := &peerpb.Announced{
		Service: a.Service, Address: a.Address, Zone: a.Zone, Slots: uint32(a.Slots),
		Draining: a.Leaving, LeftMs: uint32(a.Remaining.Milliseconds()), Born: a.Born, Software: a.Software,
		Engine: a.Engine, HostCopies: a.InMemory, DiskCopies: a.OnDisk, Created: uint64(a.Created),
	}
	for _, m := range a.Models {
		out.Models = append(out.Models, &peerpb.AnnouncedModel{Name: m.Name, Adapters: m.Adapters})
	}
	return out
}

func decodeAnnounced(a *peerpb.Announced) *pool.Announcement {
	if a == nil {
		return nil
	}
	out := &pool.Announcement{
		Service: a.GetService(), Address: a.GetAddress(), Zone: a.GetZone(), Slots: int(a.GetSlots()),
		Leaving: a.GetDraining(), Remaining: time.Duration(a.GetLeftMs()) * time.Millisecond, Born: a.GetBorn(), Software: a.GetSoftware(),
		Engine: a.GetEngine(), InMemory: a.GetHostCopies(), OnDisk: a.GetDiskCopies(),
		Created: era.Revision(a.GetCreated()),
	}
	for _, m := range a.GetModels() {
		out.Models = append(out.Models, pool.AnnouncedModel{Name: m.GetName(), Adapters: m.GetAdapters()})
	}
	return out
}

func encodeResidency(r gossip.Residency) *peerpb.Residency {
	out := &peerpb.Residency{Engine: r.Engine, Boot: r.Boot, Change: r.Change, Leaving: r.Leaving, Born: r.Born}
	for _, it := range r.Items {
		out.Items = append(out.Items, &peerpb.Item{Name: it.Name, Phase: uint32(it.Phase)})
	}
	return out
}

// decode converts a message from its wire form.
func decode(m *peerpb.Message) gossip.Message {
	out := gossip.Message{
		From:         m.GetFrom(),
		Zone:         m.GetZone(),
		Address:      m.GetAddress(),
		Boot:         m.GetBoot(),
		Leaving:      m.GetLeaving(),
		Revision:     m.GetRevision(),
		Stamp:        m.GetStamp(),
		AckBoot:      m.GetAckBoot(),
		Ack:          m.GetAck(),
		WantConfig:   m.GetWantConfig(),
		Config:       m.GetConfig(),
		StoreAge:     time.Duration(m.GetStoreAgeMs()) * time.Millisecond,
		StoreVersion: era.Revision(m.GetStoreVersion()),
		Records:      decodeRecords(m),
		Relays:       m.GetRelays(),
		Informed:     m.GetInformed(),
		Versions:     gossip.Versions{Known: m.GetVersionsKnown()},
		ConfirmedAge: fromMilliseconds(m.GetConfirmedAgeMs()),
	}
	for _, v := range m.GetVersions() {
		out.Versions.Reports = append(out.Versions.Reports, gossip.VersionReport{
			Service: v.GetService(), Software: v.GetSoftware(), Initial: v.GetInitial(),
			Unlisted: fromMilliseconds(v.GetUnlistedMs()), Heard: fromMilliseconds(v.GetHeardMs()), Last: fromMilliseconds(v.GetLastMs()),
		})
	}
	for _, d := range m.GetDemand() {
		out.Demand = append(out.Demand, demand.Item{
			Name: d.GetName(), Software: d.GetSoftware(), Rate: float64(d.GetRate()), Concurrent: float64(d.GetConcurrent()),
			Weight: float64(d.GetWeight()), Waiting: int(d.GetWaiting()),
			Unmet: time.Duration(d.GetUnmetMs()) * time.Millisecond, Idle: time.Duration(d.GetIdleMs()) * time.Millisecond,
			Absent: float64(d.GetAbsent()),
		})
	}
	for _, l := range m.GetLinks() {
		out.Links = append(out.Links, gossip.LinkReport{
			Service: l.GetService(), Lost: l.GetLost(), Proven: l.GetProven(), ProvenAge: fromMilliseconds(l.GetProvenMs()),
			Rejections: gossip.RejectionReport{
				Known: l.GetRejectionsKnown(), Age: fromMilliseconds(l.GetRejectionsMs()),
				RejectionLimit: pool.RejectionLimit{Named: l.GetRejectionsNamed(), PerSecond: int(l.GetRejections())},
			},
		})
	}
	if m.GetHasUses() || len(m.GetUses()) > 0 {
		out.Uses = map[string]pool.Usage{}
	}
	for _, u := range m.GetUses() {
		out.Uses[u.GetReplica()] = pool.Usage{
			Calls: decodeByRank(u.GetCalls(), 1), Prefill: decodeByRank(u.GetPrefillUs(), time.Microsecond), Items: u.GetItems(), Unreachable: u.GetDown(),
		}
	}
	return out
}

// decodeRecords converts the records of a wire message.
func decodeRecords(m *peerpb.Message) gossip.Records {
	var out gossip.Records
	for _, r := range m.GetRegistered() {
		out.Registered = append(out.Registered, registry.Record{
			Key: r.GetKey(), Data: r.GetData(), Revision: era.Revision(r.GetRevision()), Gone: r.GetGone(),
		})
	}
	for _, r := range m.GetResidencies() {
		out.Residencies = append(out.Residencies, decodeResidency(r))
	}
	for _, l := range m.GetLoads() {
		out.Loads = append(out.Loads, gossip.Load{Engine: l.GetEngine(), Load: pool.Load{
			Boot: l.GetBoot(), Seq: l.GetSeq(), Running: int(l.GetRunning()), Waiting: int(l.GetWaiting()),
		}})
	}
	for _, l := range m.GetListed() {
		out.Listed = append(out.Listed, gossip.Listed{
			Name: l.GetName(), Kind: gossip.ListedKind(l.GetKind()), Zone: l.GetZone(), Address: l.GetAddress(),
			Leaving: l.GetLeaving(), Gone: l.GetGone(), Version: era.Revision(l.GetVersion()), Announced: decodeAnnounced(l.GetAnnounced()),
		})
	}
	for _, c := range m.GetCrashes() {
		out.Crashes = append(out.Crashes, decodeCrash(c))
	}
	for _, s := range m.GetSuccesses() {
		out.Successes = append(out.Successes, crash.Success{
			Trait: crash.Trait(s.GetTrait()), EventTime: eventTimeOfAge(s.GetAgeMs()),
		})
	}
	for _, l := range m.GetLeavingReplicas() {
		out.Leaving = append(out.Leaving, gossip.Leaving{Incarnation: decodeIncarnation(l)})
	}
	for _, r := range m.GetRests() {
		out.Rests = append(out.Rests, gossip.Rest{Incarnation: decodeIncarnation(r.GetReplica()), Left: fromMilliseconds(r.GetLeftMs())})
	}
	for _, l := range m.GetLimits() {
		out.Limits = append(out.Limits, gossip.Limit{Incarnation: decodeIncarnation(l.GetReplica()), LimitReport: decodeLimit(l)})
	}
	for _, h := range m.GetHolders() {
		out.Holders = append(out.Holders, gossip.LeaseHolder{
			Zone: h.GetZone(), Instance: h.GetInstance(), Fence: h.GetFence(),
		})
	}
	return out
}

func decodeResidency(r *peerpb.Residency) gossip.Residency {
	out := gossip.Residency{Engine: r.GetEngine()}
	out.Boot = r.GetBoot()
	out.Change = r.GetChange()
	out.Leaving = r.GetLeaving()
	out.Born = r.GetBorn()
	for _, it := range r.GetItems() {
		out.Items = append(out.Items, pool.Item{Name: it.GetName(), Phase: pool.ItemPhase(it.GetPhase())})
	}
	return out
}
