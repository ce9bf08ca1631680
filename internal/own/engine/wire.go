package engine

// Paths of an engine's API.
const (
	PathGenerate = "/engine/generate"
	PathResume   = "/engine/resume"
	PathCancel   = "/engine/cancel"
	PathState    = "/engine/state"
	PathOrders   = "/engine/orders"
)

// A GenerateRequest starts an attempt to generate the answer to a prompt.
type GenerateRequest struct {
	ID        string `json:"id"` // ID of the attempt, unique among all instances
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
}

// A ResumeRequest requests the rest of an attempt's stream.
type ResumeRequest struct {
	ID     string `json:"id"`     // ID of the attempt
	Offset int    `json:"offset"` // number of pieces already received
}

// A CancelRequest cancels the sequence that an engine runs for an attempt.
type CancelRequest struct {
	ID string `json:"id"` // ID of the attempt
}

// A Piece is one line of a stream. The last piece has End set; a stream that stops
// without it was truncated.
type Piece struct {
	ID     string `json:"id"` // ID of the attempt
	Offset int    `json:"o"`  // position of this piece, from 0
	Text   string `json:"t,omitempty"`
	End    bool   `json:"end,omitempty"`
	Reason string `json:"reason,omitempty"` // why it ended: stop, length
}

// An OrderRequest sends an order to an engine.
type OrderRequest struct {
	Fence uint64 `json:"fence"` // fencing token of the sender's planner lease
	Seq   uint64 `json:"seq"`   // rises with every order under one fence
	Op    string `json:"op"`    // load, unload, or raise, which only raises the engine's fence
	Item  string `json:"item,omitempty"`
	Base  string `json:"base,omitempty"` // model of an adapter
	MiB   int64  `json:"mib,omitempty"`  // memory that the item needs
}

// Results of an order.
const (
	ResultDone    = "done"    // the engine carries it out
	ResultRefused = "refused" // the engine did not and will not carry it out
	ResultFenced  = "fenced"  // the engine has seen a later fence
)

// An OrderReply answers an order with the engine's state after it.
type OrderReply struct {
	Result string `json:"result"`
	Detail string `json:"detail,omitempty"`
	State  State  `json:"state"`
}

// A State is an engine's report of its own state.
type State struct {
	Boot      uint64 `json:"boot"`   // identifies the engine's start; rises with every start
	Change    uint64 `json:"change"` // rises with every change under one Boot
	Seq       uint64 `json:"seq"`    // of the load report
	Leaving   bool   `json:"leaving,omitempty"`
	Fence     uint64 `json:"fence"`      // highest fence seen
	LastOrder uint64 `json:"last_order"` // Seq of the last order accepted under Fence
	Running   int    `json:"running"`
	Waiting   int    `json:"waiting"`
	Items     []Item `json:"items"`
}

// An Item is one model or adapter in memory.
type Item struct {
	Name  string `json:"name"`
	Phase string `json:"phase"` // loading, ready, unloading
}
