// Package exchange spreads state among instances: records of replicas and of the
// registry, the calls that each instance has in flight, the demand of its callers,
// and the revision of its configuration.
//
// Each exchange is one request and one reply between two instances. Each message
// carries only what changed since the last state that the receiver acknowledged
// (core/gossip). In a small fleet every instance exchanges with every other (full
// mesh). In a large one each exchanges with its neighbours on a ring, and with the
// instances that receive updates first.
//
// The package owns the schedule of the exchanges, the last reported state of each
// peer, and the pull of a newer configuration. It passes the records to other
// modules, which interpret them.
package exchange

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/demand"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/links"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/rejectbudget"
	"github.com/birchdrift/birchdrift/core/shared"
	"github.com/birchdrift/birchdrift/core/watchers"
)

type (
	// SendRequest is the action that starts an exchange with a peer.
	SendRequest struct {
		Peer    string // "" if only the address is known
		Address string
		Message gossip.Message
	}
	// Reply is the event that answers a SendRequest.
	Reply struct {
		Peer    string
		Address string
		Message gossip.Message
		Err     error
	}
	// RequestReceived is the event that a peer started an exchange. It is answered by a
	// SendReply with the same Token.
	RequestReceived struct {
		Token   uint64
		Message gossip.Message
	}
	// SendReply is the action that answers a RequestReceived.
	SendReply struct {
		Token   uint64
		Message gossip.Message
	}
)

// IsAction implements step.Action.
func (SendRequest) IsAction() {}

// IsAction implements step.Action.
func (SendReply) IsAction() {}

// IsEvent implements step.Event.
func (Reply) IsEvent() {}

// IsEvent implements step.Event.
func (RequestReceived) IsEvent() {}

// Deps holds the state and the functions of other modules that exchanges use. The
// functions must be set before the first event.
type Deps struct {
	shared.State

	Roster *watchers.Roster
	Links  *links.Tracker
	// Rejections knows how many requests replicas can reject.
	Rejections *rejectbudget.Budget

	// Stopping reports whether a planned stop has begun.
	Stopping func() bool
	// NextPeer returns the peer to exchange with in a round. If it returns nil, a
	// neighbour on the ring is chosen.
	NextPeer func(now clock.Instant, round int) *member.Peer
	// PlatformBrings reports whether this instance will receive a newer
	// configuration from the platform itself.
	PlatformBrings func(now clock.Instant) bool
	// DemandFor returns the demand to report to a peer. DemandHeard handles the
	// demand that a peer reported.
	DemandFor   func(now clock.Instant, peer string) []demand.Item
	DemandHeard func(now clock.Instant, peer string, items []demand.Item)
	// Versions returns what to report to a peer about the versions of replicas' software.
	// VersionsHeard handles what a peer reported that knows the list up to knownAt, zero if that is
	// not known. VersionsKnown reports whether this instance needs no such report.
	Versions      func(now clock.Instant, peer string) gossip.Versions
	VersionsHeard func(now clock.Instant, peer string, v gossip.Versions, knownAt clock.Instant)
	VersionsKnown func(now clock.Instant) bool
	// Listed and Registered handle records that the peer from sent.
	Listed     func(now clock.Instant, from string, l gossip.Listed)
	Registered func(now clock.Instant, from string, records []registry.Record)
	// Crashed handles reports of replicas that terminated while running calls of the
	// peer or of other instances, and of requests that were served since.
	Crashed func(now clock.Instant, from string, reports []crash.Report, served []crash.Success)
	// Leaving handles the replicas that a peer knows to be leaving by their own report.
	Leaving func(now clock.Instant, from string, leaving []gossip.Leaving)
	// Limits handles the reports of the rate limits of replicas that a peer knows.
	Limits func(now clock.Instant, from string, limits []gossip.Limit)
	// Rests handles the rests known to a peer: for how long a replica asked another
	// instance to send it nothing (as HTTP Retry-After).
	Rests func(now clock.Instant, from string, rests []gossip.Rest)
	// Used records that an item of an engine is in use.
	Used func(now clock.Instant, engine, item string)
}

// Exchanges manages one instance's exchanges with its peers.
type Exchanges struct {
	Deps
	seeds    []string // addresses of peers in the settings
	schedule schedule
	pull     pull
	peers    map[string]peerState
	inFlight map[string]clock.Instant // when an exchange that is in flight was started, by address

	storeVersion era.Revision  // up to which the platform's store was read directly
	storeAt      clock.Instant // up to which everything in the store is known, directly or from peers
	// confirmedAt is the same without the messages of which this instance cannot tell how long
	// they were on their way, or lay unread while its process stood still.
	confirmedAt clock.Instant
}

