// Package links tracks which replicas this instance reaches over its own links.
//
// That an instance cannot connect to a replica says nothing about the replica: the instance may
// be partitioned from it while others are not. A replica that has ended is unreachable from all
// instances; a broken link concerns one.
package links

import (
	"maps"
	"slices"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/shared"
)

// Changed is the action that reports how many replicas of a service this instance cannot reach.
type Changed struct {
	Service     string
	Unreachable int
}

// IsAction implements step.Action.
func (Changed) IsAction() {}

// A Tracker tracks an instance's links.
type Tracker struct {
	shared.State
	services map[string]*serviceLinks
}

// serviceLinks is the state of the links to the replicas of one service.
type serviceLinks struct {
	unreachable int           // replicas
	lostSince   clock.Instant // since when most replicas are unreachable; zero: they are not
	failed      int           // connection attempts that failed since then
}

// New returns a tracker without any links.
func New(state shared.State) *Tracker {
	return &Tracker{State: state, services: map[string]*serviceLinks{}}
}

// Failed records that a connection to a replica could not be established.
func (t *Tracker) Failed(now clock.Instant, r *pool.Replica, timedOut bool) {
	r.LinkFailed(now, timedOut)
	t.service(r.Service).failed++
	t.update(now, r.Service)
}

// Proven records that a replica answered a request that was sent at sent.
func (t *Tracker) Proven(now clock.Instant, r *pool.Replica, sent clock.Instant) {
	broken := r.LinkBroken()
	r.LinkProven(now, sent)
	if broken && !r.LinkBroken() {
		t.update(now, r.Service)
	}
}

// Tick accounts for replicas that were announced or have left.
func (t *Tracker) Tick(now clock.Instant) {
	for _, service := range slices.Sorted(maps.Keys(t.services)) {
		t.update(now, service)
	}
}

func (t *Tracker) service(name string) *serviceLinks {
	s := t.services[name]
	if s == nil {
		s = &serviceLinks{}
		t.services[name] = s
	}
	return s
}

// update recomputes the state of the links to a service, and logs when this instance loses most
// of them and when they are back.
func (t *Tracker) update(now clock.Instant, service string) {
	s := t.service(service)
	unreachable, replicas := t.count(service)
	if unreachable != s.unreachable {
		s.unreachable = unreachable
		t.Out.Emit(Changed{Service: service, Unreachable: unreachable})
	}
	lost := 2*unreachable > replicas
	switch {
	case lost && s.lostSince.IsZero():
		s.lostSince = now
		t.Out.Log(logevent.LinksLost, "service", service, "unreachable", unreachable, "replicas", replicas)
	case !lost && !s.lostSince.IsZero():
		t.Out.Log(logevent.LinksBack, "service", service, "lasted_ms", now.Since(s.lostSince).Milliseconds(), "failed", s.failed)
		s.lostSince = clock.Instant{}
		s.failed = 0
	}
}

// count returns how many usable replicas a service has, and how many of them are unreachable.
func (t *Tracker) count(service string) (unreachable, replicas int) {
	for _, r := range t.Pool.Serving(service) {
		if !r.Usable() {
			continue
		}
		replicas++
		if r.LinkBroken() {
			unreachable++
		}
	}
	return unreachable, replicas
}
