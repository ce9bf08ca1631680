package ownership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/registry"
)

// released returns the engines that the Registry released in this step.
func (r *Registry) released() []registry.Ownership {
	var out []registry.Ownership
	for _, a := range r.Out.Actions() {
		if w, ok := a.(Write); ok {
			out = append(out, w.Write.Release...)
		}
	}
	r.Out.Reset()
	return out
}

// TestUnreachableEnginesAreReleased checks that an owner that has lost its link to an engine
// releases it if a peer reaches it, and sends it no orders any more. Nobody could order such an
// engine for as long as the link was broken.
func TestUnreachableEnginesAreReleased(t *testing.T) {
	cases := []struct {
		name      string
		broken    bool
		brokenFor time.Duration
		peerLost  bool
		want      bool
	}{
		{"the link works", false, time.Minute, false, false},
		{"the link broke a moment ago", true, releaseDelay / 2, false, false},
		{"the link is broken", true, releaseDelay, false, true},
		{"no instance reaches the engine", true, releaseDelay, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := clocktest.At(time.Hour)
			r := testRegistry(now)
			o := registry.Ownership{Engine: "e", Owner: "self", Boot: 1, Revision: 7}
			r.owners["e"] = o
			r.Owned.MayOrder = func(clock.Instant, era.Revision) bool { return true }
			r.Owned.Acquire(now, o, now)
			if c.broken {
				r.Links.Failed(now, r.Pool.Get("e"), true)
			}
			later := now.Add(c.brokenFor)
			r.Members.Upsert("peer", "z", "peer")
			r.Members.MarkHeard(later, "peer")
			r.Links.ObservePeer(later, "peer", true, []gossip.LinkReport{{Service: "llm", Lost: c.peerLost}})
			r.Out.Reset()
			is.Equal(r.releaseUnreachable(later), c.want)
			released := r.released()
			if !c.want {
				is.Equal(len(released), 0)
				is.Equal(r.Owned.Len(), 1)
				return
			}
			is.Equal(len(released), 1)
			is.Equal(released[0].Owner, "")
			is.Equal(released[0].Revision, o.Revision)
			is.Equal(r.Owned.Len(), 0)
			is.True(r.releaseUnreachable(later)) // the outcome of the write is unknown
			r.HandleWriteReply(later, WriteReply{Write: Txn{Release: released}, Revision: 9})
			is.True(!r.releaseUnreachable(later))
			_, claims := r.claimOf(later, r.Pool.Get("e"), func() []candidate { return nil })
			is.True(!claims) // it could not order the engine
		})
	}
}

// Guards against engines that nobody can order because their owner has restarted while it cannot
// reach them: their records still name it, with its former boot.
func TestEnginesOfAFormerBootAreReleased(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	r := testRegistry(now)
	r.owners["e"] = registry.Ownership{Engine: "e", Owner: "self", Boot: r.Self.Boot - 1, Revision: 7}
	r.Links.Failed(now, r.Pool.Get("e"), true)
	later := now.Add(releaseDelay)
	r.Members.Upsert("peer", "z", "peer")
	r.Members.MarkHeard(later, "peer")
	r.Links.ObservePeer(later, "peer", true, nil)
	r.Out.Reset()
	is.True(r.releaseUnreachable(later))
	released := r.released()
	is.Equal(len(released), 1)
	is.Equal(released[0].Owner, "")
}
