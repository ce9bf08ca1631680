package shell

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/exchange"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/instance"
	"github.com/birchdrift/birchdrift/core/links"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/orderclient"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/permits"
	"github.com/birchdrift/birchdrift/core/quarantine"
	"github.com/birchdrift/birchdrift/core/relay"
	"github.com/birchdrift/birchdrift/core/retrybudget"
	"github.com/birchdrift/birchdrift/core/shutdown"
	"github.com/birchdrift/birchdrift/core/step"
	"github.com/birchdrift/birchdrift/core/streams"
	"github.com/birchdrift/birchdrift/internal/peer"
	"github.com/birchdrift/birchdrift/internal/upstream"
)

// Timeouts of single exchanges with peers.
const (
	exchangeTimeout = 800 * time.Millisecond
	pullTimeout     = 3 * time.Second // timeout of an exchange that fetches a configuration
)

// carryOut carries out an action of the machine. Work that may block on other processes
// runs in its own goroutine and posts its reply.
func (s *Shell) carryOut(a step.Action) {
	s.metrics.CountAction(a)
	switch act := a.(type) {
	case calls.Dispatch:
		s.deliver(act.ID, act)
	case calls.Finish:
		s.deliver(act.ID, act)
		s.interrupt(act.ID, 0)
		delete(s.calls, act.ID)
	case calls.Interrupt:
		s.interrupt(act.ID, act.Silence)
	case calls.PassOnErrorResponse:
		s.deliver(act.ID, act)
		delete(s.calls, act.ID)
	case exchange.SendRequest:
		s.startWorker(func(ctx context.Context) { s.exchange(ctx, act) })
	case exchange.SendReply:
		if reply, ok := s.exchangeReplies[act.Token]; ok {
			reply <- act.Message
			delete(s.exchangeReplies, act.Token)
		}
	case quarantine.Check:
		s.startWorker(func(ctx context.Context) { s.checkReplica(ctx, act) })
	case orderclient.SendRequest:
		s.startWorker(func(ctx context.Context) { s.requestOrder(ctx, act) })
	case permits.SendRequest:
		s.startWorker(func(ctx context.Context) { s.requestPermit(ctx, act) })
	case links.Probe:
		s.startWorker(func(ctx context.Context) { s.probeLink(ctx, act) })
	case relay.Decided:
		if reply, ok := s.relayReplies[act.Token]; ok {
			reply <- act
			delete(s.relayReplies, act.Token)
		}
	case streams.SendRequest:
		s.startWorker(func(ctx context.Context) { s.requestStreams(ctx, act) })
	case streams.SendReply:
		if reply, ok := s.streamReplies[act.Token]; ok {
			reply <- act.Answer
			delete(s.streamReplies, act.Token)
		}
	case permits.SendReply:
		if reply, ok := s.permitReplies[act.Token]; ok {
			reply <- act.Verdict
			delete(s.permitReplies, act.Token)
		}
	case owned.SendReply:
		if reply, ok := s.orderReplies[act.Token]; ok {
			reply <- peer.OrderReply{Outcome: act.Outcome, Detail: act.Detail}
			delete(s.orderReplies, act.Token)
		}
	case instance.ConfigInstalled:
		s.published.installed = act.Snapshot
	case step.Log:
		s.event(act.Event, act.Fields...)
	case retrybudget.Charged, retrybudget.Denied, links.Changed, streams.TakenUp: // counted in the metrics only
	case shutdown.Exit:
		s.exited <- act
	default:
		if work := s.environment.CarryOut(a); work != nil {
			s.startWorker(work)
		}
	}
}

func (s *Shell) startWorker(f func(ctx context.Context)) {
	s.workers.Go(func() { f(s.ctx) })
}

func (s *Shell) deliver(id calls.ID, a step.Action) {
	mailbox, ok := s.calls[id]
	if !ok {
		return // the call's handler has returned
	}
	select {
	case mailbox.actions <- a:
	default:
		s.log.Error(nil, "bug", "event", int(logevent.Bug), "detail", "a call's mailbox is full", "call", uint64(id))
	}
}

