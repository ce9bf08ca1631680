// Package own connects an instance to the product's own environment: a small key-value
// service (package keyvalue) and engines with the product's own protocol (package
// engine).
package own

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/instance"
	"github.com/birchdrift/birchdrift/core/listing"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/own/kvwatch"
	"github.com/birchdrift/birchdrift/core/own/modelcalls"
	"github.com/birchdrift/birchdrift/core/own/planner"
	"github.com/birchdrift/birchdrift/core/step"
	"github.com/birchdrift/birchdrift/internal/own/engine"
	"github.com/birchdrift/birchdrift/internal/own/keyvalue"
	"github.com/birchdrift/birchdrift/internal/shell"
)

// Time limits of single requests: several hundred times what a reply takes on the
// loopback interface.
const (
	engineTimeout = 2 * time.Second
	claimTimeout  = time.Second
)

// A driver carries out the state machine's actions through the key-value service and the
// engines.
type driver struct {
	platform *keyvalue.Client
	engine   *engine.Client
	host     shell.Host
	// configRevision is the service's revision of the configuration that was last read.
	configRevision atomic.Uint64
}

// NewFactory returns a function that connects a shell to the product's own environment.
func NewFactory(p *keyvalue.Client, e *engine.Client) shell.EnvironmentFactory {
	return func(h shell.Host) shell.Environment {
		p.Called = h.PlatformCalled
		d := &driver{platform: p, engine: e, host: h}
		return shell.Environment{CarryOut: d.carryOut, Decode: config.Decode}
	}
}

// AttemptID returns the identifier of one attempt of a call, unique among all instances.
func AttemptID(self member.Identity, id calls.ID, attempt int) string {
	return fmt.Sprintf("%s-%x-%d-%d", self.Name, self.Boot, id, attempt)
}

// carryOut returns the function that carries out an action, or nil if the action does not
// belong to this environment.
func (d *driver) carryOut(a step.Action) func(ctx context.Context) {
	switch act := a.(type) {
	case modelcalls.CancelSequence:
		return func(ctx context.Context) { d.cancel(ctx, act) }
	case modelcalls.Claim:
		return func(ctx context.Context) { d.claim(ctx, act) }
	case modelcalls.ReadClaim:
		return func(ctx context.Context) { d.readClaim(ctx, act) }
	case modelcalls.ReleaseClaim:
		return func(ctx context.Context) { d.releaseClaim(ctx, act) }
	case kvwatch.WatchConfig:
		return func(ctx context.Context) { d.watchConfig(ctx, act) }
	case kvwatch.WatchList:
		return func(ctx context.Context) { d.watchList(ctx, act) }
	case planner.RequestLease:
		return func(ctx context.Context) { d.requestLease(ctx, act) }
	case planner.ReleaseLease:
		return func(ctx context.Context) { d.releaseLease(ctx, act) }
	case planner.ReadIntents:
		return d.readIntents
	case planner.WriteIntents:
		return func(ctx context.Context) { d.writeIntents(ctx, act) }
	case planner.ReadState:
		return func(ctx context.Context) { d.readState(ctx, act) }
	case planner.SendOrder:
		return func(ctx context.Context) { d.sendOrder(ctx, act) }
	default:
		return nil
	}
}

func (d *driver) cancel(ctx context.Context, a modelcalls.CancelSequence) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	// Closing the stream cancels the sequence as well. This request only frees it sooner,
	// so a failure is not retried.
	if err := d.engine.Cancel(ctx, a.Address, AttemptID(d.host.Self, a.ID, a.Attempt)); err != nil {
		d.host.Event(logevent.CancelFailed, "call", uint64(a.ID), "upstream", a.Replica, "error", err.Error())
	}
}

// claimValue returns the value stored for a claim. It identifies the call among all
// instances.
func (d *driver) claimValue(id calls.ID) []byte {
	return fmt.Appendf(nil, "%s/%x/%d", d.host.Self.Name, d.host.Self.Boot, id)
}

func (d *driver) claim(ctx context.Context, a modelcalls.Claim) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, err := d.platform.CompareAndSwap(ctx, a.Key, d.claimValue(a.ID), 0, a.Life)
	d.host.Post(modelcalls.ClaimReply{ID: a.ID, Outcome: claimOutcome(err)})
}

// claimOutcome returns the outcome of the compare-and-swap that requested a claim.
func claimOutcome(err error) modelcalls.ClaimOutcome {
	switch {
	case err == nil:
		return modelcalls.ClaimWon
	case errors.Is(err, keyvalue.ErrConflict):
		// If the answer to a first request was lost, a second request conflicts with the
		// first, so a conflict alone does not show that another call holds the claim.
		return modelcalls.ClaimUnknown
	case errors.Is(err, keyvalue.ErrNotSent):
		return modelcalls.ClaimNotSent
	default:
		return modelcalls.ClaimUnknown
	}
}

