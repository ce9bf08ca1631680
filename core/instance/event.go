package instance

import (
	"github.com/birchdrift/birchdrift/core/asks"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/exchange"
	"github.com/birchdrift/birchdrift/core/forwarding"
	"github.com/birchdrift/birchdrift/core/listing"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/own/modelcalls"
	"github.com/birchdrift/birchdrift/core/own/planner"
	ownwatch "github.com/birchdrift/birchdrift/core/own/watch"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/ownership"
	"github.com/birchdrift/birchdrift/core/shutdown"
	"github.com/birchdrift/birchdrift/core/step"
	"github.com/birchdrift/birchdrift/core/watch"
)

// All events that a driver hands to the machine and all actions that it carries
// out, by the names under which drivers know them. Each is defined and described
// in the module that takes it in or gives it out.

type (
	// An Event is something that happened outside the machine.
	Event = step.Event
	// An Action is something that the machine asks its driver to do.
	Action = step.Action
	// Log is an action: one numbered line of the log.
	Log = step.Log
)

// The events and actions of calls.
type (
	CallID         = calls.ID
	Call           = calls.Request
	Forwarded      = calls.Forwarded
	Arrived        = calls.Arrived
	AnswerBegan    = calls.AnswerBegan
	Completed      = calls.Completed
	AttemptFailed  = calls.AttemptFailed
	CallerGone     = calls.CallerGone
	Dispatch       = calls.Dispatch
	ForwardAttempt = calls.ForwardAttempt
	Relay          = calls.Relay
	Finish         = calls.Finish
	ProbeEngine    = forwarding.ProbeEngine
	ProbeReply     = forwarding.ProbeReply
)

// The events and actions of the platform's store and of peers.
type (
	WatchPlatform = watch.Begin
	WatchReply    = watch.Reply
	ListReply     = listing.Reply
	Exchange      = exchange.Begin
	ExchangeReply = exchange.Reply
	ExchangeAsked = exchange.Asked
	Answer        = exchange.Answer
)

// The events and actions of the owners of engines.
type (
	Enrol            = ownership.Enrol
	EnrolReply       = ownership.EnrolReply
	KeepEnrolled     = ownership.KeepEnrolled
	KeepReply        = ownership.KeepReply
	WriteRegistry    = ownership.Write
	RegistryWrite    = ownership.Records
	WriteReply       = ownership.WriteReply
	RegistryReply    = ownership.Heard
	Resign           = ownership.Resign
	EngineOrder      = owned.SendOrder
	EngineOrderReply = owned.OrderReply
	EngineAnswer     = orders.Answer
	AskEngine        = owned.AskState
	EngineStateReply = owned.StateReply
	OrderAsked       = owned.Asked
	OrderAnswered    = owned.Answer
	AskOutcome       = owned.Outcome
	AskOrder         = asks.Ask
	AskOrderReply    = asks.Reply
)

// The events and actions that only the product's own environment has.
type (
	Cancel       = modelcalls.Cancel
	Claim        = modelcalls.Claim
	ReadClaim    = modelcalls.ReadClaim
	ReleaseClaim = modelcalls.ReleaseClaim
	ClaimReply   = modelcalls.ClaimReply
	ClaimOutcome = modelcalls.ClaimOutcome
	WatchConfig  = ownwatch.Config
	WatchList    = ownwatch.List
	SeekLease    = planner.SeekLease
	LeaseReply   = planner.LeaseReply
	ReleaseLease = planner.ReleaseLease
	ReadIntents  = planner.ReadIntents
	WriteIntents = planner.WriteIntents
	IntentsReply = planner.IntentsReply
	Intents      = planner.Intents
	Intent       = planner.Intent
	ReadState    = planner.ReadState
	StateReply   = planner.StateReply
	SendOrder    = planner.SendOrder
	OrderReply   = planner.OrderReply
	OrderOutcome = planner.OrderOutcome
)

// The events and actions of the process.
type (
	// Tick says that the time asked for by NextWake has come.
	Tick struct{}
	// Stop begins a planned stop; a second one ends it at once.
	Stop struct{}
	// Retune takes over changed tunables and seeds.
	Retune struct {
		Options option.Options
		Seeds   []string
	}
	Exit = shutdown.Exit
)

// IsEvent implements step.Event.
func (Tick) IsEvent() {}

// IsEvent implements step.Event.
func (Stop) IsEvent() {}

// IsEvent implements step.Event.
func (Retune) IsEvent() {}
