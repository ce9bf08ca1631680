// Package orders provides what the owner of an engine knows and books of it:
// which orders it may give, and what the engine holds after them.
//
// The idea: every order names the number of orders that the engine must have
// taken before (Expect). An order that is held up on its way can then only take
// effect on the very state for which it was worked out; once any other order was
// taken, it is void. So an order without an answer needs no intent written down
// before it: the next one settles it.
//
// Invariants: at most one order is without an answer; no order asks for more
// memory or adapter slots than the engine has free after every order that it may
// have taken; nothing is ordered while the engine's own count is not known.
package orders

import (
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/pool"
)

// A Request asks for one order.
type Request struct {
	Load    bool // else unload
	Model   string
	Adapter string // "" for the model itself
}

// Item returns the name of what the request is about.
func (r Request) Item() string { return pool.AdapterItem(r.Model, r.Adapter) }

// A Sizes function gives the memory of a model and of one of its adapters, in
// MB; ok is false for a model that is not configured.
type Sizes func(model string) (modelMB, adapterMB int64, ok bool)

// A Limits is what one engine has to give.
type Limits struct {
	MemoryMB     int64
	AdapterSlots int
}

// An Order is a request as it is sent to an engine.
type Order struct {
	Engine  string // its incarnation, which alone may carry the order out
	Address string // IP:port
	Request Request
	// Expect is how many orders the engine must have taken before. An engine
	// that has taken another number refuses this one, so an order whose answer
	// is lost cannot take effect after a later one.
	Expect uint64
	Fence  uint64
}

// An Answer is what came of an order.
type Answer int

// The answers. Their numbers stand in the log.
const (
	AnswerLost        Answer = iota + 1 // no answer: it may be carried out, now or later
	AnswerTaken                         // it is being carried out
	AnswerHolds                         // what it asks for is so already
	AnswerConflict                      // another is under way, or Expect differs
	AnswerFenced                        // the engine has seen a later fence
	AnswerInvalid                       // the engine knows no such order
	AnswerMisdirected                   // another engine has the address
	AnswerNotSent                       // it certainly never left
)

// A held is one item on the engine.
type held struct {
	model   string
	adapter string
	phase   pool.ItemPhase
	readyAt clock.Instant // when an adapter on its way is believed to be there
	usedAt  clock.Instant
	retired bool // told to be on its way out, and not ordered out yet
}

// A Verdict says what may be done with a request.
type Verdict int

// The verdicts.
const (
	Permitted Verdict = iota + 1 // it may be sent
	Holds                        // what it asks for is so already
	Coming                       // it is on its way already
	Later                        // an order is without an answer, or the engine is busy
	NoRoom                       // memory or slots are missing
	NoModel                      // the adapter's model is not there
	Unknown                      // the engine's state is not known yet
	Unsized                      // the model is not configured
	NotThere                     // what should be unloaded is not there
)

// An Engine is the owner's ledger of one engine.
type Engine struct {
	Name     string
	Address  string
	Fence    uint64
	From     clock.Instant // no order may be sent before
	limits   Limits
	sizes    Sizes
	known    bool
	sequence uint64
	items    map[string]held
	flying   *Request // sent and not answered
	doubtful bool     // an order's answer was lost since the state was last read
	changes  uint64   // rises with every change of what is held
}

// New returns the ledger of an engine whose state is not known yet.
func New(name, address string, fence uint64, from clock.Instant, limits Limits, sizes Sizes) *Engine {
	return &Engine{
		Name: name, Address: address, Fence: fence, From: from,
		limits: limits, sizes: sizes, items: map[string]held{},
	}
}

// Configure takes over what a newer configuration says.
func (e *Engine) Configure(limits Limits, sizes Sizes) {
	e.limits = limits
	e.sizes = sizes
}

// Known reports whether the engine's state is known well enough to order it.
func (e *Engine) Known() bool { return e.known && !e.doubtful }

