package instance

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/own/modelcalls"
	"github.com/birchdrift/birchdrift/core/own/planner"
	"github.com/birchdrift/birchdrift/core/pool"
)

// A Status is the state of an instance as reported to operators.
type Status struct {
	Name         string                `json:"name"`
	Zone         string                `json:"zone"`
	Ready        bool                  `json:"ready"`
	Reason       string                `json:"reason,omitempty"` // why it is not ready
	Revision     uint64                `json:"revision"`
	PlatformDown bool                  `json:"platform_down"`
	Planner      string                `json:"planner,omitempty"` // of the zone, as known to this instance
	Planning     bool                  `json:"planning"`
	LeaseValid   bool                  `json:"lease_valid"`
	Fence        uint64                `json:"fence,omitempty"`
	Calls        int                   `json:"calls"`
	Waiting      int                   `json:"waiting"`
	Moves        planner.OrderCounts   `json:"moves"`
	Peers        []PeerStatus          `json:"peers,omitempty"`
	Upstreams    []ReplicaStatus       `json:"upstreams,omitempty"`
	Demand       []DemandStatus        `json:"demand,omitempty"`
	Recent       []modelcalls.Decision `json:"recent,omitempty"`
}

// A PeerStatus is one peer as known to this instance.
type PeerStatus struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Live    bool   `json:"live"`
}

// A ReplicaStatus is one upstream as known to this instance.
type ReplicaStatus struct {
	Name         string            `json:"name"`
	Zone         string            `json:"zone"`
	Address      string            `json:"address"`
	Leaving      bool              `json:"leaving"`
	Ejected      bool              `json:"ejected"`
	Unreachable  bool              `json:"unreachable,omitempty"` // this instance cannot connect to it
	RestMS       int64             `json:"rest_ms,omitempty"`     // remaining time for which this instance must send it nothing
	Limit        *LimitStatus      `json:"limit,omitempty"`
	InFlight     int               `json:"in_flight"` // calls of this instance
	Busy         float64           `json:"busy"`      // utilization; 1 means full
	FirstTokenMS float64           `json:"first_token_ms"`
	Items        map[string]string `json:"items,omitempty"` // phase by item
	FreeMiB      int64             `json:"free_mib,omitempty"`
}

// A LimitStatus is the rate limit of a replica, as known to this instance.
type LimitStatus struct {
	PerSecond        float64 `json:"per_s"` // requests per second that it accepts from all instances together
	By               string  `json:"by"`    // the instance that received the limit in a response
	AgeMS            int64   `json:"age_ms"`
	Withdrawn        bool    `json:"ended"`       // the replica withdrew the limit; calls return to it one after the other
	GrantedPerSecond float64 `json:"given_per_s"` // requests per second that all instances together may send to it now
}

// A DemandStatus is the demand for one item at this instance.
type DemandStatus struct {
	Item    string  `json:"item"`
	Rate    float64 `json:"rate"`
	Waiting int     `json:"waiting,omitempty"`
}

// Ready reports whether the load balancer should send calls to this instance, and
// if not, the reason.
func (m *Machine) Ready() (bool, string) {
	if m.stop.Started() {
		return false, "stopping"
	}
	if !m.state.Config.Loaded() {
		return false, "no configuration from the platform or a peer yet"
	}
	return true, ""
}

// Status returns the state of the instance for operators.
func (m *Machine) Status(now clock.Instant) Status {
	ready, reason := m.Ready()
	s := Status{
		Name:         m.state.Self.Name,
		Zone:         m.state.Self.Zone,
		Ready:        ready,
		Reason:       reason,
		Revision:     m.state.Config.Revision(),
		PlatformDown: m.state.Outage.Down(),
		Calls:        m.calls.Len(),
		Waiting:      m.calls.QueueLen(),
	}
	for _, p := range m.state.Members.Peers() {
		s.Peers = append(s.Peers, PeerStatus{Name: p.Name, Zone: p.Zone, Address: p.Address, Live: p.Live(now)})
	}
	for _, r := range m.state.Pool.All() {
		s.Upstreams = append(s.Upstreams, replicaStatus(now, r))
	}
	m.env.status(now, &s)
	return s
}

func replicaStatus(now clock.Instant, r *pool.Replica) ReplicaStatus {
	s := ReplicaStatus{
		Name:         r.Name,
		Zone:         r.Zone,
		Address:      r.Address,
		Leaving:      r.Leaving(),
		Ejected:      r.Ejected(now),
		Unreachable:  r.LinkBroken(),
		RestMS:       r.RestLeft(now).Milliseconds(),
		InFlight:     r.InFlight(),
		Busy:         r.Utilization(now),
		FirstTokenMS: float64(r.TimeToFirstToken(now)) / float64(time.Millisecond),
		Items:        map[string]string{},
	}
	if rate, limited := r.RateLimit(now); limited {
		report := r.LimitReport()
		s.Limit = &LimitStatus{PerSecond: report.Limit.PerSecond, By: report.By, AgeMS: now.Since(report.At).Milliseconds(), Withdrawn: !report.Limit.Named, GrantedPerSecond: rate}
	}
	for _, it := range r.Residency.Items {
		s.Items[it.Name] = it.Phase.String()
	}
	return s
}

// status sets the fields that only the product's own environment has.
func (o *ownParts) status(now clock.Instant, s *Status) {
	s.Planner = o.planner.ZonePlanner()
	s.Planning = o.planner.IsPlanner()
	s.LeaseValid, s.Fence = o.planner.Lease(now)
	s.Moves = o.planner.OrderCounts()
	s.Recent = o.calls.RecentDecisions()
	for i := range s.Upstreams {
		s.Upstreams[i].FreeMiB = o.planner.FreeMiB(s.Upstreams[i].Name)
	}
	for _, d := range o.meter.CurrentDemand(now) {
		s.Demand = append(s.Demand, DemandStatus{Item: d.Name, Rate: d.Rate, Waiting: d.Waiting})
	}
}
