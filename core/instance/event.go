package instance

import (
	"time"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/book"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/route"
	"github.com/birchdrift/birchdrift/core/share"
	"github.com/birchdrift/birchdrift/core/step"
)

// An Event is something that happened outside the machine.
type Event = step.Event

// A CallID names one call on one instance.
type CallID uint64

// A Call is what the machine needs to know of one caller's call.
type Call struct {
	ID             CallID
	Service        string
	Plain          bool   // under /services/, not a model call
	Path           string // of a plain call, below the service
	Key            string // the caller's key, "" if none was sent
	IdempotencyKey string
	NotRepeatable  bool // marked so by the call itself
	Replayable     bool // its body can be sent a second time
	PromptTokens   int
	MaxTokens      int
	Prefix         route.Prefix
	Forward        *Forwarded // of a forwarded call; nil for the own interface
}

// A Forwarded is what a forwarded call says of itself.
type Forwarded struct {
	Name       string // the caller's identity of the call, for logs
	Host       string
	Model      string // "" if the call names none
	Adapter    string
	Parts      []route.Part // shared parts of the prompt, in order
	LengthHint int
	Deadline   time.Duration // how long the caller will wait; 0 if it does not say
}

// The events of calls.
type (
	// Arrive begins a call.
	Arrive struct{ Call Call }
	// First says that the first piece of the answer came.
	First struct{ ID CallID }
	// Done says that the answer's explicit end was delivered.
	Done struct{ ID CallID }
	// Broke says that an attempt ended otherwise.
	Broke struct {
		ID        CallID
		Attempt   int
		Phase     attempt.Phase
		Delivered int  // pieces or bytes that reached the caller
		Resumable bool // the replica may still hold the sequence
		Stalled   bool // the replica fell silent
		Spent     bool // the call's body cannot be sent again
		Leaving   bool // the replica said that it is leaving
		Status    int  // the replica's HTTP status, 0 if none came
		// Misdirected says that the replica is not the expected one, or does
		// not hold the model.
		Misdirected bool
		// Incarnation is the name that the answering replica gave, if any.
		Incarnation string
		// Own says that the replica's own whole answer, a failure, is at hand
		// and can be passed on.
		Own    bool
		Detail string
	}
	// Gone says that the caller closed its connection.
	Gone struct{ ID CallID }
	// ClaimReply answers a Claim or a ReadClaim.
	ClaimReply struct {
		ID      CallID
		Outcome ClaimOutcome
	}
)

// A ClaimOutcome is what came of a claim.
type ClaimOutcome int

// The outcomes of a claim.
const (
	ClaimWon     ClaimOutcome = iota + 1 // this call holds the claim
	ClaimLost                            // another call holds it
	ClaimAbsent                          // reading back found none
	ClaimUnknown                         // the answer was lost
	ClaimNotSent                         // the request certainly never left
)

// The events of the platform.
type (
	// ConfigReply answers a WatchConfig, or carries what a peer sent.
	ConfigReply struct {
		Snapshot *config.Snapshot // nil if there is nothing newer
		Encoded  []byte           // of the snapshot, to pass on to peers
		Source   string           // "platform" or the peer's name
		Err      error
	}
	// ListReply answers a WatchList.
	ListReply struct {
		Entries []share.Listed
		Version uint64
		Whole   bool // Entries are all that the list has
		Err     error
	}
	// WatchReply ends a WatchPlatform, after the events for what it brought.
	WatchReply struct{ Err error }
	// RegistryReply brings news of the registry from the platform.
	RegistryReply struct {
		Records []registry.Record
		Version uint64 // of the store
		Whole   bool   // Records are all that there are
	}
	// EnrolReply answers an Enrol, KeepReply a KeepEnrolled. Over says that the
	// lease has gone.
	EnrolReply struct {
		Sent  clock.Instant
		Lease uint64
		Err   error
	}
	KeepReply struct {
		Sent  clock.Instant
		Lease uint64
		Over  bool
		Err   error
	}
	// WriteReply answers a WriteRegistry.
	WriteReply struct {
		Write    RegistryWrite
		Sent     clock.Instant
		Revision uint64
		Conflict bool
		Err      error
	}
	// LeaseReply answers a SeekLease.
	LeaseReply struct {
		Sent    clock.Instant // when the request was sent
		Granted bool
		Fence   uint64
		Holder  string // who holds it, if not granted
		Err     error
	}
	// IntentsReply answers a ReadIntents or a WriteIntents.
	IntentsReply struct {
		Read     bool // it answers a ReadIntents
		Intents  Intents
		Revision uint64 // of the key, for the next compare-and-swap
		Conflict bool
		Err      error
	}
)

