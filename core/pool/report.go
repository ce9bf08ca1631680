package pool

// An ItemPhase is the phase of a model or adapter on an engine.
type ItemPhase uint8

// The phases of an item. It occupies memory in all of them.
const (
	Loading ItemPhase = iota + 1
	Ready
	Unloading
)

// String returns the phase as used on the wire and in logs.
func (p ItemPhase) String() string {
	switch p {
	case Loading:
		return "loading"
	case Ready:
		return "ready"
	case Unloading:
		return "unloading"
	default:
		return "absent"
	}
}

// An Item is one model or adapter in an engine's memory.
type Item struct {
	Name  string
	Phase ItemPhase
}

// A Residency is an engine's report of its items. Boot and Change order the residencies of one
// engine: Boot rises with every start, Change with every change since then.
type Residency struct {
	Boot    uint64
	Change  uint64
	Leaving bool
	Born    string // of the engine's incarnation; "" if unknown or implied by Boot
	Items   []Item
}

// Newer reports whether r is later than other.
func (r Residency) Newer(other Residency) bool {
	if r.Boot != other.Boot {
		return r.Boot > other.Boot
	}
	return r.Change > other.Change
}

// A Load is an engine's report of its load. Seq orders the loads of one Boot.
type Load struct {
	Boot    uint64
	Seq     uint64
	Running int // running sequences
	Waiting int // sequences queued in the engine
}

// Newer reports whether l is later than other.
func (l Load) Newer(other Load) bool {
	if l.Boot != other.Boot {
		return l.Boot > other.Boot
	}
	return l.Seq > other.Seq
}

// A State is an engine's full report of itself.
type State struct {
	Residency Residency
	Load      Load
	Fence     uint64 // highest fencing token that the engine has seen
	LastOrder uint64 // last order executed under Fence
}