// A peerState is the state that a peer last reported.
type peerState struct {
	boot          uint64
	stamp         uint64       // of its records when it sent the report
	revision      uint64       // of the configuration in force there
	storeRevision era.Revision // up to which it has read the platform's store directly
	acked         uint64       // stamp of this instance's records that it acknowledged
}

// New returns the Exchanges of an instance that knows no peer's state yet.
func New(deps Deps) *Exchanges {
	return &Exchanges{Deps: deps, seeds: deps.Self.Seeds, peers: map[string]peerState{}, inFlight: map[string]clock.Instant{}}
}

// SetSeeds replaces the addresses of peers from the settings.
func (x *Exchanges) SetSeeds(seeds []string) { x.seeds = seeds }

// MarkStoreKnownUntil records that everything in the platform's store up to the given time was
// read directly.
func (x *Exchanges) MarkStoreKnownUntil(upTo clock.Instant) {
	x.storeAt = clock.Latest(x.storeAt, upTo)
	x.confirmedAt = clock.Latest(x.confirmedAt, upTo)
}

// exchanging reports whether an exchange with the peer at an address is in flight.
func (x *Exchanges) exchanging(address string) bool {
	_, ok := x.inFlight[address]
	return ok
}

// ConfirmedUntil returns the time up to which everything in the store is certainly known.
func (x *Exchanges) ConfirmedUntil() clock.Instant { return x.confirmedAt }

// ObserveStoreVersion records the revision up to which the store was read directly.
func (x *Exchanges) ObserveStoreVersion(version era.Revision) {
	x.storeVersion = max(x.storeVersion, version)
}

// StoreKnownUntil returns the time up to which everything in the store is known, directly or
// from peers.
func (x *Exchanges) StoreKnownUntil() clock.Instant { return x.storeAt }

// StoreAge returns the age of the known store contents.
func (x *Exchanges) StoreAge(now clock.Instant) time.Duration { return now.Since(x.storeAt) }

// StartWith starts an exchange with p, unless p is nil or an exchange with it is in flight.
func (x *Exchanges) StartWith(now clock.Instant, p *member.Peer) {
	if p == nil || x.exchanging(p.Address) {
		return
	}
	x.inFlight[p.Address] = now
	x.Out.Emit(SendRequest{Peer: p.Name, Address: p.Address, Message: x.message(now, p.Name)})
}

// StartWithZone starts an exchange with each peer of this instance's zone.
func (x *Exchanges) StartWithZone(now clock.Instant) {
	for _, p := range x.Members.ZonePeers(true) {
		x.StartWith(now, p)
	}
}

// message returns the message for one side of an exchange with the peer. peer is ""
// if its name is not known yet.
func (x *Exchanges) message(now clock.Instant, peer string) gossip.Message {
	known := x.peers[peer]
	sameZone := false
	if p := x.Members.Get(peer); p != nil {
		sameZone = p.Zone == x.Self.Zone
	}
	msg := gossip.Message{
		From:         x.Self.Name,
		Zone:         x.Self.Zone,
		Address:      x.Self.Address,
		Boot:         x.Self.Boot,
		Leaving:      x.Stopping(),
		Revision:     x.Config.Revision(),
		StoreAge:     now.Since(x.storeAt),
		ConfirmedAge: x.confirmedAge(now),
		StoreVersion: x.storeVersion,
		Stamp:        x.Records.Stamp(),
		AckBoot:      known.boot,
		Ack:          known.stamp,
		Records:      x.Records.Delta(now, known.acked, peer, sameZone, known.storeRevision),
		Relays:       true,
		Informed:     x.Rejections.Informed(now),
		Links:        x.Rejections.Reports(now, x.Links.Reports(now)),
	}
	msg.Demand = x.DemandFor(now, peer)
	msg.Versions = x.Versions(now, peer)
	if x.Options.MeshEvery > 0 {
		msg.Uses = x.Pool.OwnUsage(x.Links.Lost)
	}
	return msg
}

// confirmedAge returns the age of what is certainly known of the store, 0 if nothing is.
func (x *Exchanges) confirmedAge(now clock.Instant) time.Duration {
	if x.confirmedAt.IsZero() {
		return 0
	}
	return max(time.Millisecond, now.Since(x.confirmedAt))
}

// HandleRequest applies the request of a peer and replies to it.
func (x *Exchanges) HandleRequest(now clock.Instant, e RequestReceived) {
	x.receive(now, e.Message, clock.Instant{})
	reply := x.message(now, e.Message.From)
	if e.Message.WantConfig && e.Message.Revision < x.Config.Revision() {
		reply.Config = x.Config.Encoded
	}
	x.Out.Emit(SendReply{Token: e.Token, Message: reply})
}

