package environment

import (
	"context"
	"errors"
	"slices"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/forwarding"
	"github.com/birchdrift/birchdrift/core/instance"
	"github.com/birchdrift/birchdrift/core/listing"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/notice"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/ownership"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/quarantine"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/step"
	"github.com/birchdrift/birchdrift/core/watch"
	"github.com/birchdrift/birchdrift/internal/shell"
)

// A driver carries out the state machine's actions through a platform's store and
// engines.
type driver struct {
	store   Store
	engines Engines
	host    shell.Host
}

// NewFactory returns a factory of environments that use this store and these engines.
func NewFactory(store Store, engines Engines) shell.EnvironmentFactory {
	return func(h shell.Host) shell.Environment {
		d := &driver{store: store, engines: engines, host: h}
		return shell.Environment{CarryOut: d.carryOut, Decode: d.decode}
	}
}

// decode reads a configuration in the compressed form that instances exchange.
func (d *driver) decode(data []byte) (config.Document, error) {
	stored, err := decompress(data)
	if err != nil {
		return config.Document{}, err
	}
	return d.store.Decode(stored)
}

// carryOut returns the function that carries out an action, or nil if the action does
// not concern the environment.
func (d *driver) carryOut(a step.Action) func(ctx context.Context) {
	switch act := a.(type) {
	case watch.SendRequest:
		return func(ctx context.Context) { d.watchPlatform(ctx, act) }
	case ownership.Enrol:
		return func(ctx context.Context) { d.enrol(ctx, act) }
	case ownership.RenewLease:
		return func(ctx context.Context) { d.renewLease(ctx, act) }
	case ownership.Resign:
		return func(ctx context.Context) { d.resign(ctx, act) }
	case ownership.Write:
		return func(ctx context.Context) { d.writeRegistry(ctx, act) }
	case quarantine.StoreVerdict:
		return func(ctx context.Context) { d.storeVerdict(ctx, act) }
	case quarantine.RemoveVerdict:
		return func(ctx context.Context) { d.removeVerdict(ctx, act) }
	case owned.SendOrder:
		return func(ctx context.Context) { d.sendOrder(ctx, act) }
	case owned.QueryState:
		return func(ctx context.Context) { d.queryState(ctx, act) }
	case forwarding.ProbeEngine:
		return func(ctx context.Context) { d.probeEngine(ctx, act) }
	default:
		return nil
	}
}

// watchPlatform waits for changes in the environment's store and posts one event for
// each kind of change, then the reply to the watch.
func (d *driver) watchPlatform(ctx context.Context, a watch.SendRequest) {
	change, err := d.readChange(ctx, a)
	if err != nil {
		d.host.Post(watch.Reply{ID: a.ID, Err: err})
		return
	}
	d.host.PlatformCalled()
	for _, key := range change.Unreadable {
		d.host.Event(logevent.RecordUnreadable, "key", key)
	}
	if change.Config != nil {
		d.host.PostConfig(compress(change.Config), instance.PlatformSource)
	}
	if len(change.Listed) > 0 || change.Whole {
		d.host.Post(listing.Reply{
			Entries: change.Listed, Version: change.Version, Whole: change.Whole, Unreadable: change.UnreadableReplicas,
		})
	}
	if len(change.Records) > 0 || change.Whole {
		d.host.Post(ownership.WatchUpdate{Records: change.Records, Version: change.Version, Whole: change.Whole})
	}
	d.host.Post(watch.Reply{ID: a.ID, Whole: change.Whole})
}

// readChange reads the whole store or waits for changes, depending on the request.
func (d *driver) readChange(ctx context.Context, a watch.SendRequest) (Change, error) {
	switch {
	case a.Wait == 0:
		return d.store.Read(ctx)
	case a.Fresh:
		return d.store.WatchFresh(ctx, a.Wait)
	default:
		return d.store.Watch(ctx, a.Wait)
	}
}

// enrol acquires a lease and writes the instance's registration under it.
func (d *driver) enrol(ctx context.Context, a ownership.Enrol) {
	sent := d.host.Now()
	d.host.PlatformCalled()
	lease, err := d.store.Grant(ctx, a.Term)
	if err != nil {
		d.host.Post(ownership.EnrolReply{Err: err})
		return
	}
	v := a.Instance.Value()
	d.host.PlatformCalled()
	_, err = d.store.Commit(ctx, Commit{Puts: []Put{{Key: v.Key, Value: v.Data, Lease: lease}}, Era: lease.Era})
	d.postEra(err)
	d.host.Post(ownership.EnrolReply{Sent: sent, Lease: lease, Err: err})
}

