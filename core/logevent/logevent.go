// Package logevent provides the numbered events of the log: one line for each
// decision about a call and for each change in an instance's view of its
// environment.
//
// Numbers and names are never changed or reused, since operators' searches and
// alerts depend on them. docs/events.md is generated from Catalogue.
package logevent

import "fmt"

// A Number is the number of one log event.
type Number int

// The log events. Catalogue describes the meaning and the remedy of each.
const (
	Started            Number = 1001
	Stopping           Number = 1002
	Stopped            Number = 1003
	Listening          Number = 1004
	SettingsReloaded   Number = 1005
	SettingsRefused    Number = 1006
	SleepUncounted     Number = 1007
	BoundTooShort      Number = 1008
	TooManyCallers     Number = 1009
	Saturated          Number = 1010
	SaturationOver     Number = 1011
	ListenFailed       Number = 1012
	LibraryMessage     Number = 1013
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
	FirstOfFleet       Number = 1324
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
	LinksLost          Number = 1509
	LinksBack          Number = 1510
	RejectionLimit     Number = 1511
	AnswerLimit        Number = 1512
	UpstreamSuperseded Number = 1513
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
	RetryCharged       Number = 1815
	CallRelayed        Number = 1816
	StreamTakenUp      Number = 1817
	StreamPeerFailed   Number = 1818
	EarlyAnswer        Number = 1819
	Bug                Number = 1901
)

// names maps the number of each event to its name in the catalogue.
var names = func() map[Number]string {
	m := make(map[Number]string, len(Catalogue))
	for _, e := range Catalogue {
		m[e.Number] = e.Name
	}
	return m
}()

// Name returns the event's name in the catalogue, or event_N for an unknown number.
func (n Number) Name() string {
	if name, ok := names[n]; ok {
		return name
	}
	return fmt.Sprintf("event_%d", int(n))
}

// An Entry describes one log event for operators.
type Entry struct {
	Number  Number
	Name    string
	Meaning string
	Remedy  string
}

