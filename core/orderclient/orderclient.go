// Package orderclient requests orders from the owners of engines.
//
// Any instance may need an order: to load an adapter for a waiting call, or to load a
// model as part of a placement. Only the engine's owner sends it. An order is requested
// once, however many calls wait for it, and after a refusal it is not requested again for
// a short time.
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

// refusalBackoff is how long an order that was refused is not requested again: an engine
// that was busy with another order is free by then.
const refusalBackoff = 300 * time.Millisecond

// A Key identifies a requested order.
type Key struct {
	Engine  string
	Request orders.Request
}

type (
	// SendRequest is the action that requests an order from the owner of an engine.
	SendRequest struct {
		Peer    string // name of the owner
		Address string // address of the owner
		Engine  string
		Request orders.Request
	}
	// Reply is the event that answers a SendRequest.
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

// A Client holds the pending requests for orders. The exported fields must be set before
// its use.
type Client struct {
	Self    member.Identity
	Out     *step.Output
	Members *member.Table
	Pool    *pool.Pool
	Owned   *owned.Engines
	// Owner returns the ownership of an engine, as far as it is known.
	Owner func(engine string) (registry.Ownership, bool)
	// Resume resumes the routing of a call that waited for an order.
	Resume func(now clock.Instant, id calls.ID)

	pending   map[Key][]calls.ID // waiting calls, by the order that they wait for
	refusedAt map[Key]clock.Instant
}

// New returns a client without pending requests.
func New() *Client {
	return &Client{pending: map[Key][]calls.ID{}, refusedAt: map[Key]clock.Instant{}}
}

// CanRequest reports whether an order can be requested now.
func (c *Client) CanRequest(now clock.Instant, key Key) bool {
	if at, ok := c.refusedAt[key]; ok {
		if now.Since(at) < refusalBackoff {
			return false
		}
		delete(c.refusedAt, key)
	}
	return c.OwnerReachable(now, key.Engine)
}

// OwnerReachable reports whether the owner of the engine is known and has answered
// lately.
func (c *Client) OwnerReachable(now clock.Instant, engine string) bool {
	if e := c.Owned.Get(engine); e != nil {
		return c.Owned.Orderable(now, e)
	}
	o, ok := c.Owner(engine)
	if !ok || o.Owner == "" || o.Owner == c.Self.Name {
		return false
	}
	p := c.Members.Get(o.Owner)
	return p != nil && !p.Leaving && !p.Failing()
}

// Pending reports whether an order was requested and has no outcome yet.
func (c *Client) Pending(key Key) bool {
	_, ok := c.pending[key]
	return ok
}

// Request requests an order.
func (c *Client) Request(now clock.Instant, key Key) {
	if c.Pending(key) {
		return
	}
	c.pending[key] = nil
	c.send(now, key)
}

// RequestForCall requests an order that a call waits for. The call is resumed when the
// outcome is known, whatever it is.
func (c *Client) RequestForCall(now clock.Instant, key Key, id calls.ID) {
	_, pending := c.pending[key]
	c.pending[key] = append(c.pending[key], id)
	if !pending {
		c.send(now, key)
	}
}

func (c *Client) send(now clock.Instant, key Key) {
	if e := c.Owned.Get(key.Engine); e != nil {
		c.Owned.Request(now, e, key.Request)
		return
	}
	o, _ := c.Owner(key.Engine) // an unknown owner is an unknown member, which is handled below
	p := c.Members.Get(o.Owner)
	if p == nil {
		c.HandleOutcome(now, key, owned.Failed, "its owner is not known")
		return
	}
	c.Out.Emit(SendRequest{Peer: p.Name, Address: p.Address, Engine: key.Engine, Request: key.Request})
}

// HandleReply handles an owner's reply.
func (c *Client) HandleReply(now clock.Instant, r Reply) {
	c.HandleOutcome(now, Key{r.Engine, r.Request}, r.Outcome, r.Detail)
}

// HandleOutcome handles the outcome of a requested order. The calls that wait for it are
// resumed: each goes to the engine or chooses another one.
func (c *Client) HandleOutcome(now clock.Instant, key Key, o owned.Outcome, detail string) {
	waiting, ok := c.pending[key]
	if !ok {
		return
	}
	delete(c.pending, key)
	if o == owned.Done && key.Request.Load {
		c.Pool.MarkReady(key.Engine, key.Request.Item())
	}
	if o == owned.Refused || o == owned.Failed {
		c.refusedAt[key] = now
	}
	for _, id := range waiting {
		c.Resume(now, id)
	}
}