// The events of engines that announce themselves.
type (
	// EngineOrderReply answers an EngineOrder.
	EngineOrderReply struct {
		Engine string
		Fence  uint64
		Answer EngineAnswer
		Detail string
	}
	// EngineStateReply answers an AskEngine.
	EngineStateReply struct {
		Engine string
		State  orders.State
		Err    error
	}
	// LoadReply answers an AskLoad.
	LoadReply struct {
		Call    CallID
		Engine  string
		Queued  int // calls without a first event there
		Running int // calls with one
		Err     error
	}
	// OrderAsked says that a peer asks for an order to an engine that this
	// instance owns; the machine answers with an OrderAnswered of the same
	// Token.
	OrderAsked struct {
		Token   uint64
		From    string
		Engine  string
		Request orders.Request
	}
	// AskOrderReply answers an AskOrder.
	AskOrderReply struct {
		Engine  string
		Request orders.Request
		Outcome AskOutcome
		Detail  string
	}
)

// An EngineAnswer is what came of an order to an engine.
type EngineAnswer int

// The answers to an order.
const (
	EngineLost     EngineAnswer = iota + 1 // no answer: it may be carried out, now or later
	EngineTakes                            // it is being carried out
	EngineHolds                            // what it asks for is so already
	EngineConflict                         // another is under way, or the count differs
	EngineFenced                           // it has seen a later fence
	EngineInvalid                          // it knows no such order
	EngineAstray                           // another engine has the address
	EngineNotSent                          // it certainly never left
)

// An AskOutcome is what came of asking an engine's owner for an order.
type AskOutcome int

// The outcomes of asking.
const (
	AskDone    AskOutcome = iota + 1 // the item is there, or gone, as asked
	AskStarted                       // the engine carries the order out
	AskRefused                       // the owner will not give it now
	AskFailed                        // the owner cannot be reached, or did not say
)

// A RegistryWrite says what a write of the registry is for.
type RegistryWrite struct {
	Claim  []registry.Ownership // each under the condition of its Revision
	Placer *registry.Placer
}

// The events of upstreams and peers.
type (
	// StateReply answers a ReadState.
	StateReply struct {
		Engine string
		State  pool.State
		Err    error
	}
	// OrderReply answers an Order.
	OrderReply struct {
		Engine  string
		Fence   uint64
		Seq     uint64
		Outcome OrderOutcome
		State   pool.State // valid with OrderDone and OrderRefused
		Detail  string
	}
	// ExchangeReply answers an Exchange.
	ExchangeReply struct {
		Peer    string
		Address string
		Message share.Message
		Err     error
	}
	// ExchangeAsked says that a peer began an exchange; the machine answers
	// with an Answer of the same Token.
	ExchangeAsked struct {
		Token   uint64
		Message share.Message
	}
)

// An OrderOutcome is what came of an order.
type OrderOutcome int

// The outcomes of an order.
const (
	OrderDone    OrderOutcome = iota + 1 // the engine carries it out
	OrderRefused                         // the engine will not carry it out
	OrderFenced                          // the engine has seen a later fence
	OrderNotSent                         // it certainly never left
	OrderLost                            // its answer is lost
)

// The events of the process.
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
)