// Doubtful reports whether the engine must be asked for its state.
func (e *Engine) Doubtful() bool { return e.doubtful || !e.known }

// Sequence returns the number of orders that the engine has taken.
func (e *Engine) Sequence() uint64 { return e.sequence }

// Changes rises with every change of what the engine holds.
func (e *Engine) Changes() uint64 { return e.changes }

// Flying reports whether an order is without an answer.
func (e *Engine) Flying() bool { return e.flying != nil }

// Busy reports whether a model is on its way in or out.
func (e *Engine) Busy() bool {
	for _, h := range e.items {
		if h.adapter == "" && h.phase != pool.Ready {
			return true
		}
	}
	return false
}

// Underway returns the model on its way in or out, and whether it comes in.
func (e *Engine) Underway() (model string, loading bool) {
	for _, h := range e.items {
		if h.adapter == "" && h.phase != pool.Ready && !h.retired {
			return h.model, h.phase == pool.Loading
		}
	}
	return "", false
}

// Ordered reports whether an order on a model was taken and is not done.
func (e *Engine) Ordered() bool {
	model, _ := e.Underway()
	return model != "" && e.flying == nil
}

// busyBut reports whether a model other than item is on its way in or out.
func (e *Engine) busyBut(item string) bool {
	for name, h := range e.items {
		if h.adapter == "" && h.phase != pool.Ready && name != item {
			return true
		}
	}
	return false
}

// Retire has a model that is there count as on its way out, so that no more
// calls are sent to it, before it is ordered out. Unretire takes that back.
func (e *Engine) Retire(model string) {
	if h, ok := e.items[model]; ok && h.phase == pool.Ready {
		h.phase = pool.Unloading
		h.retired = true
		e.put(model, h)
	}
}

// Unretire takes a Retire back that no order has followed.
func (e *Engine) Unretire(model string) {
	if h, ok := e.items[model]; ok && h.retired {
		h.phase = pool.Ready
		h.retired = false
		e.put(model, h)
	}
}

// Judge says what may be done with a request now.
func (e *Engine) Judge(r Request) Verdict {
	if !e.Known() {
		return Unknown
	}
	h, here := e.items[r.Item()]
	if !r.Load {
		return e.judgeUnload(r, h, here)
	}
	switch {
	case here && h.phase == pool.Ready:
		return Holds
	case here && h.phase == pool.Loading:
		return Coming
	case here, e.flying != nil:
		return Later
	}
	modelMB, adapterMB, ok := e.sizes(r.Model)
	if !ok {
		return Unsized
	}
	if r.Adapter == "" {
		return e.judgeModel(modelMB)
	}
	return e.judgeAdapter(r, adapterMB)
}

func (e *Engine) judgeUnload(r Request, h held, here bool) Verdict {
	switch {
	case !here:
		return NotThere
	case h.phase == pool.Unloading && !h.retired:
		return Coming
	case e.flying != nil || e.busyBut(r.Item()) || h.phase == pool.Loading:
		return Later
	default:
		return Permitted
	}
}

func (e *Engine) judgeModel(mb int64) Verdict {
	if e.Busy() {
		return Later
	}
	if mb > e.Free() {
		return NoRoom
	}
	return Permitted
}

// maxComing is how many adapters may be on their way to one engine.
const maxComing = 4

func (e *Engine) judgeAdapter(r Request, mb int64) Verdict {
	model, here := e.items[r.Model]
	if !here || model.phase != pool.Ready {
		return NoModel
	}
	if e.coming() >= maxComing {
		return Later
	}
	if mb > e.Free() || e.slots() >= e.limits.AdapterSlots {
		return NoRoom
	}
	return Permitted
}

func (e *Engine) coming() int {
	n := 0
	for _, h := range e.items {
		if h.adapter != "" && h.phase == pool.Loading {
			n++
		}
	}
	return n
}

