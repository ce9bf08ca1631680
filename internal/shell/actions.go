package shell

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/instance"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/own/modelcalls"
	"github.com/birchdrift/birchdrift/core/share"
	"github.com/birchdrift/birchdrift/internal/keyvalue"
	"github.com/birchdrift/birchdrift/internal/peer"
)

// Time limits of single requests.
const (
	engineTimeout   = 2 * time.Second
	exchangeTimeout = 800 * time.Millisecond
	pullTimeout     = 3 * time.Second // of an exchange that brings a configuration
	claimTimeout    = time.Second
)

// carryOut does what the machine asked for. Whatever can wait on the outside
// runs in a worker and posts its reply.
func (s *Shell) carryOut(a instance.Action) {
	s.metrics.Action(a)
	switch act := a.(type) {
	case instance.Dispatch:
		s.deliver(act.ID, act)
	case instance.Finish:
		s.deliver(act.ID, act)
		s.interrupt(act.ID)
		delete(s.calls, act.ID)
	case instance.Relay:
		s.deliver(act.ID, act)
		delete(s.calls, act.ID)
	case instance.Cancel:
		s.work(func(ctx context.Context) { s.cancel(ctx, act) })
	case instance.Claim:
		s.work(func(ctx context.Context) { s.claim(ctx, act) })
	case instance.ReadClaim:
		s.work(func(ctx context.Context) { s.readClaim(ctx, act) })
	case instance.ReleaseClaim:
		s.work(func(ctx context.Context) { s.releaseClaim(ctx, act) })
	case instance.WatchConfig:
		s.work(func(ctx context.Context) { s.watchConfig(ctx, act) })
	case instance.WatchList:
		s.work(func(ctx context.Context) { s.watchList(ctx, act) })
	case instance.WatchPlatform:
		s.work(func(ctx context.Context) { s.watchPlatform(ctx, act) })
	case instance.SeekLease:
		s.work(func(ctx context.Context) { s.seekLease(ctx, act) })
	case instance.ReleaseLease:
		s.work(func(ctx context.Context) { s.releaseLease(ctx, act) })
	case instance.ReadIntents:
		s.work(s.readIntents)
	case instance.WriteIntents:
		s.work(func(ctx context.Context) { s.writeIntents(ctx, act) })
	case instance.ReadState:
		s.work(func(ctx context.Context) { s.readState(ctx, act) })
	case instance.SendOrder:
		s.work(func(ctx context.Context) { s.sendOrder(ctx, act) })
	case instance.Exchange:
		s.work(func(ctx context.Context) { s.exchange(ctx, act) })
	case instance.Answer:
		if reply, ok := s.asks[act.Token]; ok {
			reply <- act.Message
			delete(s.asks, act.Token)
		}
	case instance.Enrol:
		s.work(func(ctx context.Context) { s.enrol(ctx, act) })
	case instance.KeepEnrolled:
		s.work(func(ctx context.Context) { s.keepEnrolled(ctx, act) })
	case instance.Resign:
		s.work(func(ctx context.Context) { s.resign(ctx, act) })
	case instance.WriteRegistry:
		s.work(func(ctx context.Context) { s.writeRegistry(ctx, act) })
	case instance.EngineOrder:
		s.work(func(ctx context.Context) { s.engineOrder(ctx, act) })
	case instance.AskLoad:
		s.work(func(ctx context.Context) { s.askLoad(ctx, act) })
	case instance.AskEngine:
		s.work(func(ctx context.Context) { s.askEngine(ctx, act) })
	case instance.AskOrder:
		s.work(func(ctx context.Context) { s.askOrder(ctx, act) })
	case instance.OrderAnswered:
		if reply, ok := s.orders[act.Token]; ok {
			reply <- peer.OrderReply{Outcome: act.Outcome, Detail: act.Detail}
			delete(s.orders, act.Token)
		}
	case instance.Install:
		s.snapshot.install = act.Snapshot
	case instance.Log:
		s.log.Info(act.Event.Name(), append([]any{"event", int(act.Event)}, act.Fields...)...)
	case instance.Exit:
		s.exited <- act
	}
}

func (s *Shell) work(f func(ctx context.Context)) {
	s.workers.Go(func() { f(s.ctx) })
}

func (s *Shell) deliver(id instance.CallID, a instance.Action) {
	box, ok := s.calls[id]
	if !ok {
		return // its handler has ended
	}
	select {
	case box.actions <- a:
	default:
		s.log.Error(nil, "bug", "event", int(logevent.Bug), "detail", "a call's mailbox is full", "call", uint64(id))
	}
}

