package forwarding

import (
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/links"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/streams"
)

// A stream goes on only at replicas of the software version that began it: what two versions
// write does not fit together, and replicas do not check it. It may go on within its answer, or
// because its caller takes it up with another call.

// A streamOrigin says which replica began a stream.
type streamOrigin struct {
	known    bool
	replica  pool.Incarnation // the zero value if another call began it
	software string           // version of its software, "" if it states none
	at       clock.Instant    // when the first event arrived
	// doubtful means that the replica may have restarted as another version before it began the
	// stream.
	doubtful bool
}

// originOf returns the origin of a stream that a replica begins.
func originOf(r *pool.Replica) streamOrigin {
	return streamOrigin{known: true, replica: r.Incarnation(), software: r.Announcement().Software}
}

// fits reports whether the stream may go on at a replica. Two replicas that state no version may
// run different ones, unless no replica of the service states any.
func (o streamOrigin) fits(r *pool.Replica, serviceStates bool) bool {
	if o.doubtful {
		return false
	}
	software := r.Announcement().Software
	if o.software == "" && serviceStates {
		return r.Incarnation() == o.replica
	}
	return software == o.software
}

// A takeUp says which stream a call takes up. It is the zero value for other calls.
type takeUp struct {
	wanted bool
	stream streams.ID // 0 if the caller does not say which call began it
	asked  bool       // other instances were asked for it
}

// goesOn reports whether the call goes on with a stream of which its caller has events.
func (s *state) goesOn() bool { return s.takeUp.wanted || s.progress.answerStarted }

// rank returns how urgent the call is, 0 first. Streams that go on precede those that begin: their
// callers have waited since the stream broke, and only some replicas can serve them.
func (s *state) rank() int {
	if s.goesOn() {
		return 0
	}
	return s.route.Priority
}

// newTakeUp returns which stream a call takes up.
func newTakeUp(c *calls.Call, rule *config.Forward) takeUp {
	if rule.Kind != config.Stream || c.Forward.LastEvent == 0 && c.Forward.Resumes == "" {
		return takeUp{}
	}
	return takeUp{wanted: true, stream: streams.NewID(c.Forward.Host, c.Forward.Resumes)}
}

// candidates returns the replicas of the call's service that may serve it: if it goes on with a
// stream, those of the version that began the stream; if it begins one, those of versions at which
// streams may begin.
func (f *Forwarder) candidates(now clock.Instant, c *calls.Call) []*pool.Replica {
	s := stateOf(c)
	all := f.Pool.Serving(c.Service)
	switch {
	case s.origin.known:
		states := statesSoftware(all)
		return selectReplicas(all, func(r *pool.Replica) bool { return s.origin.fits(r, states) })
	case s.route.Kind == config.Stream:
		return selectReplicas(all, func(r *pool.Replica) bool {
			return !f.Streams.OnHold(now, streams.Origin{Service: c.Service, Software: r.Announcement().Software})
		})
	default:
		return all
	}
}

// selectReplicas returns the replicas that may returns true for. It returns the slice itself if
// these are all.
func selectReplicas(all []*pool.Replica, may func(r *pool.Replica) bool) []*pool.Replica {
	first := slices.IndexFunc(all, func(r *pool.Replica) bool { return !may(r) })
	if first < 0 {
		return all
	}
	out := slices.Clone(all[:first])
	for _, r := range all[first+1:] {
		if may(r) {
			out = append(out, r)
		}
	}
	return out
}

// statesSoftware reports whether any of the replicas states the version of its software.
func statesSoftware(replicas []*pool.Replica) bool {
	return slices.ContainsFunc(replicas, func(r *pool.Replica) bool { return r.Announcement().Software != "" })
}

// recordOrigin records which replica began the stream of a call, when its first event arrives.
func (f *Forwarder) recordOrigin(now clock.Instant, c *calls.Call) {
	s := stateOf(c)
	if s.route.Kind != config.Stream {
		return
	}
	if !s.origin.known {
		s.origin = s.lastAttempt.origin
		s.origin.at = now
	}
	o := streams.Origin{Service: c.Service, Software: s.origin.software}
	split := len(s.route.Split) > 1
	f.Streams.Begun(now, streams.NewID(c.Forward.Host, c.Forward.Name), o, s.origin.replica, split)
	f.Streams.Begun(now, s.takeUp.stream, o, s.origin.replica, split)
}

// doubtOrigin marks the stream of a call as one that is not continued, if the replica that began it
// may have restarted as another version before.
func (f *Forwarder) doubtOrigin(now clock.Instant, c *calls.Call, r *pool.Replica) {
	o := &stateOf(c).origin
	if o.known && o.replica.Name == r.Name && o.replica != r.Incarnation() && o.software != r.Announcement().Software && !f.Streams.BeganLongAgo(now, o.at) {
		o.doubtful = true
	}
}

