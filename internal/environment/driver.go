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

// A driver carries out the machine's actions through a platform's store and
// engines.
type driver struct {
	store   Store
	engines Engines
	host    shell.Host
}

// NewFactory returns what joins a shell to a platform with this store and these engines.
func NewFactory(store Store, engines Engines) shell.EnvironmentFactory {
	return func(h shell.Host) shell.Environment {
		d := &driver{store: store, engines: engines, host: h}
		return shell.Environment{CarryOut: d.carryOut, Decode: d.decode}
	}
}

// decode reads a configuration as instances hand it to each other.
func (d *driver) decode(data []byte) (config.Document, error) {
	stored, err := decompress(data)
	if err != nil {
		return config.Document{}, err
	}
	return d.store.Decode(stored)
}

// carryOut returns the work that carries an action out, nil for an action that is
// not this environment's.
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

// watchPlatform waits for whatever changes in the environment's store and
// posts it as one event for each kind of news.
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

// readChange calls the store for what changed.
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

// enrol begins a lease and writes the instance's record under it.
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

// resign gives ownerships back, then ends the lease. What is not given back is
// taken over when the lease is over, so a failure costs others that time and is
// not tried again: the process ends.
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

// postEra passes on that the store came back from an older copy, if a call showed so.
func (d *driver) postEra(err error) {
	var former FormerEraError
	if errors.As(err, &former) {
		d.host.Post(ownership.EraObserved{Era: former.Now})
	}
}

// commitInEra returns a write of an era that is carried out only while the era's mark stands at
// a revision; 0: whether or not there is one.
func commitInEra(in era.Era, recordRevision era.Revision) Commit {
	c := Commit{Era: in}
	if recordRevision != 0 {
		c.Conditions = append(c.Conditions, Condition{Key: registry.EraRecord{Era: in}.Key(), Revision: recordRevision})
	}
	return c
}

// claimCommit returns the write of claims, all of one era.
func claimCommit(claims []registry.Ownership, recordRevision era.Revision) Commit {
	c := commitInEra(claims[0].Era, recordRevision)
	for _, o := range claims {
		v := o.Value()
		c.Conditions = append(c.Conditions, Condition{Key: v.Key, Revision: o.Revision})
		c.Puts = append(c.Puts, Put{Key: v.Key, Value: v.Data})
	}
	return c
}

// placerCommit returns the write of the placer's record, which hangs on the lease
// unless that is 0.
func placerCommit(p registry.Placer, lease era.Lease, recordRevision era.Revision) Commit {
	v := p.Value()
	c := commitInEra(p.Era, recordRevision)
	c.Conditions = append(c.Conditions, Condition{Key: v.Key, Revision: p.Revision})
	c.Puts = []Put{{Key: v.Key, Value: v.Data, Lease: lease}}
	return c
}

// eraRecordCommit returns the write of an era's mark, with which those of former eras go.
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

// registryCommit returns the write of some of the registry's records.
func registryCommit(a ownership.Write) Commit {
	w := a.Write
	switch {
	case w.Mark != nil:
		return eraRecordCommit(*w.Mark, w.Former)
	case w.Placer != nil:
		return placerCommit(*w.Placer, a.Lease, w.Depends)
	default:
		return claimCommit(w.Claim, w.Depends)
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

// storeVerdict writes a verdict under a lease of its own, with which it goes.
func (d *driver) storeVerdict(ctx context.Context, a quarantine.StoreVerdict) {
	reply := quarantine.VerdictStored{Request: a.Quarantine.Request}
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
	// The lease is of no use then; one that is not given back goes with its term.
	d.host.PlatformCalled()
	if end := d.store.End(ctx, lease); end != nil {
		d.host.Event(logevent.NotReturned, "what", "lease", "error", end.Error())
	}
	if !errors.Is(err, ErrConflict) {
		reply.Err = err
	}
	d.host.Post(reply)
}

// removeVerdict removes a verdict that does not hold any more. A failure leaves it to
// its lease.
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
	d.host.Post(owned.OrderReply{Engine: a.Engine, Fence: a.Fence, Answer: answer.Answer, Detail: answer.Detail})
}

// postNotice passes on what an engine said of itself, if anything, or if that it says nothing is
// news.
func (d *driver) postNotice(engine string, sent clock.Instant, n pool.Notice, news bool) {
	if news || !n.IsZero() {
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

// postReport passes on what a report says beside what it was asked for: in which life the
// engine is, then what it says of that.
func (d *driver) postReport(engine string, sent clock.Instant, r EngineReport, limited bool) {
	if r.Announcement.Born != "" {
		d.host.Post(listing.SelfReport{Replica: engine, Sent: sent, Announcement: r.Announcement})
	}
	d.postNotice(engine, sent, r.Notice, limited && r.Heard)
}

// probeEngine asks an engine how busy it is.
func (d *driver) probeEngine(ctx context.Context, a forwarding.ProbeEngine) {
	ctx, done := context.WithTimeout(ctx, a.Wait)
	defer done()
	sent := d.host.Now()
	report, err := d.engines.Report(ctx, a.Address)
	d.postReport(a.Engine, sent, report, false)
	d.host.Post(forwarding.ProbeReply{Call: a.Call, Engine: a.Engine, Sent: sent, Queued: report.Queued, Running: report.Running, Err: err})
}