// interrupt ends the attempt that the call may have under way.
func (s *Shell) interrupt(id instance.CallID) {
	if box, ok := s.calls[id]; ok {
		if cancel := box.interrupt.Load(); cancel != nil {
			(*cancel)()
		}
	}
}

// CallName is a call's identity outside this instance.
func (s *Shell) CallName(id instance.CallID, attempt int) string {
	return fmt.Sprintf("%s-%x-%d-%d", s.self.Name, s.self.Boot, id, attempt)
}

func (s *Shell) cancel(ctx context.Context, a instance.Cancel) {
	ctx, done := context.WithTimeout(ctx, engineTimeout)
	defer done()
	// Closing the stream cancels as well; this word only frees the sequence
	// sooner, so a failure needs no second try.
	_ = s.adapters.Engine.Cancel(ctx, a.Address, s.CallName(a.ID, a.Attempt))
}

func (s *Shell) claimValue(id instance.CallID) []byte {
	return fmt.Appendf(nil, "%s/%x/%d", s.self.Name, s.self.Boot, id)
}

func (s *Shell) claim(ctx context.Context, a instance.Claim) {
	ctx, done := context.WithTimeout(ctx, claimTimeout)
	defer done()
	_, err := s.adapters.Platform.Swap(ctx, a.Key, s.claimValue(a.ID), 0, a.Life)
	s.post(instance.ClaimReply{ID: a.ID, Outcome: claimOutcome(err)})
}

func claimOutcome(err error) instance.ClaimOutcome {
	switch {
	case err == nil:
		return modelcalls.ClaimWon
	case errors.Is(err, keyvalue.ErrConflict):
		// The first of two requests whose answer was lost conflicts with the
		// second, so a conflict alone does not say that another won.
		return modelcalls.ClaimUnknown
	case errors.Is(err, keyvalue.ErrNotSent):
		return modelcalls.ClaimNotSent
	default:
		return modelcalls.ClaimUnknown
	}
}

func (s *Shell) readClaim(ctx context.Context, a instance.ReadClaim) {
	ctx, done := context.WithTimeout(ctx, claimTimeout)
	defer done()
	v, err := s.adapters.Platform.Get(ctx, a.Key, 0, 0)
	outcome := modelcalls.ClaimLost
	switch {
	case err != nil:
		outcome = modelcalls.ClaimUnknown
	case v.Revision == 0:
		outcome = modelcalls.ClaimAbsent
	case string(v.Data) == string(s.claimValue(a.ID)):
		outcome = modelcalls.ClaimWon
	}
	s.post(instance.ClaimReply{ID: a.ID, Outcome: outcome})
}

// releaseClaim drops the claim if it is this call's. It is best effort: a claim
// that stays refuses its key until it expires, and runs nothing.
func (s *Shell) releaseClaim(ctx context.Context, a instance.ReleaseClaim) {
	ctx, done := context.WithTimeout(ctx, claimTimeout)
	defer done()
	v, err := s.adapters.Platform.Get(ctx, a.Key, 0, 0)
	if err != nil || string(v.Data) != string(s.claimValue(a.ID)) {
		return
	}
	_ = s.adapters.Platform.Delete(ctx, a.Key, v.Revision)
}

// watchConfig waits for a configuration newer than the one had. The platform
// orders values by its own revisions, which this shell remembers; the document
// carries the revision that decides.
func (s *Shell) watchConfig(ctx context.Context, a instance.WatchConfig) {
	after := s.configSeen.Load()
	if a.Have == 0 {
		after = 0
	}
	v, err := s.adapters.Platform.Get(ctx, keyvalue.ConfigKey, after, a.Wait)
	if err != nil {
		s.post(instance.ConfigReply{Source: instance.PlatformSource, Err: err})
		return
	}
	if v.Revision == 0 || v.Revision == after {
		s.post(instance.ConfigReply{Source: instance.PlatformSource})
		return
	}
	s.configSeen.Store(v.Revision)
	s.postConfig(v.Data, instance.PlatformSource)
}

