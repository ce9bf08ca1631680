package shell

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/instance"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/internal/peer"
	"github.com/birchdrift/birchdrift/internal/seam"
)

// What is carried out through the seams of an environment other than the
// product's own.

// watchPlatform waits for whatever changes in the environment's store and
// posts it as one event for each kind of news.
func (s *Shell) watchPlatform(ctx context.Context, a instance.WatchPlatform) {
	change, err := s.adapters.Store.Watch(ctx, a.Wait)
	if err != nil {
		s.post(instance.WatchReply{Err: err})
		return
	}
	s.metrics.PlatformCall()
	if change.Config != nil {
		s.postConfig(pack(change.Config), instance.PlatformSource)
	}
	if len(change.Listed) > 0 || change.Whole {
		s.post(instance.ListReply{Entries: change.Listed, Version: change.Version, Whole: change.Whole})
	}
	if len(change.Records) > 0 || change.Whole {
		s.post(instance.RegistryReply{Records: change.Records, Version: change.Version, Whole: change.Whole})
	}
	s.post(instance.WatchReply{})
}

// enrol begins a lease and writes the instance's record under it.
func (s *Shell) enrol(ctx context.Context, a instance.Enrol) {
	sent := s.Now()
	s.metrics.PlatformCall()
	lease, err := s.adapters.Store.Grant(ctx, a.Term)
	if err != nil {
		s.post(instance.EnrolReply{Err: err})
		return
	}
	v := a.Instance.Value()
	s.metrics.PlatformCall()
	_, err = s.adapters.Store.Commit(ctx, seam.Commit{Puts: []seam.Put{{Key: v.Key, Value: v.Data, Lease: lease}}})
	s.post(instance.EnrolReply{Sent: sent, Lease: lease, Err: err})
}

func (s *Shell) keepEnrolled(ctx context.Context, a instance.KeepEnrolled) {
	sent := s.Now()
	s.metrics.PlatformCall()
	err := s.adapters.Store.Keep(ctx, a.Lease)
	over := errors.Is(err, seam.ErrNoLease)
	s.post(instance.KeepReply{Sent: sent, Lease: a.Lease, Over: over, Err: err})
}

// resign gives ownerships back, then ends the lease. It is best effort: what is
// not given back is taken over when the lease is over.
func (s *Shell) resign(ctx context.Context, a instance.Resign) {
	for chunk := range slices.Chunk(a.Give, registry.MaxClaims) {
		_, _ = s.adapters.Store.Commit(ctx, claimCommit(chunk))
	}
	_ = s.adapters.Store.End(ctx, a.Lease)
}

func claimCommit(claims []registry.Ownership) seam.Commit {
	var c seam.Commit
	for _, o := range claims {
		v := o.Value()
		c.Conditions = append(c.Conditions, seam.Condition{Key: v.Key, Revision: o.Revision})
		c.Puts = append(c.Puts, seam.Put{Key: v.Key, Value: v.Data})
	}
	return c
}

func (s *Shell) writeRegistry(ctx context.Context, a instance.WriteRegistry) {
	reply := instance.WriteReply{Write: a.Write, Sent: s.Now()}
	commit := claimCommit(a.Write.Claim)
	if p := a.Write.Placer; p != nil {
		v := p.Value()
		commit.Conditions = append(commit.Conditions, seam.Condition{Key: v.Key, Revision: p.Revision})
		commit.Puts = append(commit.Puts, seam.Put{Key: v.Key, Value: v.Data, Lease: a.Lease})
	}
	s.metrics.PlatformCall()
	var err error
	reply.Revision, err = s.adapters.Store.Commit(ctx, commit)
	reply.Conflict = errors.Is(err, seam.ErrConflict) || errors.Is(err, seam.ErrNoLease)
	if !reply.Conflict {
		reply.Err = err
	}
	s.post(reply)
}

func (s *Shell) engineOrder(ctx context.Context, a instance.EngineOrder) {
	answer, detail := s.adapters.Engines.Order(ctx, s.self.Name, a.Order)
	s.post(instance.EngineOrderReply{Engine: a.Engine, Fence: a.Fence, Answer: answer, Detail: detail})
}

func (s *Shell) askEngine(ctx context.Context, a instance.AskEngine) {
	report, err := s.adapters.Engines.Report(ctx, a.Address)
	s.post(instance.EngineStateReply{Engine: a.Engine, Err: err, State: orders.State{
		Sequence: report.Sequence, Busy: report.Busy, Models: report.Announcement.Models, Coming: report.Coming,
	}})
}

// askLoad asks an engine how busy it is.
func (s *Shell) askLoad(ctx context.Context, a instance.AskLoad) {
	ctx, done := context.WithTimeout(ctx, a.Wait)
	defer done()
	report, err := s.adapters.Engines.Report(ctx, a.Address)
	s.post(instance.LoadReply{Call: a.Call, Engine: a.Engine, Queued: report.Queued, Running: report.Running, Err: err})
}

// askTime bounds how long the owner of an engine is waited for.
const askTime = time.Second

func (s *Shell) askOrder(ctx context.Context, a instance.AskOrder) {
	ctx, done := context.WithTimeout(ctx, askTime)
	defer done()
	reply, err := s.adapters.Peer.Order(ctx, a.Address, s.self.Name, a.Engine, a.Request)
	if err != nil {
		reply = peer.OrderReply{Outcome: owned.Failed, Detail: err.Error()}
	}
	s.post(instance.AskOrderReply{Engine: a.Engine, Request: a.Request, Outcome: reply.Outcome, Detail: reply.Detail})
}

// TakeOrder answers a peer that asks for an order.
func (s *Shell) TakeOrder(ctx context.Context, from, engine string, r orders.Request) (peer.OrderReply, error) {
	reply := make(chan peer.OrderReply, 1)
	s.do(func(s *Shell) instance.Event {
		s.nextAsk++
		s.orders[s.nextAsk] = reply
		return instance.OrderAsked{Token: s.nextAsk, From: from, Engine: engine, Request: r}
	})
	select {
	case out := <-reply:
		return out, nil
	case <-ctx.Done():
		return peer.OrderReply{}, ctx.Err()
	}
}