// streamEnded records that the caller of a call's stream has all of it.
func (f *Forwarder) streamEnded(c *calls.Call) {
	s := stateOf(c)
	if s.route.Kind == config.Stream {
		f.Streams.Ended(streams.NewID(c.Forward.Host, c.Forward.Name))
		f.Streams.Ended(s.takeUp.stream)
	}
}

// resolveTakeUp finds out which version began the stream that a call takes up, and reports whether
// the call can go on. Otherwise it waits for the answers of other instances, or has ended.
func (f *Forwarder) resolveTakeUp(now clock.Instant, c *calls.Call) bool {
	s := stateOf(c)
	if !s.takeUp.wanted || s.origin.known {
		return true
	}
	q := streams.Query{ID: s.takeUp.stream, Service: c.Service}
	a := f.Streams.Find(now, q)
	switch {
	case a.Known:
		return f.takeUpAt(now, c, a.Origin, "here")
	case a.Sole && !a.Ambiguous && len(s.route.Split) == 1:
		return f.takeUpAt(now, c, a.Origin, "only_one")
	case !a.Ambiguous && q.ID != 0 && !s.takeUp.asked && f.Streams.Ask(now, c.ID, q):
		s.takeUp.asked = true
		f.Calls.EnterPhase(c, calls.AwaitingOrigin)
	default:
		f.refuseUnknownStream(c)
	}
	return false
}

// OriginFound handles the answer of other instances about the stream that a call takes up.
func (f *Forwarder) OriginFound(now clock.Instant, id calls.ID, a streams.Answer) {
	c := f.Calls.Get(id)
	if c == nil || c.Phase != calls.AwaitingOrigin {
		return
	}
	c.Phase = calls.Waiting
	switch {
	case a.Known && !f.takeUpAt(now, c, a.Origin, "peer"):
		return
	case a.Sole && len(stateOf(c).route.Split) == 1 && !f.takeUpAt(now, c, a.Origin, "peer"):
		return
	}
	f.findReplica(now, c)
}

// takeUpAt assigns a call to the service that began its stream, to go on with it at the version that
// began it, and reports whether its route allows that. known says from where the version is known,
// for the log.
func (f *Forwarder) takeUpAt(now clock.Instant, c *calls.Call, o streams.Origin, known string) bool {
	s := stateOf(c)
	f.logTakeUp(c, known, o.Software)
	service, ok := f.Config.Service(o.Service)
	if !ok || service.Announced == nil || !s.route.Names(o.Service) {
		f.Calls.Refuse(c, calls.NotRunRefusal(code.VersionGone, "its route does not lead to the service that began it", 0))
		return false
	}
	f.assign(c, service)
	s.origin = streamOrigin{known: true, software: o.Software}
	c.Priority = rankPriority(s.rank())
	f.recordArrival(now, c)
	return true
}

// awaitHold makes a stream wait that has not begun, if a replica that could serve it may begin none
// yet because the version of its software is new to this instance. It reports whether it handled the
// call.
func (f *Forwarder) awaitHold(now clock.Instant, c *calls.Call) bool {
	if !f.limitedByHold(now, c) {
		return false
	}
	if worthWaiting(now.Since(c.Arrived), 0, time.Duration(holdWaitShare*float64(c.Target))) {
		f.Calls.Enqueue(c)
		return true
	}
	if slices.ContainsFunc(f.candidates(now, c), (*pool.Replica).Usable) {
		return false
	}
	f.Calls.Refuse(c, calls.NotRunRefusal(code.NoReplica, "the versions of its replicas are not known yet", f.staggeredRetryAfter(c)))
	return true
}

// limitedByHold reports whether a replica that is ready to serve a stream may not begin it yet.
func (f *Forwarder) limitedByHold(now clock.Instant, c *calls.Call) bool {
	s := stateOf(c)
	if s.origin.known || s.route.Kind != config.Stream {
		return false
	}
	return slices.ContainsFunc(f.Pool.Serving(c.Service), func(r *pool.Replica) bool {
		ready := r.Usable() && (c.Item == "" || r.Phase(c.Item) == pool.Ready)
		return ready && f.Streams.OnHold(now, streams.Origin{Service: c.Service, Software: r.Announcement().Software})
	})
}

// holdWaitShare is the share of its latency target for which a stream waits until its replicas may
// begin one. An instance that has just started hears from its peers within moments.
const holdWaitShare = 0.5

// versionLimited reports whether replicas of the call's service are left out because they run another
// version than the one that began its stream.
func (f *Forwarder) versionLimited(now clock.Instant, c *calls.Call) bool {
	return stateOf(c).origin.known && len(f.candidates(now, c)) < len(f.Pool.Serving(c.Service))
}