// readClaim reads a claim back and reports whether it is absent or belongs to this call or
// another one.
func (d *driver) readClaim(ctx context.Context, a modelcalls.ReadClaim) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	v, err := d.platform.Get(ctx, a.Key, 0, 0)
	outcome := modelcalls.ClaimLost
	switch {
	case err != nil:
		outcome = modelcalls.ClaimUnknown
	case v.Revision == 0:
		outcome = modelcalls.ClaimAbsent
	case string(v.Data) == string(d.claimValue(a.ID)):
		outcome = modelcalls.ClaimWon
	}
	d.host.Post(modelcalls.ClaimReply{ID: a.ID, Outcome: outcome})
}

// releaseClaim deletes the claim if it belongs to this call. It is best effort: a claim
// that remains causes its key to be refused until it expires, and nothing is run for it.
func (d *driver) releaseClaim(ctx context.Context, a modelcalls.ReleaseClaim) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	v, err := d.platform.Get(ctx, a.Key, 0, 0)
	if err == nil && string(v.Data) == string(d.claimValue(a.ID)) {
		err = d.platform.Delete(ctx, a.Key, v.Revision)
	}
	if err != nil {
		d.host.Event(logevent.NotReturned, "what", "claim", "call", uint64(a.ID), "error", err.Error())
	}
}

// watchConfig waits for a configuration newer than the current one. The platform orders
// values by its own revisions, of which this driver remembers the last one read. Which
// configuration is newer is decided by the revision in the document.
func (d *driver) watchConfig(ctx context.Context, a kvwatch.WatchConfig) {
	after := d.configRevision.Load()
	if a.Have == 0 {
		after = 0
	}
	v, err := d.platform.Get(ctx, keyvalue.ConfigKey, after, a.Wait)
	if err != nil {
		d.host.Post(instance.ConfigReply{Source: instance.PlatformSource, Err: err})
		return
	}
	if v.Revision == 0 || v.Revision == after {
		d.host.Post(instance.ConfigReply{Source: instance.PlatformSource})
		return
	}
	d.configRevision.Store(v.Revision)
	d.host.PostConfig(v.Data, instance.PlatformSource)
}

func (d *driver) watchList(ctx context.Context, a kvwatch.WatchList) {
	entries, version, err := d.platform.Instances(ctx, a.Since, a.Wait)
	d.host.Post(listing.Reply{Entries: entries, Version: era.Revision(version), Err: err})
}

// holderName returns the name under which this start of the instance holds leases.
func (d *driver) holderName() string { return fmt.Sprintf("%s/%x", d.host.Self.Name, d.host.Self.Boot) }

func (d *driver) requestLease(ctx context.Context, a planner.RequestLease) {
	sent := d.host.Now()
	reply, err := d.platform.AcquireLease(ctx, keyvalue.LeaseName(d.host.Self.Zone), keyvalue.LeaseRequest{
		Holder: d.holderName(), TermMS: a.Term.Milliseconds(), Renew: a.Renew,
	})
	d.host.Post(planner.LeaseReply{Sent: sent, Granted: reply.Granted, Fence: reply.Fence, Err: err})
}

func (d *driver) releaseLease(ctx context.Context, a planner.ReleaseLease) {
	// A lease that is not released expires.
	if err := d.platform.Release(ctx, keyvalue.LeaseName(d.host.Self.Zone), a.Fence); err != nil {
		d.host.Event(logevent.NotReturned, "what", "planner's lease", "error", err.Error())
	}
}

func (d *driver) readIntents(ctx context.Context) {
	v, err := d.platform.Get(ctx, keyvalue.IntentsKey(d.host.Self.Zone), 0, 0)
	reply := planner.IntentsReply{Read: true, Revision: v.Revision, Err: err}
	if err == nil && len(v.Data) > 0 {
		reply.Err = json.Unmarshal(v.Data, &reply.Intents)
	}
	d.host.Post(reply)
}

func (d *driver) writeIntents(ctx context.Context, a planner.WriteIntents) {
	reply := planner.IntentsReply{Intents: a.Intents}
	data, err := json.Marshal(a.Intents)
	if err == nil {
		reply.Revision, err = d.platform.CompareAndSwap(ctx, keyvalue.IntentsKey(d.host.Self.Zone), data, a.Revision, 0)
	}
	reply.Conflict = errors.Is(err, keyvalue.ErrConflict)
	if !reply.Conflict {
		reply.Err = err
	}
	d.host.Post(reply)
}

func (d *driver) readState(ctx context.Context, a planner.ReadState) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	state, err := d.engine.State(ctx, a.Address)
	d.host.Post(planner.StateReply{Engine: a.Engine, State: state, Err: err})
}

func (d *driver) sendOrder(ctx context.Context, a planner.SendOrder) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	base := ""
	if cfg := d.host.Config(); cfg != nil {
		base = cfg.BaseModel(a.Order.Item)
	}
	d.host.Post(d.engine.SubmitOrder(ctx, a.Address, a.Order, base))
}
