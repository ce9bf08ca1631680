package instance

import "fmt"

// A Number is the number of one log event.
type Number int

// The log events. Catalogue holds the meaning and the remedy of each.
const (
	NoteStarted         Number = 1001
	NoteStopping        Number = 1002
	NoteStopped         Number = 1003
	NoteListening       Number = 1004
	NoteReloaded        Number = 1005
	NoteReloadRefused   Number = 1006
	NoteInstalled       Number = 1101
	NoteOlderIgnored    Number = 1102
	NoteConfigFailed    Number = 1103
	NotePlatformDown    Number = 1201
	NotePlatformBack    Number = 1202
	NoteLeaseGained     Number = 1301
	NoteLeaseLost       Number = 1302
	NoteLeaseDoubt      Number = 1303
	NoteIntentsLost     Number = 1304
	NoteEnrolled        Number = 1311
	NoteEnrolmentLost   Number = 1312
	NoteEngineTaken     Number = 1313
	NoteEngineLost      Number = 1314
	NoteOrder           Number = 1401
	NoteOrderRefused    Number = 1402
	NoteOrderLost       Number = 1403
	NoteOrderFenced     Number = 1404
	NoteOvercommitAvert Number = 1405
	NotePlacing         Number = 1321
	NotePlaced          Number = 1322
	NotePlaceEnded      Number = 1323
	NoteEngineOrder     Number = 1411
	NoteEngineAnswer    Number = 1412
	NoteEngineState     Number = 1413
	NoteOrderWaits      Number = 1414
	NoteLeaving         Number = 1501
	NoteAnnounced       Number = 1502
	NoteVanished        Number = 1503
	NotePeerFailed      Number = 1601
	NotePolicyFailed    Number = 1701
	NoteCallFailed      Number = 1801
	NoteCallRetried     Number = 1802
	NoteCallResumed     Number = 1803
	NoteCallSent        Number = 1804
	NoteCallServed      Number = 1805
	NoteCallWaits       Number = 1806
	NoteBug             Number = 1901
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
	{NoteStarted, "started", "The process started with the settings shown.", "None."},
	{NoteStopping, "stopping", "A planned stop began.", "None."},
	{NoteStopped, "stopped", "The stop is complete; `cut` counts the calls that it cut off.", "If `cut` is not 0, raise `--stop-limit`."},
	{NoteListening, "listening", "A listener accepts connections.", "None."},
	{NoteReloaded, "settings_reloaded", "Changed settings are in force; those that need a restart keep their old value until then.", "None."},
	{NoteReloadRefused, "settings_refused", "The changed settings are wrong; the old ones stay in force.", "Mend what the detail names."},
	{NoteInstalled, "configuration_installed", "A configuration revision is in force on this instance.", "None."},
	{NoteOlderIgnored, "older_configuration_ignored", "Somebody offered a revision that is not newer than the one in force.", "None; a burst after a zone heals is usual."},
	{NoteConfigFailed, "configuration_failed", "A stored configuration could not be taken over; the one in force stays.", "Apply a good one with `birchctl apply`."},
	{NotePlatformDown, "platform_down", "The platform's key-value service does not answer.", "Check the platform. Calls whose models are resident go on."},
	{NotePlatformBack, "platform_back", "The platform's key-value service answers again.", "None."},
	{NoteLeaseGained, "lease_gained", "This instance plans for its zone from now on.", "None."},
	{NoteLeaseLost, "lease_lost", "Another instance plans for this zone.", "None."},
	{NoteLeaseDoubt, "lease_in_doubt", "The lease may have lapsed; only engines that check fences are still ordered.", "Check the platform if it lasts."},
	{NoteIntentsLost, "intents_conflict", "Another holder has written the zone's intents; this one stops ordering.", "None."},
	{NoteEnrolled, "enrolled", "This instance's record stands in the platform's store.", "None."},
	{NoteEnrolmentLost, "enrolment_lost", "The platform dropped this instance's record; it is written again.", "None; often means that the platform was out of reach for longer than the record's term."},
	{NoteEngineTaken, "engine_taken", "This instance orders the engine from now on, at the earliest after `wait`.", "None."},
	{NoteEngineLost, "engine_lost", "This instance no longer orders the engine.", "None."},
	{NotePlacing, "placing", "This instance places models from now on.", "None."},
	{NotePlaced, "placement", "A model is to be loaded on an engine, and others to make way for it.", "None; `worth` and `cost` say why."},
	{NotePlaceEnded, "placement_ended", "A placement is done, or was given up.", "None."},
	{NoteOrder, "order", "An order was sent to an engine.", "None."},
	{NoteOrderRefused, "order_refused", "An engine refused an order.", "Read the detail; an engine out of memory that the ledger thought free is a bug."},
	{NoteOrderLost, "order_lost", "An order's answer is lost; its memory stays booked until the engine's state tells.", "Check the engine if it lasts."},
	{NoteOrderFenced, "order_fenced", "An engine has seen a later fence than this instance's.", "None; another instance plans for the zone."},
	{NoteOvercommitAvert, "overcommit_averted", "The plan asked for a step that the ledger refused.", "None; rare lines are usual when state changes under a plan."},
	{NoteEngineOrder, "engine_order", "An order was sent to an announced engine.", "None."},
	{NoteEngineAnswer, "engine_answer", "What came of an order to an announced engine.", "Many that are lost: check the engine."},
	{NoteEngineState, "engine_state", "An announced engine was asked for its state.", "None."},
	{NoteOrderWaits, "order_refused_here", "A peer asked for an order that this instance will not give now.", "Read the reason."},
	{NoteLeaving, "upstream_leaving", "An upstream is leaving and gets no new work.", "None."},
	{NoteAnnounced, "upstream_announced", "A replica announced itself in the platform's list.", "None."},
	{NoteVanished, "upstream_vanished", "A replica's entry is gone from the platform's list; it is used for a moment more where nothing better is there.", "None; many at once mean that the platform lost its leases."},
	{NotePeerFailed, "peer_failed", "An exchange with a peer failed.", "Check the network between the instances if it lasts."},
	{NotePolicyFailed, "policy_failed", "A policy expression failed at run time; its declared default was used.", "Mend the expression."},
	{NoteCallFailed, "call_failed", "A call got a final answer that is not its upstream's.", "Look the code up in docs/codes.md."},
	{NoteCallRetried, "call_retried", "A call was sent to another replica after an attempt broke.", "None; watch the rate."},
	{NoteCallResumed, "call_resumed", "A broken stream goes on at its offset.", "None; watch the rate."},
	{NoteCallSent, "call_sent", "A forwarded call was sent to a replica: what was expected of it, from which load and how old its announcement was.", "None."},
	{NoteCallServed, "call_served", "A forwarded call's answer is whole; how long its parts took.", "None."},
	{NoteCallWaits, "call_waits", "A forwarded call waits here, for an order or for its model.", "None."},
	{NoteBug, "bug", "The program met a state that it holds impossible.", "Report it with the line."},
}