// maxStreamPause returns how long callers wait for the next event of a stream before they give it
// up.
func maxStreamPause(route *config.Forward) time.Duration {
	return max(minStreamPause, pauseTargets*route.Target, pauseGaps*route.MaxEventGap)
}

// The time for which the callers of the users' platform wait for the next event: the longest of a
// fixed time and of multiples of the route's target and of its longest acceptable pause.
const (
	minStreamPause = 2 * time.Second
	pauseTargets   = 4
	pauseGaps      = 8
)

// handleNoVersion makes a stream wait that no replica of its version can go on with now, or ends
// its call at once. It waits for its model, which an engine of its version is asked to load, or for
// its adapter, if its caller may still wait when that is done. Other replicas do not help.
func (f *Forwarder) handleNoVersion(now clock.Instant, c *calls.Call) {
	s := stateOf(c)
	reachable := c.Item != "" && f.modelReachable(now, c)
	switch {
	case !slices.ContainsFunc(f.candidates(now, c), (*pool.Replica).Usable):
		f.endStream(c, "none of its replicas is left")
	case c.Item == "", reachable && s.request.adapter == "":
		f.endStream(c, "its replicas failed it, or cannot be reached")
	case reachable && !f.awaitForStream(now, c, "its adapter at its version", time.Duration(adapterExpectedShare*float64(c.Target))):
		f.endStream(c, "none of its replicas will hold the adapter in time")
	case !reachable && !f.awaitVersion(now, c):
		f.endStream(c, "none of its replicas will hold the model in time")
	}
}

// modelReachable reports whether a replica that could go on with the stream, and has not failed it,
// holds its model.
func (f *Forwarder) modelReachable(now clock.Instant, c *calls.Call) bool {
	s := stateOf(c)
	return slices.ContainsFunc(f.candidates(now, c), func(r *pool.Replica) bool {
		failed := slices.Contains(s.progress.tried, r.Incarnation()) || slices.Contains(s.progress.brokeOff, r.Incarnation())
		return !failed && r.Usable() && r.Phase(s.request.model) == pool.Ready && f.Links.Way(now, r, true, nil) != links.Unreachable
	})
}

// awaitVersion asks for a stream's model at a replica of its version, makes the stream wait for it,
// and reports whether that can be while its caller waits.
func (f *Forwarder) awaitVersion(now clock.Instant, c *calls.Call) bool {
	s := stateOf(c)
	if !s.missReported {
		s.missReported = true
		f.Demand.RecordVersionMiss(now, s.request.model, s.origin.software)
		f.Missed(now)
	}
	return f.awaitForStream(now, c, "its model at its version", f.modelETA(now, c, s))
}

// awaitForStream makes a stream wait for something that takes the expected time, and reports
// whether its caller waits as long.
func (f *Forwarder) awaitForStream(now clock.Instant, c *calls.Call, what string, expected time.Duration) bool {
	s := stateOf(c)
	if now.Since(clock.Latest(c.Arrived, s.brokenAt))+expected >= maxStreamPause(s.route) {
		return false
	}
	if !f.Calls.Queued(c) {
		f.Out.Log(logevent.CallWaits, "call", c.Forward.Name, "item", c.Item, "for", what, "software", s.origin.software)
	}
	f.Calls.Enqueue(c)
	return true
}

// endStream ends a call whose stream no replica of its version can go on with.
func (f *Forwarder) endStream(c *calls.Call, detail string) {
	s := stateOf(c)
	if c.History.RunState() != code.NotRun || s.progress.answerStarted {
		f.end(c, s, 0, "no replica of its version can go on with it: "+detail)
		return
	}
	f.Calls.Refuse(c, calls.NotRunRefusal(code.VersionGone, detail, f.staggeredRetryAfter(c)))
}

// refuseUnknownStream ends a call that takes up a stream of which nobody knows the version that
// began it.
func (f *Forwarder) refuseUnknownStream(c *calls.Call) {
	f.logTakeUp(c, "no", "")
	f.Calls.Refuse(c, calls.NotRunRefusal(code.StreamUnknown, "", f.staggeredRetryAfter(c)))
}

// logTakeUp logs from where it is known which version began the stream that a call takes up.
func (f *Forwarder) logTakeUp(c *calls.Call, known, software string) {
	f.Out.Emit(streams.TakenUp{Service: c.Service, Known: known})
	f.Out.Log(logevent.StreamTakenUp, "call", c.Forward.Name, "service", c.Service, "resumes", c.Forward.Resumes,
		"last_event", c.Forward.LastEvent, "known", known, "software", software)
}
