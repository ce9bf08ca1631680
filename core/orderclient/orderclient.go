// Package orderclient asks the owners of engines for orders.
//
// Any instance may need an order: for an adapter that a call waits for, or for a
// model that it places. Only the engine's owner gives it. An order is asked for
// once, however many calls wait for it, and one that was refused is not asked for
// again for a moment.
package orderclient

import (
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/step"
)

// refusalBackoff is how long an order that was refused is not asked for again: an
// engine that was busy with another order is free by then.
const refusalBackoff = 300 * time.Millisecond

// A Key names an order asked for.
type Key struct {
	Engine  string
	Request orders.Request
}

type (
	// SendRequest is an action: ask the owner of an engine for an order.
	SendRequest struct {
		Peer    string // the owner
		Address string // of the owner
		Engine  string
		Request orders.Request
	}
	// Reply is the event that answers an Ask.
	Reply struct {
		Engine  string
		Request orders.Request
		Outcome owned.Outcome
		Detail  string
	}
)

// IsAction implements step.Action.
func (SendRequest) IsAction() {}

// IsEvent implements step.Event.
func (Reply) IsEvent() {}

// Client are the orders asked for and not settled. The fields must be set before
// its use.
type Client struct {
	Self    member.Identity
	Out     *step.Output
	Members *member.Table
	Pool    *pool.Pool
	Owned   *owned.Engines
	// Owner returns who owns an engine, as far as is known.
	Owner func(engine string) (registry.Ownership, bool)
	// Resume has a call that waited for an order look for its replica again.
	Resume func(now clock.Instant, id calls.ID)

	pending   map[Key][]calls.ID // calls that wait, by the order asked for
	refusedAt map[Key]clock.Instant
}

// New returns asks of which none is under way.
func New() *Client {
	return &Client{pending: map[Key][]calls.ID{}, refusedAt: map[Key]clock.Instant{}}
}

// CanRequest reports whether an order can be asked for now.
func (a *Client) CanRequest(now clock.Instant, key Key) bool {
	if at, ok := a.refusedAt[key]; ok {
		if now.Since(at) < refusalBackoff {
			return false
		}
		delete(a.refusedAt, key)
	}
	return a.OwnerReachable(now, key.Engine)
}

// OwnerReachable reports whether somebody is known who orders the engine, and
// answered lately.
func (a *Client) OwnerReachable(now clock.Instant, engine string) bool {
	if e := a.Owned.Get(engine); e != nil {
		return a.Owned.Orderable(now, e)
	}
	o, ok := a.Owner(engine)
	if !ok || o.Owner == "" || o.Owner == a.Self.Name {
		return false
	}
	p := a.Members.Get(o.Owner)
	return p != nil && !p.Leaving && !p.Failing()
}

// Pending reports whether an order was asked for and is not settled.
func (a *Client) Pending(key Key) bool {
	_, ok := a.pending[key]
	return ok
}

// Request asks for an order.
func (a *Client) Request(now clock.Instant, key Key) {
	if a.Pending(key) {
		return
	}
	a.pending[key] = nil
	a.send(now, key)
}

// RequestForCall asks for an order that a call waits for; the call is resumed once the
// order is settled, whatever came of it.
func (a *Client) RequestForCall(now clock.Instant, key Key, id calls.ID) {
	_, underWay := a.pending[key]
	a.pending[key] = append(a.pending[key], id)
	if !underWay {
		a.send(now, key)
	}
}

func (a *Client) send(now clock.Instant, key Key) {
	if e := a.Owned.Get(key.Engine); e != nil {
		a.Owned.Request(now, e, key.Request)
		return
	}
	o, _ := a.Owner(key.Engine) // none is found below, as an unknown member
	p := a.Members.Get(o.Owner)
	if p == nil {
		a.HandleOutcome(now, key, owned.Failed, "its owner is not known")
		return
	}
	a.Out.Emit(SendRequest{Peer: p.Name, Address: p.Address, Engine: key.Engine, Request: key.Request})
}

// HandleReply takes in what an owner answered.
func (a *Client) HandleReply(now clock.Instant, r Reply) {
	a.HandleOutcome(now, Key{r.Engine, r.Request}, r.Outcome, r.Detail)
}

// HandleOutcome takes in what came of an order asked for: the calls that wait for it go
// to the engine, or look for another.
func (a *Client) HandleOutcome(now clock.Instant, key Key, o owned.Outcome, detail string) {
	waiting, ok := a.pending[key]
	if !ok {
		return
	}
	delete(a.pending, key)
	if o == owned.Done && key.Request.Load {
		a.Pool.MarkReady(key.Engine, key.Request.Item())
	}
	if o == owned.Refused || o == owned.Failed {
		a.refusedAt[key] = now
	}
	for _, id := range waiting {
		a.Resume(now, id)
	}
}
