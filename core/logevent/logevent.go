// Package logevent provides the numbered events that the product writes to its
// log: one line for each decision on a call and for each change of what an
// instance believes.
//
// Numbers and names are never changed or used again, since operators' searches
// and alerts rest on them. docs/events.md is generated from Catalogue.
package logevent

import "fmt"

// A Number is the number of one log event.
type Number int

// The log events. Catalogue holds the meaning and the remedy of each.
const (
	Started            Number = 1001
	Stopping           Number = 1002
	Stopped            Number = 1003
	Listening          Number = 1004
	SettingsReloaded   Number = 1005
	SettingsRefused    Number = 1006
	SleepUncounted     Number = 1007
	BoundTooShort      Number = 1008
	ConfigInstalled    Number = 1101
	OlderConfigIgnored Number = 1102
	ConfigFailed       Number = 1103
	PlatformDown       Number = 1201
	PlatformBack       Number = 1202
	LeaseGained        Number = 1301
	LeaseLost          Number = 1302
	LeaseInDoubt       Number = 1303
	IntentsConflict    Number = 1304
	Enrolled           Number = 1311
	EnrolmentLost      Number = 1312
	EngineTaken        Number = 1313
	EngineLost         Number = 1314
	NotReturned        Number = 1315
	RecordUnreadable   Number = 1316
	Watching           Number = 1317
	StoreSteppedBack   Number = 1318
	ListOld            Number = 1319
	ListCurrent        Number = 1320
	Order              Number = 1401
	OrderRefused       Number = 1402
	OrderLost          Number = 1403
	OrderFenced        Number = 1404
	OvercommitAverted  Number = 1405
	Placing            Number = 1321
	Placement          Number = 1322
	PlacementEnded     Number = 1323
	EngineOrder        Number = 1411
	EngineAnswer       Number = 1412
	EngineState        Number = 1413
	OrderRefusedHere   Number = 1414
	EngineStateFailed  Number = 1415
	UpstreamLeaving    Number = 1501
	UpstreamAnnounced  Number = 1502
	UpstreamVanished   Number = 1503
	UpstreamEnded      Number = 1504
	UpstreamNotice     Number = 1505
	UpstreamRestarted  Number = 1506
	HeaderUnread       Number = 1507
	UpstreamLimit      Number = 1508
	PeerFailed         Number = 1601
	PolicyFailed       Number = 1701
	CallFailed         Number = 1801
	CallRetried        Number = 1802
	CallResumed        Number = 1803
	CallSent           Number = 1804
	CallServed         Number = 1805
	CallWaits          Number = 1806
	ProbeFailed        Number = 1807
	CancelFailed       Number = 1808
	HeaderIgnored      Number = 1809
	CallNotRepeated    Number = 1810
	RequestQuarantined Number = 1811
	RequestReleased    Number = 1812
	QuarantineNotKept  Number = 1813
	PermitFailed       Number = 1814
	Bug                Number = 1901
)

// names are the catalogue's names by number.
var names = func() map[Number]string {
	m := make(map[Number]string, len(Catalogue))
	for _, e := range Catalogue {
		m[e.Number] = e.Name
	}
	return m
}()

// Name returns the event's name in the catalogue.
func (n Number) Name() string {
	if name, ok := names[n]; ok {
		return name
	}
	return fmt.Sprintf("event_%d", int(n))
}

// An Entry describes one log event for people.
type Entry struct {
	Number  Number
	Name    string
	Meaning string
	Remedy  string
}