// Catalogue lists all log events in ascending order of their numbers.
var Catalogue = []Entry{
	{Started, "started", "The process started with the settings shown.", "None."},
	{Stopping, "stopping", "A planned stop started.", "None."},
	{Stopped, "stopped", "The planned stop is complete; `cut` is the number of calls that it aborted.", "If `cut` is not 0, raise `--stop-limit`."},
	{Listening, "listening", "A listener accepts connections; one whose other end vanished is closed after `silence_limit`.", "None."},
	{SettingsReloaded, "settings_reloaded", "Changed settings are in force, except those that need a restart, which keep their old value until then.", "None."},
	{SettingsRefused, "settings_refused", "The changed settings are invalid; the old ones stay in force.", "Correct what the detail names."},
	{SleepUncounted, "sleep_uncounted", "The system has no clock that includes the time for which the machine is suspended. The expiry of leases is therefore checked against the wall clock as well, which may be set back.", "Keep the machine from being suspended, or its wall clock from being set back."},
	{BoundTooShort, "bound_too_short", "The bound for leaving replicas is shorter than the sum of the least delays that it consists of. These keep their least values, which are listed.", "Configure a longer bound (`--leave-bound`), or more frequent exchanges (`--exchange-every`)."},
	{TooManyCallers, "too_many_callers", "Callers have so many connections to this instance (`open`) that it closes new ones, unread, to keep descriptors for connections to replicas. Logged once per second at most.", "Check that the load balancer spreads connections; otherwise raise the limit of open files of the process."},
	{Saturated, "saturated", "The processor or the network link (`cause`) of this instance is saturated: its own work waits `run_delay_ms` for the processor, or it uses `link_use` of the link's rate.", "Check that the load balancer spreads connections (`birchdrift_caller_connections_total`); if all instances are saturated, add instances."},
	{SaturationOver, "saturation_over", "This instance has not been saturated for a second; it was for `lasted_ms`.", "None."},
	{ListenFailed, "listen_failed", "The instance could not listen for callers again after it had refused connections. It tries again every 20 ms.", "Find out what took the address."},
	{LibraryMessage, "library_message", "A library logged a message; `detail` is its beginning. \"Unsolicited response received on idle HTTP channel\" means that an upstream sent bytes behind a whole answer; the connection was closed.", "If there are many of these, check the upstreams."},
	{ConfigInstalled, "configuration_installed", "A configuration revision is in force on this instance.", "None."},
	{OlderConfigIgnored, "older_configuration_ignored", "The platform or a peer sent a revision older than the one in force; it is ignored.", "None; many at once are normal after a zone reconnects."},
	{ConfigFailed, "configuration_failed", "A received configuration is invalid and was not installed; the one in force stays.", "Apply a valid one with `birchctl apply`."},
	{PlatformDown, "platform_down", "The platform's key-value service does not respond.", "Check the platform. Calls whose models are resident are still served."},
	{PlatformBack, "platform_back", "The platform's key-value service responds again.", "None."},
	{LeaseGained, "lease_gained", "This instance is now the planner of its zone.", "None."},
	{LeaseLost, "lease_lost", "Another instance is now the planner of this zone.", "None."},
	{LeaseInDoubt, "lease_in_doubt", "The lease may have expired; only engines that check fences still receive orders.", "Check the platform if it persists."},
	{IntentsConflict, "intents_conflict", "Another lease holder wrote the zone's intents; this instance stops sending orders.", "None."},
	{Enrolled, "enrolled", "This instance's registration is stored in the platform's store.", "None."},
	{EnrolmentLost, "enrolment_lost", "This instance's registration is missing from the platform's store; it is written again.", "None; often the platform was unreachable for longer than the term of the registration's lease."},
	{EngineTaken, "engine_taken", "This instance is now the owner of the engine and sends it orders after `wait` at the earliest.", "None."},
	{EngineLost, "engine_lost", "This instance is no longer the owner of the engine.", "None."},
	{NotReturned, "not_returned", "At a planned stop, or after a call that did not run, something that is held at the platform (`what`, for example an ownership, a lease or a claim) could not be released; other instances wait until it expires.", "Check the platform if it persists."},
	{RecordUnreadable, "record_unreadable", "A record in the platform's store is malformed and is ignored.", "Find out who wrote the key. The event is also logged for a replica's entry whose service, zone, address or state is missing or unknown; the instance then keeps what it knew of the replica."},
	{Watching, "watching", "This instance starts or stops watching the platform's store (`keeps`), with the reason.", "None; an instance that starts repeatedly receives updates from its peers too late."},
	{StoreSteppedBack, "store_stepped_back", "The platform's store was restored from an older copy. This instance starts a new lease and claims again the `engines` that it owns; calls continue.", "Contact the platform's operators. See docs/OPERATIONS.md, \"The store came back from an older copy\"."},
	{ListOld, "list_old", "This instance's view of the platform's list is older (`age_ms`) than it can be while the platform and the peers work (`most_ms`), although no outage of the platform has been detected. Calls continue.", "Check whether `platform_down` or `peer_failed` follows; otherwise connections hang. Calls that reach a replica too long after it left have such an age in `call_sent`."},
	{ListCurrent, "list_current", "The view of the platform's list is up to date again; `oldest_ms` is the greatest age that it reached.", "None."},
	{Placing, "placing", "This instance is now the placer.", "None."},
	{Placement, "placement", "The placer decided to load a model on an engine, and to unload others to make room for it.", "None; `worth` and `cost` give the reason."},
	{PlacementEnded, "placement_ended", "A placement is complete, or was abandoned.", "None."},
	{FirstOfFleet, "first_of_fleet", "The platform's store had no record of an earlier instance of the fleet, so no stream can have begun before this one started.", "None. Expected once, at the first start of the fleet with `first-start`."},
	{Order, "order", "An order was sent to an engine.", "None."},
	{OrderRefused, "order_refused", "An engine rejected an order.", "Read the detail; if the engine is out of memory that is free by the ledger, report a bug."},
	{OrderLost, "order_lost", "The response to an order was lost; its memory stays booked until the engine's state shows the outcome.", "Check the engine if it persists."},
	{OrderFenced, "order_fenced", "An engine has seen a newer fence than this instance's.", "None; another instance is the planner of the zone."},
	{OvercommitAverted, "overcommit_averted", "The ledger rejected a step of the plan.", "None; occasional events are normal when the state changes during planning."},
	{EngineOrder, "engine_order", "An order was sent to an announced engine.", "None."},
	{EngineAnswer, "engine_answer", "The outcome of an order to an announced engine.", "If many are lost, check the engine."},
	{EngineState, "engine_state", "The state of an announced engine was read.", "None."},
	{OrderRefusedHere, "order_refused_here", "This instance cannot send an order now and rejected the request for it, which usually comes from a peer.", "Read the detail."},
	{EngineStateFailed, "engine_state_failed", "Reading the state of an announced engine failed; it is retried.", "If there are many for one engine, check it."},
	{UpstreamLeaving, "upstream_leaving", "An upstream is leaving and receives no new calls.", "None."},
	{UpstreamAnnounced, "upstream_announced", "A replica announced itself in the platform's list.", "None."},
	{UpstreamVanished, "upstream_vanished", "A replica's entry is missing from the platform's list; during a grace period the replica is still used if there is no better one.", "None; if there are many at once, the platform lost its leases."},
	{UpstreamEnded, "upstream_ended", "A replica terminated without announcing it while it ran calls of this instance. The calls are reported to all instances.", "If there are many, look for event 1811, which names the suspected request."},
	{UpstreamNotice, "upstream_notice", "A replica stated in a response that it is leaving, or for how long this instance must send it nothing (its rest).", "None; a replica that repeatedly asks for a rest is overloaded."},
	{UpstreamRestarted, "upstream_restarted", "A replica restarted under its name or at another address; its calls are handled as after a crash.", "None; if it is frequent, find out what terminates the replica."},
	{HeaderUnread, "header_unread", "A response of a replica or of the platform's store has a header that is not supported; each name is logged once.", "Look the header up in the platform's documentation. If it requires something of callers, that is not implemented yet: report it."},
	{UpstreamLimit, "upstream_limit", "A replica set, changed or withdrew (`named`) its rate limit, the requests per second that it accepts from all instances together; `by` is the instance that received its response, `ago_ms` earlier.", "None; a replica that sets a rate limit is overloaded: check what runs there."},
	{LinksLost, "links_lost", "This instance cannot connect to most replicas of a service (`unreachable` of `replicas`). Other instances may reach them.", "If other instances log it too, check the replicas; otherwise check the network of this instance."},
	{LinksBack, "links_back", "This instance reaches most replicas of the service again, after `lasted_ms` and `failed` connection attempts.", "None."},
	{RejectionLimit, "rejection_limit", "The replicas of a service stated, changed or withdrew (`named`) how many requests each can reject within a second without failing; `by` is the instance that received the answer.", "None; calls wait at the instances or are refused there, instead of being rejected by replicas."},
	{AnswerLimit, "answer_limit", "An upstream exceeded a `limit` of what it may send as an answer, after `bytes`; the connection was closed: `head_bytes` of the head, `head_time` from the first byte of the head to its end, `answer_bytes` of the body, `event_bytes` of one event of a stream, `idle_bytes` of a stream without an event.", "Check the upstream: it is faulty and may send such bytes without end. If its answers are larger than `--max-answer`, raise that."},
	{UpstreamSuperseded, "upstream_superseded", "Several entries of the platform's list name this `address`. The replica is no longer used because a newer entry names another one there, or it is used again (`superseded` is false) because that entry vanished, proved wrong, or has lasted too long beside its own.", "None while replicas restart at their addresses. If it persists, find out who wrote the newer entry."},
	{PeerFailed, "peer_failed", "An exchange with a peer failed.", "Check the network between the instances if it persists."},
	{PolicyFailed, "policy_failed", "A policy expression failed at run time; the policy's default was used.", "Correct the expression."},
	{CallFailed, "call_failed", "A call received a final response that is not its upstream's.", "Look the code up in docs/codes.md."},
	{CallRetried, "call_retried", "A call was retried at another replica after an attempt failed.", "None; monitor the rate."},
	{CallResumed, "call_resumed", "A broken stream was resumed at its offset.", "None; monitor the rate."},
	{CallSent, "call_sent", "A forwarded call was sent to a replica, with the expected latency, the load that it is based on, and the age of the replica's announcement.", "None."},
	{CallServed, "call_served", "The response to a forwarded call is complete, with the durations of its parts.", "None."},
	{CallWaits, "call_waits", "A forwarded call waits at this instance, for example for an order or for its model; see `for`.", "None."},
	{ProbeFailed, "probe_failed", "An engine did not respond to a load probe in time; the call is routed by the load known so far.", "If there are many, check the engine, or raise `--load-wait`."},
	{CancelFailed, "cancel_failed", "A request to a replica to cancel a call failed; the replica notices the closed connection.", "None; if there are many for one upstream, check it."},
	{HeaderIgnored, "header_ignored", "A header of a forwarded call is invalid and is ignored; it only influences decisions.", "Correct the caller that sends it."},
	{CallNotRepeated, "call_not_repeated", "An attempt of a forwarded call failed and is not retried at another replica; see `reason`.", "If there are many because the retry budget is used up, an upstream is failing."},
	{RequestQuarantined, "request_quarantined", "A request, or every request with the `parts` in its prompt, is quarantined for `term`, because the replicas named in `upstreams` terminated while they ran such requests.", "Find the calls by their `fingerprint`, or `parts`, in event 1804, and what in them terminates the replicas."},
	{RequestReleased, "request_released", "A request is no longer quarantined: it was served, or the terminations of the replicas are attributed to another request.", "None."},
	{QuarantineNotKept, "quarantine_not_kept", "Writing a quarantine to the platform's store failed; it is retried. All running instances know of the quarantine.", "Check the platform if it persists."},
	{PermitFailed, "permit_failed", "The coordinator of the permits of a rate-limited replica did not respond; another peer is asked.", "Check the network between the instances if it persists."},
	{RetryCharged, "retry_charged", "A retry of a forwarded call was charged to the retry budget of its service: to the part of this instance, or to that of the instance `by`, which lent it (`part`); `calls` and `retries` are those of this instance within the window, `left` is what it has left.", "None; `birchctl losses` adds up the retries of all instances."},
	{CallRelayed, "call_relayed", "This instance sends an attempt of a call to a replica on behalf of the instance `from`, which cannot connect to it, or refuses to (`failure`).", "None; many mean that the instance `from` has lost its links, see event 1509 there."},
	{StreamTakenUp, "stream_taken_up", "A caller takes up a stream that another call began (`resumes`). `known` says from where the version of the software that began it (`software`) is known: `here`, from a peer (`peer`), because no other version can have begun it (`only_one`), or not at all (`no`): then the stream is not continued.", "Streams that are not known are lost to their callers; if there are many, look for instances that ended or were cut off shortly before."},
	{StreamPeerFailed, "stream_peer_failed", "A peer did not answer, when it was told which streams began at this instance, or was asked for a stream.", "Check the network between the instances if it persists."},
	{EarlyAnswer, "early_answer", "The answer to a call began before the call's body had ended: `at_head` bytes of it had been read then, and `read` bytes when the handler returned, of `length` (-1: unknown); `ended` says whether its end was read. What was read has been passed on to the replica, but for an answer by this instance itself.", "If `read` is less than the caller sent although `ended` is true, bytes are lost in this instance: report it with the log line."},
	{Bug, "bug", "The program reached a state that should be impossible.", "Report it with the log line."},
}
