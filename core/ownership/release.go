package ownership

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/links"
	"github.com/birchdrift/birchdrift/core/registry"
)

// Release of engines that this instance cannot reach, so that an instance that does can own them.

// releaseDelay is how long an owner must have failed to connect to its engine: longer than a
// replica that falls silent for a moment takes to answer again.
const releaseDelay = 1500 * time.Millisecond

// releaseUnreachable releases the engines whose records name this instance, also from before it
// restarted, and which it has not reached for releaseDelay, if another instance reaches them. It
// reports whether there were any. The record of an engine names this instance until the release has
// taken effect, so one whose outcome is unknown is repeated.
func (r *Registry) releaseUnreachable(now clock.Instant) bool {
	var released []registry.Ownership
	for _, replica := range r.Pool.All() {
		o, owned := r.owners[replica.Name]
		if !owned || o.Owner != r.Self.Name || r.era.isStale(o.Era) || len(released) == registry.MaxClaims {
			continue
		}
		if replica.LinkBrokenFor(now) < releaseDelay || r.Links.Way(now, replica, true, nil) != links.Relayed {
			continue
		}
		released = append(released, r.release(now, replica.Name))
		r.Owned.Lose(now, replica.Name, "this instance cannot reach it")
	}
	if len(released) == 0 {
		return false
	}
	r.claims.inFlight = true
	r.Out.Emit(Write{Write: Txn{Release: released, Depends: r.era.recordRevision()}})
	return true
}

// release returns the record of an engine without an owner. It keeps the former owner while that
// one's orders may still be in flight.
func (r *Registry) release(now clock.Instant, engine string) registry.Ownership {
	old := r.owners[engine]
	release := registry.Ownership{Engine: engine, FormerOwner: old.FormerOwner, Era: r.era.current, Revision: old.Revision}
	if e := r.Owned.Get(engine); e != nil {
		release.QuietMS = e.SinceLastOrder(now).Milliseconds()
	}
	return release
}

// handleReleaseReply handles the result of a write of releases.
func (r *Registry) handleReleaseReply(now clock.Instant, e WriteReply) {
	r.claims.inFlight = false
	if e.Err != nil {
		r.Outage.Observe(now, e.Err)
		return
	}
	if e.Conflict || r.era.isFormer(e.Revision) {
		return
	}
	for _, o := range e.Write.Release {
		o.Revision = e.Revision
		r.owners[o.Engine] = o
		r.learnedAt[o.Engine] = now
	}
}