// postConfig indexes a configuration off the machine's goroutine, which would
// stand still for it, and posts it.
func (s *Shell) postConfig(data []byte, source string) {
	snapshot, err := s.loadConfig(data)
	if err != nil {
		s.log.Info(logevent.ConfigFailed.Name(), "event", int(logevent.ConfigFailed), "source", source, "error", err.Error())
		s.post(instance.ConfigReply{Source: source})
		return
	}
	s.post(instance.ConfigReply{Snapshot: snapshot, Encoded: data, Source: source})
	// Decoding a large configuration leaves several times its size behind,
	// and a small instance that is idle would keep that for minutes. Changes
	// are rare, so a collection for each costs next to nothing.
	if len(data) > largeConfig {
		debug.FreeOSMemory()
	}
}

// largeConfig is the size of an encoded configuration, in bytes, from which the
// memory that its decoding leaves behind is worth a collection.
const largeConfig = 128 << 10

func (s *Shell) loadConfig(data []byte) (*config.Snapshot, error) {
	doc, err := s.adapters.decode(data)
	if err != nil {
		return nil, err
	}
	return config.NewSnapshot(doc)
}

// decodeConfig takes in the configuration that a peer's message carries.
func (s *Shell) decodeConfig(msg share.Message) {
	if len(msg.Config) == 0 || msg.Revision <= s.Config().Revision() {
		return
	}
	s.work(func(context.Context) { s.postConfig(msg.Config, msg.From) })
}

func (s *Shell) watchList(ctx context.Context, a instance.WatchList) {
	entries, version, err := s.adapters.Platform.Instances(ctx, a.Since, a.Wait)
	s.post(instance.ListReply{Entries: entries, Version: version, Err: err})
}

func (s *Shell) holder() string { return fmt.Sprintf("%s/%x", s.self.Name, s.self.Boot) }

func (s *Shell) seekLease(ctx context.Context, a instance.SeekLease) {
	sent := s.Now()
	reply, err := s.adapters.Platform.Lease(ctx, keyvalue.LeaseName(s.self.Zone), keyvalue.LeaseRequest{
		Holder: s.holder(), TermMS: a.Term.Milliseconds(), Renew: a.Renew,
	})
	s.post(instance.LeaseReply{Sent: sent, Granted: reply.Granted, Fence: reply.Fence, Holder: reply.Holder, Err: err})
}

func (s *Shell) releaseLease(ctx context.Context, a instance.ReleaseLease) {
	// Best effort: a lease that is not released lapses.
	_ = s.adapters.Platform.Release(ctx, keyvalue.LeaseName(s.self.Zone), a.Fence)
}

func (s *Shell) readIntents(ctx context.Context) {
	v, err := s.adapters.Platform.Get(ctx, keyvalue.IntentsKey(s.self.Zone), 0, 0)
	reply := instance.IntentsReply{Read: true, Revision: v.Revision, Err: err}
	if err == nil && len(v.Data) > 0 {
		reply.Err = json.Unmarshal(v.Data, &reply.Intents)
	}
	s.post(reply)
}

func (s *Shell) writeIntents(ctx context.Context, a instance.WriteIntents) {
	reply := instance.IntentsReply{Intents: a.Intents}
	data, err := json.Marshal(a.Intents)
	if err == nil {
		reply.Revision, err = s.adapters.Platform.Swap(ctx, keyvalue.IntentsKey(s.self.Zone), data, a.Revision, 0)
	}
	reply.Conflict = errors.Is(err, keyvalue.ErrConflict)
	if !reply.Conflict {
		reply.Err = err
	}
	s.post(reply)
}

func (s *Shell) readState(ctx context.Context, a instance.ReadState) {
	ctx, done := context.WithTimeout(ctx, engineTimeout)
	defer done()
	state, err := s.adapters.Engine.State(ctx, a.Address)
	s.post(instance.StateReply{Engine: a.Engine, State: state, Err: err})
}

func (s *Shell) sendOrder(ctx context.Context, a instance.SendOrder) {
	ctx, done := context.WithTimeout(ctx, engineTimeout)
	defer done()
	base := ""
	if cfg := s.Config(); cfg != nil {
		base = cfg.Base(a.Order.Item)
	}
	s.post(s.adapters.Engine.Order(ctx, a.Address, a.Order, base))
}

func (s *Shell) exchange(ctx context.Context, a instance.Exchange) {
	limit := exchangeTimeout
	if a.Message.WantConfig {
		limit = pullTimeout
	}
	ctx, done := context.WithTimeout(ctx, limit)
	defer done()
	reply, err := s.adapters.Peer.Exchange(ctx, a.Address, a.Message)
	if err == nil {
		s.decodeConfig(reply)
	}
	s.post(instance.ExchangeReply{Peer: a.Peer, Address: a.Address, Message: reply, Err: err})
}