func (d *driver) renewLease(ctx context.Context, a ownership.RenewLease) {
	sent := d.host.Now()
	d.host.PlatformCalled()
	err := d.store.Keep(ctx, a.Lease)
	d.postEra(err)
	over := errors.Is(err, ErrNoLease)
	d.host.Post(ownership.RenewReply{Sent: sent, Lease: a.Lease, Over: over, Err: err})
}

// resign releases the ownerships and the placer's record and then ends the lease. A
// failure is not retried, since the process is about to end: what was not released is
// taken over when the lease expires, and others lose only that time.
func (d *driver) resign(ctx context.Context, a ownership.Resign) {
	for chunk := range slices.Chunk(a.Give, registry.MaxClaims) {
		if _, err := d.store.Commit(ctx, claimCommit(chunk, a.Depends)); err != nil {
			d.host.Event(logevent.NotReturned, "what", "ownerships", "engines", len(chunk), "error", err.Error())
		}
	}
	if p := a.Placer; p != nil {
		if _, err := d.store.Commit(ctx, placerCommit(*p, era.Lease{}, a.Depends)); err != nil {
			d.host.Event(logevent.NotReturned, "what", "placer", "error", err.Error())
		}
	}
	if err := d.store.End(ctx, a.Lease); err != nil {
		d.host.Event(logevent.NotReturned, "what", "lease", "error", err.Error())
	}
}

// postEra tells the machine the store's new era if err says that the store's history was
// rolled back.
func (d *driver) postEra(err error) {
	var former FormerEraError
	if errors.As(err, &former) {
		d.host.Post(ownership.EraObserved{Era: former.Now})
	}
}

// commitInEra returns an empty commit of an era that is carried out only if the era's
// record has the given revision; 0 means that the record is not checked.
func commitInEra(in era.Era, recordRevision era.Revision) Commit {
	c := Commit{Era: in}
	if recordRevision != 0 {
		c.Conditions = append(c.Conditions, Condition{Key: registry.EraRecord{Era: in}.Key(), Revision: recordRevision})
	}
	return c
}

// claimCommit returns the commit that writes claims, which are all of one era.
func claimCommit(claims []registry.Ownership, recordRevision era.Revision) Commit {
	c := commitInEra(claims[0].Era, recordRevision)
	for _, o := range claims {
		v := o.Value()
		c.Conditions = append(c.Conditions, Condition{Key: v.Key, Revision: o.Revision})
		c.Puts = append(c.Puts, Put{Key: v.Key, Value: v.Data})
	}
	return c
}

// placerCommit returns the commit that writes the placer's record, attached to the lease
// unless that is 0.
func placerCommit(p registry.Placer, lease era.Lease, recordRevision era.Revision) Commit {
	v := p.Value()
	c := commitInEra(p.Era, recordRevision)
	c.Conditions = append(c.Conditions, Condition{Key: v.Key, Revision: p.Revision})
	c.Puts = []Put{{Key: v.Key, Value: v.Data, Lease: lease}}
	return c
}

// eraRecordCommit returns the commit that writes an era's record and removes those of
// former eras.
func eraRecordCommit(m registry.EraRecord, former []era.Era) Commit {
	v := m.Value()
	c := Commit{
		Conditions: []Condition{{Key: v.Key}},
		Puts:       []Put{{Key: v.Key, Value: v.Data}},
		Era:        m.Era,
	}
	for _, e := range former {
		c.Removes = append(c.Removes, registry.EraRecord{Era: e}.Key())
	}
	return c
}

// registryCommit returns the commit that carries out a write of registry records.
func registryCommit(a ownership.Write) Commit {
	w := a.Write
	switch {
	case w.Mark != nil:
		return eraRecordCommit(*w.Mark, w.Former)
	case w.Fleet != nil:
		v := w.Fleet.Value()
		return Commit{Conditions: []Condition{{Key: v.Key}}, Puts: []Put{{Key: v.Key, Value: v.Data}}, Era: w.Fleet.Era}
	case w.Placer != nil:
		return placerCommit(*w.Placer, a.Lease, w.Depends)
	default:
		return claimCommit(slices.Concat(w.Claim, w.Release), w.Depends)
	}
}

