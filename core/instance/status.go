package instance

import (
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/route"
)

// A Status is what an instance says of itself to operators.
type Status struct {
	Name         string          `json:"name"`
	Zone         string          `json:"zone"`
	Ready        bool            `json:"ready"`
	Reason       string          `json:"reason,omitempty"` // why it is not ready
	Revision     uint64          `json:"revision"`
	PlatformDown bool            `json:"platform_down"`
	Planner      string          `json:"planner,omitempty"` // of the zone, as known here
	Planning     bool            `json:"planning"`
	LeaseValid   bool            `json:"lease_valid"`
	Fence        uint64          `json:"fence,omitempty"`
	Calls        int             `json:"calls"`
	Waiting      int             `json:"waiting"`
	Moves        Moves           `json:"moves"`
	Peers        []PeerStatus    `json:"peers,omitempty"`
	Upstreams    []ReplicaStatus `json:"upstreams,omitempty"`
	Demand       []DemandStatus  `json:"demand,omitempty"`
	Recent       []Decision      `json:"recent,omitempty"`
}

// A PeerStatus is one peer as known here.
type PeerStatus struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Live    bool   `json:"live"`
}

// A ReplicaStatus is one upstream as known here.
type ReplicaStatus struct {
	Name     string            `json:"name"`
	Zone     string            `json:"zone"`
	Address  string            `json:"address"`
	Leaving  bool              `json:"leaving"`
	Ejected  bool              `json:"ejected"`
	InFlight int               `json:"in_flight"` // of this instance
	Busy     float64           `json:"busy"`      // 1 is full
	FirstMS  float64           `json:"first_token_ms"`
	Items    map[string]string `json:"items,omitempty"` // phase by item
	FreeMiB  int64             `json:"free_mib,omitempty"`
}

// A DemandStatus is the demand for one item at this instance.
type DemandStatus struct {
	Item    string  `json:"item"`
	Rate    float64 `json:"rate"`
	Waiting int     `json:"waiting,omitempty"`
}

// A Decision is one choice of a replica, kept for `birchctl explain`.
type Decision struct {
	At       time.Time `json:"at"`
	Call     uint64    `json:"call"`
	Service  string    `json:"service"`
	Item     string    `json:"item,omitempty"`
	Attempt  int       `json:"attempt"`
	Replica  string    `json:"replica"`
	QueueMS  float64   `json:"queue_ms"`
	Prefill  float64   `json:"prefill_ms"`
	Network  float64   `json:"network_ms"`
	Slow     float64   `json:"slow_ms"`
	Cached   int       `json:"cached_tokens,omitempty"`
	WaitedMS float64   `json:"waited_ms"`
}

// decisions is a ring of the latest choices.
type decisions struct {
	ring []Decision
	next int
}

const decisionsKept = 256

func newDecisions() *decisions { return &decisions{} }

func (d *decisions) add(now clock.Instant, c *call, e route.Estimate) {
	x := Decision{
		At:       now.Wall,
		Call:     uint64(c.ID),
		Service:  c.Service,
		Item:     c.item,
		Attempt:  c.history.Attempts,
		Replica:  e.Replica.Name,
		QueueMS:  millis(e.Queue),
		Prefill:  millis(e.Prefill),
		Network:  millis(e.Network),
		Slow:     millis(e.Slow),
		Cached:   e.Cached,
		WaitedMS: millis(now.Since(c.arrived)),
	}
	if len(d.ring) < decisionsKept {
		d.ring = append(d.ring, x)
		return
	}
	d.ring[d.next] = x
	d.next = (d.next + 1) % decisionsKept
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Ready reports whether the balancer should send calls here, and if not, why.
func (m *Machine) Ready() (bool, string) {
	if m.stop.begun {
		return false, "stopping"
	}
	if m.cfg == nil {
		return false, "no configuration from the platform or a peer yet"
	}
	return true, ""
}

// Status returns the machine's state for operators.
func (m *Machine) Status(now clock.Instant) Status {
	m.now = now
	ready, reason := m.Ready()
	s := Status{
		Name:         m.self.Name,
		Zone:         m.self.Zone,
		Ready:        ready,
		Reason:       reason,
		Revision:     m.cfg.Revision(),
		PlatformDown: m.platform.down,
		Planner:      m.store.Holder(m.self.Zone).Instance,
		Planning:     m.planning(),
		LeaseValid:   m.lease.Valid(now),
		Fence:        m.lease.Fence(),
		Calls:        len(m.calls),
		Waiting:      len(m.line),
		Moves:        m.planner.moves,
		Recent:       m.recent.ring,
	}
	for _, p := range m.members.Peers() {
		s.Peers = append(s.Peers, PeerStatus{Name: p.Name, Zone: p.Zone, Address: p.Address, Live: p.Live(now)})
	}
	for _, r := range m.pool.All() {
		s.Upstreams = append(s.Upstreams, m.replicaStatus(r.Name))
	}
	for _, d := range m.meter.Items(now) {
		s.Demand = append(s.Demand, DemandStatus{Item: d.Name, Rate: d.Rate, Waiting: d.Waiting})
	}
	return s
}

func (m *Machine) replicaStatus(name string) ReplicaStatus {
	r := m.pool.Get(name)
	s := ReplicaStatus{
		Name:     r.Name,
		Zone:     r.Zone,
		Address:  r.Address,
		Leaving:  r.Leaving(),
		Ejected:  r.Ejected(m.now),
		InFlight: r.InFlight(),
		Busy:     r.Busy(m.now),
		FirstMS:  millis(r.FirstToken(m.now)),
		Items:    map[string]string{},
	}
	for _, it := range r.Residency.Items {
		s.Items[it.Name] = it.Phase.String()
	}
	if l := m.planner.ledgers[name]; l != nil {
		s.FreeMiB = l.Free()
	}
	return s
}

func (m *Machine) sortedCalls() []*call {
	calls := make([]*call, 0, len(m.calls))
	for _, c := range m.calls {
		calls = append(calls, c)
	}
	sort.Slice(calls, func(i, j int) bool { return calls[i].ID < calls[j].ID })
	return calls
}
