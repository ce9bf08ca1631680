package streams

import (
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/member"
)

// Questions about streams that an instance does not know.

// An Answer says what began a stream.
type Answer struct {
	Known  bool
	Origin Origin
	// Ambiguous means that streams of different versions have the same ID.
	Ambiguous bool
	// Sole means that the answering instance does not know the stream, but that only one version
	// of the service can have begun it, which Origin names.
	Sole bool
}

// settles reports whether no other answer is needed.
func (a Answer) settles() bool { return a.Known || a.Ambiguous }

// A Query asks for one stream of a service.
type Query struct {
	ID      ID
	Service string
}

// A Request tells a peer of streams that began at the sender, or asks for one.
type Request struct {
	Began []Group
	Query Query // ID 0: it asks for none
}

type (
	// SendRequest is the action that sends a request to a peer. A Reply with the same Token
	// answers it.
	SendRequest struct {
		Token   uint64
		Peer    string
		Address string // IP:port of its listener for peers
		Request Request
	}
	// Reply is the event that answers a SendRequest.
	Reply struct {
		Token  uint64
		Peer   string
		Answer Answer
		Err    error
	}
	// RequestReceived is the event that a peer sent a request. It is answered by a SendReply with
	// the same Token.
	RequestReceived struct {
		Token   uint64
		Request Request
	}
	// SendReply is the action that answers a RequestReceived.
	SendReply struct {
		Token  uint64
		Answer Answer
	}
	// TakenUp is an action that counts a stream that its caller takes up, by from where it is
	// known which version began it. It needs nothing to be done.
	TakenUp struct {
		Service string
		Known   string
	}
)

// IsAction implements step.Action.
func (TakenUp) IsAction() {}

// IsAction implements step.Action.
func (SendRequest) IsAction() {}

// IsAction implements step.Action.
func (SendReply) IsAction() {}

// IsEvent implements step.Event.
func (Reply) IsEvent() {}

// IsEvent implements step.Event.
func (RequestReceived) IsEvent() {}

// A lookup is a question for one stream, on behalf of a call, that not all asked peers have
// answered yet.
type lookup struct {
	call    calls.ID
	query   Query
	pending int
	sole    Answer // from a peer that knows the only version, if Sole
	done    bool
}

// Find returns what this instance itself knows of a stream of a service.
func (t *Tracker) Find(now clock.Instant, q Query) Answer {
	if r := t.records[q.ID]; r != nil && now.Since(r.at) < Lifetime {
		return Answer{Known: !r.ambiguous, Origin: r.origin, Ambiguous: r.ambiguous}
	}
	if software, ok := t.Sole(now, q.Service); ok {
		return Answer{Sole: true, Origin: Origin{Service: q.Service, Software: software}}
	}
	return Answer{}
}

// Ask asks the keepers of a stream, and reports whether there are any. The result is passed to
// Found: the first that settles the question, or else the last.
func (t *Tracker) Ask(now clock.Instant, call calls.ID, q Query) bool {
	peers := t.view().asked(q.ID)
	if len(peers) == 0 || t.Options.Disable.StreamLookup {
		return false
	}
	l := &lookup{call: call, query: q, pending: len(peers)}
	for _, p := range peers {
		t.lookups[t.send(p, Request{Query: q})] = l
	}
	return true
}

// send sends a request to a peer and returns its token.
func (t *Tracker) send(p *member.Peer, r Request) uint64 {
	t.last++
	t.Out.Emit(SendRequest{Token: t.last, Peer: p.Name, Address: p.Address, Request: r})
	return t.last
}

// HandleRequest handles a request of a peer.
func (t *Tracker) HandleRequest(now clock.Instant, e RequestReceived) {
	for _, g := range e.Request.Began {
		for _, id := range g.IDs {
			if id != 0 {
				r := t.add(now, id, g.Origin)
				r.ambiguous = r.ambiguous || g.Ambiguous
			}
		}
	}
	answer := Answer{}
	if e.Request.Query.ID != 0 {
		answer = t.Find(now, e.Request.Query)
	}
	t.Out.Emit(SendReply{Token: e.Token, Answer: answer})
}

// HandleReply handles the answer to a request.
func (t *Tracker) HandleReply(now clock.Instant, e Reply) {
	if e.Err != nil {
		t.Out.Log(logevent.StreamPeerFailed, "peer", e.Peer, "error", e.Err.Error())
	}
	l := t.lookups[e.Token]
	delete(t.lookups, e.Token)
	if l == nil || l.done {
		return
	}
	l.pending--
	if e.Answer.Sole {
		l.sole = e.Answer
	}
	switch {
	case e.Answer.settles():
		l.done = true
		if e.Answer.Known {
			t.add(now, l.query.ID, e.Answer.Origin)
		}
		t.Found(now, l.call, e.Answer)
	case l.pending == 0:
		l.done = true
		t.Found(now, l.call, l.sole)
	}
}