func (d *driver) writeRegistry(ctx context.Context, a ownership.Write) {
	reply := ownership.WriteReply{Write: a.Write}
	d.host.PlatformCalled()
	var err error
	reply.Revision, err = d.store.Commit(ctx, registryCommit(a))
	d.postEra(err)
	reply.Conflict = errors.Is(err, ErrConflict) || errors.Is(err, ErrNoLease)
	if !reply.Conflict {
		reply.Err = err
	}
	d.host.Post(reply)
}

// storeVerdict writes a verdict under a lease of its own, so that it expires with the
// lease.
func (d *driver) storeVerdict(ctx context.Context, a quarantine.StoreVerdict) {
	reply := quarantine.VerdictStored{ID: a.Quarantine.ID}
	d.host.PlatformCalled()
	lease, err := d.store.Grant(ctx, a.Term)
	if err != nil {
		reply.Err = err
		d.host.Post(reply)
		return
	}
	v := a.Quarantine.Value()
	d.host.PlatformCalled()
	_, err = d.store.Commit(ctx, Commit{
		Conditions: []Condition{{Key: v.Key}},
		Puts:       []Put{{Key: v.Key, Value: v.Data, Lease: lease}},
		Era:        lease.Era,
	})
	if err == nil {
		d.host.Post(reply)
		return
	}
	// The lease is not needed; if ending it fails, it expires after its term.
	d.host.PlatformCalled()
	if end := d.store.End(ctx, lease); end != nil {
		d.host.Event(logevent.NotReturned, "what", "lease", "error", end.Error())
	}
	if !errors.Is(err, ErrConflict) {
		reply.Err = err
	}
	d.host.Post(reply)
}

// removeVerdict removes a verdict that no longer holds. If that fails, the verdict
// expires with its lease.
func (d *driver) removeVerdict(ctx context.Context, a quarantine.RemoveVerdict) {
	d.host.PlatformCalled()
	if _, err := d.store.Commit(ctx, Commit{Removes: []string{a.Quarantine.Value().Key}, AnyEra: true}); err != nil {
		d.host.Event(logevent.NotReturned, "what", "quarantine", "error", err.Error())
	}
}

func (d *driver) sendOrder(ctx context.Context, a owned.SendOrder) {
	sent := d.host.Now()
	answer := d.engines.Order(ctx, d.host.Self.Name, a.Order)
	d.postNotice(a.Engine, sent, answer.Notice, a.Limited && answer.Heard)
	d.host.Post(owned.OrderReply{Engine: a.Engine, Fence: a.Fence, Answer: answer.Answer, TimedOut: answer.TimedOut, Detail: answer.Detail})
}

// postNotice passes to the machine what an engine reported about itself. An empty notice
// is passed on only if always is set, which is so if the engine had a rate limit, which
// then may have ended.
func (d *driver) postNotice(engine string, sent clock.Instant, n pool.Notice, always bool) {
	if always || !n.IsZero() {
		d.host.Post(notice.Received{Replica: engine, Sent: sent, Notice: n})
	}
}

func (d *driver) queryState(ctx context.Context, a owned.QueryState) {
	sent := d.host.Now()
	report, err := d.engines.Report(ctx, a.Address)
	d.postReport(a.Engine, sent, report, a.Limited)
	d.host.Post(owned.StateReply{Engine: a.Engine, Sent: sent, Err: err, State: orders.State{
		Sequence: report.Sequence, Busy: report.Busy, Models: report.Announcement.Models, Coming: report.Coming,
	}})
}

// postReport passes to the machine what a report has beyond the requested state: first the
// engine's announcement with its incarnation, then its notice about that incarnation.
func (d *driver) postReport(engine string, sent clock.Instant, r EngineReport, limited bool) {
	if r.Announcement.Born != "" {
		d.host.Post(listing.SelfReport{Replica: engine, Sent: sent, Announcement: r.Announcement})
	}
	d.postNotice(engine, sent, r.Notice, limited && r.Heard)
}

// probeEngine reads how many requests an engine has queued and running.
func (d *driver) probeEngine(ctx context.Context, a forwarding.ProbeEngine) {
	ctx, cancel := context.WithTimeout(ctx, a.Wait)
	defer cancel()
	sent := d.host.Now()
	report, err := d.engines.Report(ctx, a.Address)
	d.postReport(a.Engine, sent, report, false)
	d.host.Post(forwarding.ProbeReply{Call: a.Call, Engine: a.Engine, Sent: sent, Queued: report.Queued, Running: report.Running, Err: err})
}