// slots returns the adapter slots in use; one whose unload has no proof yet
// still takes its slot.
func (e *Engine) slots() int {
	n := 0
	for _, h := range e.items {
		if h.adapter != "" {
			n++
		}
	}
	return n
}

// Free returns the memory that nothing holds, in MB.
func (e *Engine) Free() int64 {
	free := e.limits.MemoryMB
	for _, h := range e.items {
		modelMB, adapterMB, ok := e.sizes(h.model)
		switch {
		case !ok:
			return 0 // it holds what nobody can size
		case h.adapter == "":
			free -= modelMB
		default:
			free -= adapterMB
		}
	}
	return free
}

// Send books a request that Judge allowed; Expect of the order is Sequence.
func (e *Engine) Send(r Request) {
	e.flying = &r
	h := held{model: r.Model, adapter: r.Adapter, phase: pool.Loading}
	if !r.Load {
		h = e.items[r.Item()]
		h.phase = pool.Unloading
		h.retired = false
	}
	e.put(r.Item(), h)
}

func (e *Engine) put(item string, h held) {
	e.items[item] = h
	e.changes++
}

func (e *Engine) drop(item string) {
	delete(e.items, item)
	e.changes++
}

// Taken notes that the engine carries the order in flight out. adapterTime is
// how long an adapter is believed to be on its way.
func (e *Engine) Taken(now clock.Instant, adapterTime time.Duration) {
	r := e.flying
	if r == nil {
		return
	}
	e.flying = nil
	e.sequence++
	if r.Adapter == "" {
		return
	}
	h := e.items[r.Item()]
	if r.Load {
		h.readyAt = now.Add(adapterTime)
		h.usedAt = now
	} else {
		h.readyAt = now.Add(unloadTime)
	}
	e.put(r.Item(), h)
}

// unloadTime is how long an adapter that calls still use is given before the
// engine is asked whether it is gone; it does not announce that.
const unloadTime = time.Second

// Holds notes that what the order in flight asked for is so already, or at
// once. An adapter that no request uses is unloaded at once, which counts as an
// order that was taken.
func (e *Engine) Holds() {
	r := e.flying
	if r == nil {
		return
	}
	e.flying = nil
	if !r.Load {
		e.drop(r.Item())
		e.sequence++
		return
	}
	h := e.items[r.Item()]
	h.phase = pool.Ready
	e.put(r.Item(), h)
}

// Failed notes that the order in flight was not carried out and never will be:
// it never left, or the engine said so.
func (e *Engine) Failed() {
	r := e.flying
	if r == nil {
		return
	}
	e.flying = nil
	h := e.items[r.Item()]
	if r.Load {
		e.drop(r.Item())
		return
	}
	h.phase = pool.Ready
	e.put(r.Item(), h)
}

// Lost notes that the answer of the order in flight is lost. What it would do
// stays booked until the engine is asked.
func (e *Engine) Lost() {
	e.flying = nil
	e.doubtful = true
}

// Contradicted notes that the engine has taken another number of orders than
// was believed; it must be asked.
func (e *Engine) Contradicted() {
	e.Failed()
	e.doubtful = true
}

// A State is what an engine says of itself.
type State struct {
	Sequence uint64
	Busy     bool // an order on a model is under way
	Models   []pool.AnnouncedModel
	Coming   []string // adapters on their way, as items
}

// Observe takes in what the engine said when it was asked. One that is older
// than an order which was answered says nothing.
func (e *Engine) Observe(now clock.Instant, s State) {
	if e.flying != nil || s.Sequence < e.sequence {
		return
	}
	e.replace(now, s)
	e.known = true
	e.sequence = s.Sequence
	// A model that another owner's order brings takes memory, and the engine
	// does not say which it is: nothing may be ordered until it is done.
	model, _ := e.Underway()
	e.doubtful = s.Busy && model == ""
}

