package forwarding

import (
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/pool"
)

// A stream goes on only at replicas of the software version that began it: what two versions
// write does not fit together, and replicas do not check it.

// A streamOrigin says which replica began a stream.
type streamOrigin struct {
	known    bool
	replica  pool.Incarnation
	software string // version of its software, "" if it states none
}

// originOf returns the origin of a stream that a replica begins.
func originOf(r *pool.Replica) streamOrigin {
	return streamOrigin{known: true, replica: r.Incarnation(), software: r.Announcement().Software}
}

// fits reports whether the stream may go on at a replica. Two replicas that state no version may
// run different ones, unless no replica of the service states any.
func (o streamOrigin) fits(r *pool.Replica, serviceStates bool) bool {
	software := r.Announcement().Software
	if o.software == "" && serviceStates {
		return r.Incarnation() == o.replica
	}
	return software == o.software
}

// candidates returns the replicas of the call's service that may serve it: all of them, or if it
// goes on with a stream, those of the version that began the stream.
func (f *Forwarder) candidates(c *calls.Call) []*pool.Replica {
	all := f.Pool.Serving(c.Service)
	origin := stateOf(c).origin
	if !origin.known {
		return all
	}
	states := statesSoftware(all)
	var fitting []*pool.Replica
	for _, r := range all {
		if origin.fits(r, states) {
			fitting = append(fitting, r)
		}
	}
	return fitting
}

// statesSoftware reports whether any of the replicas states the version of its software.
func statesSoftware(replicas []*pool.Replica) bool {
	for _, r := range replicas {
		if r.Announcement().Software != "" {
			return true
		}
	}
	return false
}

// recordOrigin records which replica began the stream of a call, when its first event arrives.
func (f *Forwarder) recordOrigin(c *calls.Call) {
	s := stateOf(c)
	if s.route.Kind == config.Stream && !s.origin.known {
		s.origin = s.lastAttempt.origin
	}
}