// Catalogue lists every log event in rising order.
var Catalogue = []Entry{
	{Started, "started", "The process started with the settings shown.", "None."},
	{Stopping, "stopping", "A planned stop began.", "None."},
	{Stopped, "stopped", "The stop is complete; `cut` counts the calls that it cut off.", "If `cut` is not 0, raise `--stop-limit`."},
	{Listening, "listening", "A listener accepts connections.", "None."},
	{SettingsReloaded, "settings_reloaded", "Changed settings are in force; those that need a restart keep their old value until then.", "None."},
	{SettingsRefused, "settings_refused", "The changed settings are wrong; the old ones stay in force.", "Mend what the detail names."},
	{SleepUncounted, "sleep_uncounted", "The system offers no clock that counts the time for which the machine sleeps; rights are judged by the wall clock as well, which may be set back.", "Keep the machine from being suspended, or its wall clock from being set back."},
	{BoundTooShort, "bound_too_short", "The bound for replicas that leave is shorter than what the waits on the way to it come to at their least; they are kept at that, and listed.", "Ask for a longer bound, or exchange more often (`--exchange-every`)."},
	{ConfigInstalled, "configuration_installed", "A configuration revision is in force on this instance.", "None."},
	{OlderConfigIgnored, "older_configuration_ignored", "Somebody offered a revision that is not newer than the one in force.", "None; a burst after a zone heals is usual."},
	{ConfigFailed, "configuration_failed", "A stored configuration could not be taken over; the one in force stays.", "Apply a good one with `birchctl apply`."},
	{PlatformDown, "platform_down", "The platform's key-value service does not answer.", "Check the platform. Calls whose models are resident go on."},
	{PlatformBack, "platform_back", "The platform's key-value service answers again.", "None."},
	{LeaseGained, "lease_gained", "This instance plans for its zone from now on.", "None."},
	{LeaseLost, "lease_lost", "Another instance plans for this zone.", "None."},
	{LeaseInDoubt, "lease_in_doubt", "The lease may have lapsed; only engines that check fences are still ordered.", "Check the platform if it lasts."},
	{IntentsConflict, "intents_conflict", "Another holder has written the zone's intents; this one stops ordering.", "None."},
	{Enrolled, "enrolled", "This instance's record stands in the platform's store.", "None."},
	{EnrolmentLost, "enrolment_lost", "The platform dropped this instance's record; it is written again.", "None; often means that the platform was out of reach for longer than the record's term."},
	{EngineTaken, "engine_taken", "This instance orders the engine from now on, at the earliest after `wait`.", "None."},
	{EngineLost, "engine_lost", "This instance no longer orders the engine.", "None."},
	{NotReturned, "not_returned", "At a planned stop, or after a call that did not run, something could not be given back to the platform; others wait until it lapses.", "Check the platform if it lasts."},
	{RecordUnreadable, "record_unreadable", "A record in the platform's store cannot be read and is passed over.", "See who wrote the key. A replica's entry that lacks a service, zone, address or state, or has one that is not known, counts too; what was known of the replica stays."},
	{Watching, "watching", "This instance watches the platform's store from now on, or no longer does (`keeps`), and why.", "None; one that begins again and again hears too late from its peers."},
	{StoreSteppedBack, "store_stepped_back", "The platform's store came back from an older copy of itself. This instance begins a new lease and claims the `engines` again that it orders; calls go on.", "Ask the platform's operators. See docs/OPERATIONS.md, \"The store came back from an older copy\"."},
	{ListOld, "list_old", "What this instance knows of the platform's list is older than a sound platform and sound peers would let it be (`age_ms`, `most_ms`), though the platform is not known to be down. Calls go on.", "See whether `platform_down` or `peer_failed` follows; else connections hang. Calls that reach a replica too late after it left have such an age in `call_sent`."},
	{ListCurrent, "list_current", "The list is as young again as it should be; `oldest_ms` is how old it became.", "None."},
	{Placing, "placing", "This instance places models from now on.", "None."},
	{Placement, "placement", "A model is to be loaded on an engine, and others to make way for it.", "None; `worth` and `cost` say why."},
	{PlacementEnded, "placement_ended", "A placement is done, or was given up.", "None."},
	{Order, "order", "An order was sent to an engine.", "None."},
	{OrderRefused, "order_refused", "An engine refused an order.", "Read the detail; an engine out of memory that the ledger thought free is a bug."},
	{OrderLost, "order_lost", "An order's answer is lost; its memory stays booked until the engine's state tells.", "Check the engine if it lasts."},
	{OrderFenced, "order_fenced", "An engine has seen a later fence than this instance's.", "None; another instance plans for the zone."},
	{OvercommitAverted, "overcommit_averted", "The plan asked for a step that the ledger refused.", "None; rare lines are usual when state changes under a plan."},
	{EngineOrder, "engine_order", "An order was sent to an announced engine.", "None."},
	{EngineAnswer, "engine_answer", "What came of an order to an announced engine.", "Many that are lost: check the engine."},
	{EngineState, "engine_state", "An announced engine was asked for its state.", "None."},
	{OrderRefusedHere, "order_refused_here", "A peer asked for an order that this instance will not give now.", "Read the reason."},
	{EngineStateFailed, "engine_state_failed", "An announced engine did not say its state; it is asked again.", "Many for one engine: check it."},
	{UpstreamLeaving, "upstream_leaving", "An upstream is leaving and gets no new work.", "None."},
	{UpstreamAnnounced, "upstream_announced", "A replica announced itself in the platform's list.", "None."},
	{UpstreamVanished, "upstream_vanished", "A replica's entry is gone from the platform's list; it is used for a moment more where nothing better is there.", "None; many at once mean that the platform lost its leases."},
	{UpstreamEnded, "upstream_ended", "A replica ended without a word while it had calls of this instance; they are reported to all instances.", "Many: look for 1811, which names the request that is blamed."},
	{UpstreamNotice, "upstream_notice", "A replica said of itself in an answer that it leaves, or for how long it wants nothing from this instance.", "None; one that asks for rest again and again is overloaded."},
	{UpstreamRestarted, "upstream_restarted", "A replica started again under its name, or at another address; calls that were there are settled as after a crash.", "None; again and again: look at what ends it."},
	{HeaderUnread, "header_unread", "An answer of a replica or of the platform's store had a header that nothing here reads; each name is logged once.", "See what the platform's pages say of it. If it asks something of callers, nothing here does that yet: report it."},
	{UpstreamLimit, "upstream_limit", "A replica names how many requests a second it takes from all instances together, another number, or none any more (`named`); `by` is the instance that had its answer, `ago_ms` before.", "None; one that names a limit is in need: look at what runs there."},
	{PeerFailed, "peer_failed", "An exchange with a peer failed.", "Check the network between the instances if it lasts."},
	{PolicyFailed, "policy_failed", "A policy expression failed at run time; its declared default was used.", "Mend the expression."},
	{CallFailed, "call_failed", "A call got a final answer that is not its upstream's.", "Look the code up in docs/codes.md."},
	{CallRetried, "call_retried", "A call was sent to another replica after an attempt broke.", "None; watch the rate."},
	{CallResumed, "call_resumed", "A broken stream goes on at its offset.", "None; watch the rate."},
	{CallSent, "call_sent", "A forwarded call was sent to a replica: what was expected of it, from which load and how old its announcement was.", "None."},
	{CallServed, "call_served", "A forwarded call's answer is whole; how long its parts took.", "None."},
	{CallWaits, "call_waits", "A forwarded call waits here, for an order or for its model.", "None."},
	{ProbeFailed, "probe_failed", "An engine did not say in time how busy it is; the call goes by what is known.", "Many: check the engine, or raise `--load-wait`."},
	{CancelFailed, "cancel_failed", "A replica could not be told to drop a call; it notices the closed connection.", "None; many for one upstream: check it."},
	{HeaderIgnored, "header_ignored", "A forwarded call's header makes no sense and counts as absent; it only steers decisions.", "Mend the caller that sends it."},
	{CallNotRepeated, "call_not_repeated", "A forwarded call's attempt failed and it does not go to another replica; `reason` says why.", "Many with the retry budget used up: an upstream is failing."},
	{RequestQuarantined, "request_quarantined", "A request is not run for `term`, since the replicas named in `upstreams` ended under it.", "Find the calls by their `fingerprint` in 1804, and what in them ends the replicas."},
	{RequestReleased, "request_released", "A request is run again: it was served, or the ends of replicas are put down to another.", "None."},
	{QuarantineNotKept, "quarantine_not_kept", "A quarantine could not be written to the platform's store; it is tried again. All instances that run know of it.", "Check the platform if it lasts."},
	{PermitFailed, "permit_failed", "A peer that gives out the permits of a replica which names a limit did not answer; another one is asked.", "Check the network between the instances if it lasts."},
	{Bug, "bug", "The program met a state that it holds impossible.", "Report it with the line."},
}