// An Intent is one order written to the platform before it is sent, because
// its engine does not check who orders it.
type Intent struct {
	Engine string `json:"engine"`
	Op     uint8  `json:"op"`
	Item   string `json:"item"`
	MiB    int64  `json:"mib"`
	Seq    uint64 `json:"seq"`
	Fence  uint64 `json:"fence"`
}

// Intents is the platform's value that holds a zone's outstanding intents.
type Intents struct {
	Fence   uint64   `json:"fence"` // of the holder that wrote it
	Intents []Intent `json:"intents,omitempty"`
}

func (Arrive) IsEvent()           {}
func (First) IsEvent()            {}
func (Done) IsEvent()             {}
func (Broke) IsEvent()            {}
func (Gone) IsEvent()             {}
func (ClaimReply) IsEvent()       {}
func (ConfigReply) IsEvent()      {}
func (ListReply) IsEvent()        {}
func (WatchReply) IsEvent()       {}
func (LeaseReply) IsEvent()       {}
func (IntentsReply) IsEvent()     {}
func (StateReply) IsEvent()       {}
func (OrderReply) IsEvent()       {}
func (ExchangeReply) IsEvent()    {}
func (ExchangeAsked) IsEvent()    {}
func (RegistryReply) IsEvent()    {}
func (LoadReply) IsEvent()        {}
func (EnrolReply) IsEvent()       {}
func (KeepReply) IsEvent()        {}
func (WriteReply) IsEvent()       {}
func (EngineOrderReply) IsEvent() {}
func (EngineStateReply) IsEvent() {}
func (OrderAsked) IsEvent()       {}
func (AskOrderReply) IsEvent()    {}
func (Retune) IsEvent()           {}
func (Tick) IsEvent()             {}
func (Stop) IsEvent()             {}

// An Action is something that the machine asks its driver to do.
type Action = step.Action

// The actions of calls.
type (
	// Dispatch sends a call to a replica, or resumes it there.
	Dispatch struct {
		ID       CallID
		Attempt  int
		Replica  string
		Address  string
		Zone     string
		Plain    bool
		Model    string
		Adapter  string
		Priority int
		// Repeatable says that the transport may use a connection on which
		// it could be led to repeat the call.
		Repeatable bool
		Resume     bool
		After      time.Duration // wait before sending
		Stall      time.Duration // silence that counts as broken
		Reason     string        // why this replica, for the trace
		Forward    *ForwardAttempt
	}
	// Relay passes on the replica's own failing answer, which the last Broke
	// said to be at hand.
	Relay struct{ ID CallID }
	// Finish gives a call its final answer without an upstream's.
	Finish struct {
		ID      CallID
		Refusal code.Refusal
	}
	// Cancel tells a replica to drop a call's sequence.
	Cancel struct {
		ID      CallID
		Attempt int
		Replica string
		Address string
	}
	// Claim claims an idempotency key.
	Claim struct {
		ID   CallID
		Key  string
		Life time.Duration
	}
	// ReadClaim reads back a claim whose answer was lost.
	ReadClaim struct {
		ID  CallID
		Key string
	}
	// ReleaseClaim gives up a claim whose call certainly did not run.
	ReleaseClaim struct {
		ID  CallID
		Key string
	}
)

// A ForwardAttempt is what a Dispatch of a forwarded call adds.
type ForwardAttempt struct {
	Left     time.Duration // of the caller's deadline; 0 if there is none
	Priority int           // -1 if the replica is not to be told
	Stream   bool          // the answer is a series of events
	// Resumable says that a broken series may go on at another replica, so
	// that only whole events may be passed on.
	Resumable bool
}

// The actions towards the platform.
type (
	// WatchConfig asks for a configuration newer than Have.
	WatchConfig struct {
		Have uint64
		Wait time.Duration
	}
	// WatchList asks for what changed in the instance list since Since.
	WatchList struct {
		Since uint64
		Wait  time.Duration
	}
	// WatchPlatform asks for whatever changed at a platform whose store is
	// watched as one.
	WatchPlatform struct{ Wait time.Duration }
	// SeekLease asks for, or renews, the planner's lease.
	SeekLease struct {
		Term  time.Duration
		Renew uint64 // fence of the grant to renew, 0 to ask anew
	}
	// ReleaseLease gives the planner's lease back.
	ReleaseLease struct{ Fence uint64 }
	// ReadIntents reads the zone's outstanding intents.
	ReadIntents struct{}
	// WriteIntents replaces them if they are still at Revision.
	WriteIntents struct {
		Intents  Intents
		Revision uint64
	}
)