// Announced takes in the models that the engine says, unasked, to hold. It does
// so when an order on a model is done; of adapters it says nothing in time.
func (e *Engine) Announced(models []pool.AnnouncedModel) {
	if !e.known {
		return
	}
	here := make(map[string]bool, len(models))
	for _, m := range models {
		here[m.Name] = true
		if _, held := e.items[m.Name]; !held {
			e.doubtful = true // an order that was given up took effect late
		}
	}
	for _, item := range e.sorted() {
		h := e.items[item]
		if h.adapter != "" {
			continue
		}
		switch {
		case h.phase == pool.Loading && here[item]:
			h.phase = pool.Ready
			e.put(item, h)
		case h.phase == pool.Unloading && !here[item]:
			e.dropModel(item)
		}
	}
}

// replace takes the state as the whole truth, but for a model whose order is
// under way: the engine does not say which one that is.
func (e *Engine) replace(now clock.Instant, s State) {
	next := make(map[string]held, len(e.items))
	for _, m := range s.Models {
		next[m.Name] = e.ready(now, m.Name, "")
		for _, a := range m.Adapters {
			next[pool.AdapterItem(m.Name, a)] = e.ready(now, m.Name, a)
		}
	}
	for _, item := range s.Coming {
		if old, ok := e.items[item]; ok && next[item].model == "" {
			old.phase = pool.Loading
			next[item] = old
		}
	}
	for item, old := range e.items {
		if !s.Busy || old.adapter != "" || old.phase == pool.Ready {
			continue
		}
		next[item] = old
	}
	e.items = next
	e.changes++
}

func (e *Engine) ready(now clock.Instant, model, adapter string) held {
	h := e.items[pool.AdapterItem(model, adapter)]
	if h.model == "" {
		h.usedAt = now
	}
	h.model = model
	h.adapter = adapter
	h.phase = pool.Ready
	return h
}

// dropModel drops a model and its adapters.
func (e *Engine) dropModel(model string) {
	for item, h := range e.items {
		if h.model == model {
			e.drop(item)
		}
	}
}

// Settle has adapters whose time on the way is over count as ready, and reports
// whether any does so now.
func (e *Engine) Settle(now clock.Instant) bool {
	changed := false
	for item, h := range e.items {
		if h.adapter == "" || h.readyAt.IsZero() || now.Before(h.readyAt) {
			continue
		}
		switch h.phase {
		case pool.Loading:
			h.phase = pool.Ready
			e.put(item, h)
			changed = true
		case pool.Unloading:
			e.doubtful = true
		}
	}
	return changed
}

// Used notes that a call used an item.
func (e *Engine) Used(now clock.Instant, item string) {
	if h, ok := e.items[item]; ok {
		h.usedAt = now
		e.items[item] = h
	}
}

// IdleAdapter returns the ready adapter that was used least lately, if it has
// been idle for as long as idle.
func (e *Engine) IdleAdapter(now clock.Instant, idle time.Duration) (Request, bool) {
	var best string
	for _, item := range e.sorted() {
		h := e.items[item]
		if h.adapter == "" || h.phase != pool.Ready || now.Since(h.usedAt) < idle {
			continue
		}
		if best == "" || h.usedAt.Before(e.items[best].usedAt) {
			best = item
		}
	}
	if best == "" {
		return Request{}, false
	}
	h := e.items[best]
	return Request{Model: h.model, Adapter: h.adapter}, true
}

func (e *Engine) sorted() []string {
	names := make([]string, 0, len(e.items))
	for item := range e.items {
		names = append(names, item)
	}
	sort.Strings(names)
	return names
}

// Phase returns where an item stands, 0 if it is not there.
func (e *Engine) Phase(item string) pool.ItemPhase { return e.items[item].phase }

// Items returns what the engine holds, by name.
func (e *Engine) Items() []pool.Item {
	items := make([]pool.Item, 0, len(e.items))
	for _, name := range e.sorted() {
		items = append(items, pool.Item{Name: name, Phase: e.items[name].phase})
	}
	return items
}