// interrupt cancels the attempt that the call may have in flight, unless something arrived from
// the replica within the last silence.
func (s *Shell) interrupt(id calls.ID, silence time.Duration) {
	if mailbox, ok := s.calls[id]; ok {
		if cancel := mailbox.interrupt.Load(); cancel != nil {
			(*cancel)(silence)
		}
	}
}

// postConfig decodes and indexes a configuration and posts it. It must not run on the
// machine's goroutine, which it would block.
func (s *Shell) postConfig(data []byte, source string) {
	snapshot, err := s.loadConfig(data)
	if err != nil {
		s.event(logevent.ConfigFailed, "source", source, "error", err.Error())
		s.post(instance.ConfigReply{Source: source})
		return
	}
	s.post(instance.ConfigReply{Snapshot: snapshot, Encoded: data, Source: source})
	// Decoding a large configuration leaves garbage of several times its size, which
	// a small idle instance would keep for minutes. Changes are rare, so a forced
	// collection for each costs little.
	if len(data) > largeConfig {
		debug.FreeOSMemory()
	}
}

// largeConfig is the size of an encoded configuration, in bytes, above which its decoding
// is followed by a forced garbage collection.
const largeConfig = 128 << 10

// loadConfig decodes and indexes a configuration.
func (s *Shell) loadConfig(data []byte) (*config.Snapshot, error) {
	doc, err := s.environment.Decode(data)
	if err != nil {
		return nil, err
	}
	return config.NewSnapshot(doc)
}

// postPeerConfig starts a worker that decodes and posts the configuration in a peer's
// message, if it is newer than the one in force.
func (s *Shell) postPeerConfig(msg gossip.Message) {
	if len(msg.Config) == 0 || msg.Revision <= s.Config().Revision() {
		return
	}
	s.startWorker(func(context.Context) { s.postConfig(msg.Config, msg.From) })
}

func (s *Shell) exchange(ctx context.Context, a exchange.SendRequest) {
	limit := exchangeTimeout
	if a.Message.WantConfig {
		limit = pullTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := s.peers.Exchange(ctx, a.Address, a.Message)
	if err == nil {
		s.postPeerConfig(reply)
	}
	s.post(exchange.Reply{Peer: a.Peer, Address: a.Address, Message: reply, Err: err})
}

// checkReplica checks whether a process listens at a replica's address.
func (s *Shell) checkReplica(ctx context.Context, a quarantine.Check) {
	err := upstream.CheckReachable(ctx, a.Address)
	s.post(quarantine.Checked{Replica: a.Replica, Ended: upstream.ConnectionRefused(err)})
}

// probeLink checks whether a replica accepts a connection.
func (s *Shell) probeLink(ctx context.Context, a links.Probe) {
	err := upstream.CheckReachable(ctx, a.Address)
	s.post(links.Probed{Replica: a.Replica, Connected: err == nil, TimedOut: err != nil && !upstream.ConnectionRefused(err)})
}

// A RelaySession is the handler's side of an attempt that is relayed for a peer.
type RelaySession struct {
	relay.Decided
	shell *Shell
}

// Accepted tells the machine that the replica answered, otherwise than by rejecting the attempt.
func (r RelaySession) Accepted() { r.shell.post(relay.Accepted{Token: r.Token}) }

// End tells the machine that the attempt has ended.
func (r RelaySession) End(outcome relay.Outcome) {
	r.shell.post(relay.Ended{Token: r.Token, Outcome: outcome})
}

// BeginRelay asks the machine whether an attempt of a peer is relayed; its Token is set here. If
// the session's Failure is RelaySucceeded, it must be ended.
func (s *Shell) BeginRelay(ctx context.Context, r relay.Requested) (RelaySession, error) {
	reply := make(chan relay.Decided, 1)
	token := make(chan uint64, 1)
	s.submit(func(s *Shell) step.Event {
		s.lastToken++
		s.relayReplies[s.lastToken] = reply
		token <- s.lastToken
		r.Token = s.lastToken
		return r
	})
	select {
	case d := <-reply:
		return RelaySession{Decided: d, shell: s}, nil
	case <-ctx.Done():
		select {
		case t := <-token:
			s.post(relay.Ended{Token: t})
		case <-s.ctx.Done():
		}
		return RelaySession{}, ctx.Err()
	}
}

// orderTimeout is the timeout of an order request to the owner of an engine.
const orderTimeout = time.Second

func (s *Shell) requestOrder(ctx context.Context, a orderclient.SendRequest) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := s.peers.RequestOrder(ctx, a.Address, s.self.Name, a.Engine, a.Request)
	if err != nil {
		reply = peer.OrderReply{Outcome: owned.Failed, Detail: err.Error()}
	}
	s.post(orderclient.Reply{Engine: a.Engine, Request: a.Request, Outcome: reply.Outcome, Detail: reply.Detail})
}