// HandleReply handles the result of an exchange that this instance started.
func (x *Exchanges) HandleReply(now clock.Instant, e Reply) {
	sent := x.inFlight[e.Address]
	delete(x.inFlight, e.Address)
	if e.Err != nil {
		if p := x.Members.Get(e.Peer); p != nil && p.Live(now) {
			x.Out.Log(logevent.PeerFailed, "peer", e.Peer, "error", e.Err.Error())
		}
		if !x.Saturation.Saturated(now) {
			x.Members.MarkFailed(now, e.Peer)
		}
		x.pullNewer(now)
		return
	}
	x.receive(now, e.Message, sent)
	if e.Message.ConfirmedAge > 0 { // not before: what the message brings was not known until then
		x.confirmedAt = clock.Latest(x.confirmedAt, sent.Add(-e.Message.ConfirmedAge))
	}
}

// receive applies the message of a peer. asked is when this instance sent the request that it
// answers, zero if it is a request itself.
func (x *Exchanges) receive(now clock.Instant, msg gossip.Message, asked clock.Instant) {
	if msg.From == "" || msg.From == x.Self.Name {
		return
	}
	x.Members.Upsert(msg.From, msg.Zone, msg.Address)
	x.Members.SetLeaving(msg.From, msg.Leaving)
	x.Members.MarkHeard(now, msg.From)
	former := x.peers[msg.From]
	state := peerState{boot: msg.Boot, stamp: msg.Stamp, revision: msg.Revision, storeRevision: msg.StoreVersion}
	// The first acknowledgement after a restart of the peer is ignored: it may be for
	// a delta that was computed for the previous boot, so that earlier records are
	// missing. A peer that acknowledges another boot of this instance has none of
	// this boot's records.
	if msg.AckBoot == x.Self.Boot && (former.boot == msg.Boot || former.boot == 0) {
		state.acked = msg.Ack
	}
	x.peers[msg.From] = state
	x.applyRecords(now, msg.From, msg.Records)
	if msg.StoreAge > 0 {
		x.storeAt = clock.Latest(x.storeAt, now.Add(-msg.StoreAge))
	}
	x.VersionsHeard(now, msg.From, msg.Versions, knownUntil(asked, msg))
	x.applyUses(now, msg)
	x.Links.ObservePeer(now, msg.From, msg.Relays, msg.Links)
	x.Rejections.ObservePeer(now, msg.From, msg.Informed, msg.Links)
	if len(msg.Demand) > 0 {
		x.DemandHeard(now, msg.From, msg.Demand)
	}
	x.pull.observe(now, msg.Revision, x.Config.Revision())
	if len(msg.Config) == 0 {
		x.pullNewer(now)
	}
}

// knownUntil returns the time up to which the sender of a message certainly knows the store, zero if
// the message does not answer a request of this instance. asked is when that was sent.
func knownUntil(asked clock.Instant, msg gossip.Message) clock.Instant {
	if asked.IsZero() || msg.ConfirmedAge == 0 {
		return clock.Instant{}
	}
	return asked.Add(-msg.ConfirmedAge)
}

func (x *Exchanges) applyRecords(now clock.Instant, from string, r gossip.Records) {
	for _, res := range r.Residencies {
		if x.Records.AddResidency(from, res) {
			x.LogLeaving(res)
			x.Pool.ObserveResidency(now, res.Engine, res.Residency)
			x.TellSoon(now)
		}
	}
	for _, l := range r.Loads {
		if x.Records.AddLoad(from, l) {
			x.Pool.ObserveLoad(now, l.Engine, l.Load)
		}
	}
	for _, l := range r.Listed {
		x.Listed(now, from, l)
	}
	for _, h := range r.Holders {
		x.Records.AddLeaseHolder(from, h)
	}
	x.Registered(now, from, r.Registered)
	if len(r.Crashes)+len(r.Successes) > 0 {
		x.Crashed(now, from, r.Crashes, r.Successes)
	}
	x.Leaving(now, from, r.Leaving)
	x.Limits(now, from, r.Limits)
	x.Rests(now, from, r.Rests)
}

// LogLeaving logs an engine's first report that it is leaving.
func (x *Exchanges) LogLeaving(res gossip.Residency) {
	r := x.Pool.Get(res.Engine)
	if r != nil && res.Leaving && !r.Leaving() {
		x.Out.Log(logevent.UpstreamLeaving, "upstream", res.Engine, "source", "itself")
	}
}

// applyUses applies the calls that a peer has in flight.
func (x *Exchanges) applyUses(now clock.Instant, msg gossip.Message) {
	if msg.Uses == nil {
		return
	}
	x.Pool.ObservePeerUsage(now, msg.From, msg.Uses)
	for engine, use := range msg.Uses {
		for _, item := range use.Items {
			x.Used(now, engine, item)
		}
	}
}