// The actions towards the registry and engines that announce themselves.
type (
	// Enrol begins a lease and writes this instance's record under it.
	Enrol struct {
		Term     time.Duration
		Instance registry.Instance
	}
	// KeepEnrolled renews the lease.
	KeepEnrolled struct{ Lease uint64 }
	// Resign ends the lease after writing the ownerships that are given back.
	Resign struct {
		Lease uint64
		Give  []registry.Ownership
	}
	// WriteRegistry writes ownerships, or the placer's record under Lease.
	WriteRegistry struct {
		Write RegistryWrite
		Lease uint64
	}
	// EngineOrder gives an order to an engine that this instance owns.
	EngineOrder struct {
		Engine  string
		Address string
		Request orders.Request
		Expect  uint64
		Fence   uint64
	}
	// AskEngine asks an engine for its state.
	AskEngine struct {
		Engine  string
		Address string
	}
	// AskLoad asks an engine how busy it is, for a call that may go there. It is
	// answered after Wait at the latest.
	AskLoad struct {
		Call    CallID
		Engine  string
		Address string
		Wait    time.Duration
	}
	// AskOrder asks the owner of an engine for an order.
	AskOrder struct {
		Peer    string
		Address string // of the peer
		Engine  string
		Request orders.Request
	}
	// OrderAnswered answers an OrderAsked.
	OrderAnswered struct {
		Token   uint64
		Outcome AskOutcome
		Detail  string
	}
)

// The actions towards upstreams and peers.
type (
	// ReadState asks an engine for its state.
	ReadState struct {
		Engine  string
		Address string
	}
	// SendOrder gives an engine an order.
	SendOrder struct {
		Address string
		Order   book.Order
	}
	// Exchange begins an exchange with a peer.
	Exchange struct {
		Peer    string // "" when only the address is known
		Address string
		Message share.Message
	}
	// Answer ends an exchange that a peer began.
	Answer struct {
		Token   uint64
		Message share.Message
	}
)

// The actions of the process.
type (
	// Install says that a revision is in force from now on.
	Install struct {
		Snapshot *config.Snapshot
		Source   string
	}
	// Log is a numbered log event.
	Log = step.Log
	// Exit says that a stop is complete; Cut counts the calls it cut off.
	Exit struct{ Cut int }
)

func (Dispatch) IsAction()      {}
func (Finish) IsAction()        {}
func (Relay) IsAction()         {}
func (Cancel) IsAction()        {}
func (Claim) IsAction()         {}
func (ReadClaim) IsAction()     {}
func (ReleaseClaim) IsAction()  {}
func (WatchConfig) IsAction()   {}
func (WatchList) IsAction()     {}
func (WatchPlatform) IsAction() {}
func (SeekLease) IsAction()     {}
func (ReleaseLease) IsAction()  {}
func (ReadIntents) IsAction()   {}
func (WriteIntents) IsAction()  {}
func (ReadState) IsAction()     {}
func (SendOrder) IsAction()     {}
func (Exchange) IsAction()      {}
func (Answer) IsAction()        {}
func (Install) IsAction()       {}
func (Enrol) IsAction()         {}
func (KeepEnrolled) IsAction()  {}
func (Resign) IsAction()        {}
func (WriteRegistry) IsAction() {}
func (EngineOrder) IsAction()   {}
func (AskEngine) IsAction()     {}
func (AskLoad) IsAction()       {}
func (AskOrder) IsAction()      {}
func (OrderAnswered) IsAction() {}
func (Exit) IsAction()          {}