// permitTimeout is the time to wait for a peer's reply to a permit request, in addition to
// the time that the request may wait at the peer (docs/design/limits.md).
const permitTimeout = 200 * time.Millisecond

func (s *Shell) requestPermit(ctx context.Context, a permits.SendRequest) {
	ctx, cancel := context.WithTimeout(ctx, a.Request.Wait+permitTimeout)
	defer cancel()
	decision, err := s.peers.RequestPermit(ctx, a.Address, s.self.Name, a.Request)
	if a.Request.Unused {
		if err != nil {
			s.event(logevent.PermitFailed, "for", a.Request.Resource.String(), "peer", a.Peer, "unused", true, "error", err.Error())
		}
		return
	}
	s.post(permits.Reply{Token: a.Token, Verdict: decision, Err: err})
}

// HandlePermitRequest answers a peer's permit request.
func (s *Shell) HandlePermitRequest(ctx context.Context, from string, r permits.Request) (permits.Decision, error) {
	reply := make(chan permits.Decision, 1)
	s.submit(func(s *Shell) step.Event {
		s.lastToken++
		s.permitReplies[s.lastToken] = reply
		return permits.RequestReceived{Token: s.lastToken, From: from, Request: r}
	})
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		return permits.Decision{}, ctx.Err()
	}
}

// streamTimeout is the time to wait for a peer's answer to a request about streams. A caller that
// takes a stream up waits for it.
const streamTimeout = 200 * time.Millisecond

func (s *Shell) requestStreams(ctx context.Context, a streams.SendRequest) {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	answer, err := s.peers.RequestStreams(ctx, a.Address, a.Request)
	s.post(streams.Reply{Token: a.Token, Peer: a.Peer, Answer: answer, Err: err})
}

// HandleStreamsRequest answers a peer's request about streams.
func (s *Shell) HandleStreamsRequest(ctx context.Context, r streams.Request) (streams.Answer, error) {
	reply := make(chan streams.Answer, 1)
	s.submit(func(s *Shell) step.Event {
		s.lastToken++
		s.streamReplies[s.lastToken] = reply
		return streams.RequestReceived{Token: s.lastToken, Request: r}
	})
	select {
	case a := <-reply:
		return a, nil
	case <-ctx.Done():
		return streams.Answer{}, ctx.Err()
	}
}

// HandleOrderRequest answers a peer's order request.
func (s *Shell) HandleOrderRequest(ctx context.Context, engine string, r orders.Request) (peer.OrderReply, error) {
	reply := make(chan peer.OrderReply, 1)
	s.submit(func(s *Shell) step.Event {
		s.lastToken++
		s.orderReplies[s.lastToken] = reply
		return owned.RequestReceived{Token: s.lastToken, Engine: engine, Request: r}
	})
	select {
	case out := <-reply:
		return out, nil
	case <-ctx.Done():
		return peer.OrderReply{}, ctx.Err()
	}
}
