// Package registry defines the records that instances keep in the platform's
// store: the instances, the owner of each engine, the placer, the quarantined requests,
// the eras of the store, and that the fleet has run.
//
// A record is a key with a small JSON value. An instance's own record is attached
// to its lease and is deleted with it. An ownership record outlives its owner, so
// that the next owner knows whose orders may still be in flight.
//
// Invariant: an ownership record is overwritten only if its revision is still the
// one that the new owner last read, so two instances never both own an engine.
package registry

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/era"
)

// Keys of the records, relative to the product's key prefix in the store.
const (
	instancePrefix   = "instances/"
	ownerPrefix      = "owners/"
	placerKey        = "placer"
	quarantinePrefix = "quarantine/"
	eraPrefix        = "eras/"
	fleetKey         = "fleet"
)

// An Instance is the record of one entry instance.
type Instance struct {
	Name    string `json:"-"`
	Zone    string `json:"zone"`
	Address string `json:"address"` // of its peers' listener
	Boot    uint64 `json:"boot"`
	// Processor is the CPU quota of the instance in cores. Instances with a
	// larger quota are preferred for tasks.
	Processor float64 `json:"processor,omitempty"`
	// HoldsVersions reports that the instance begins no streams at a version of replicas'
	// software that other instances may not have heard of (core/streams).
	HoldsVersions bool `json:"holds_versions,omitempty"`
}

// An Ownership is the record that names the owner of an engine: the only instance
// that may send it orders. An empty Owner means that the last owner released the
// engine and sends no more orders.
type Ownership struct {
	Engine string `json:"-"`
	Owner  string `json:"owner"`
	Boot   uint64 `json:"boot"` // of the owner when it claimed the engine
	// FormerOwner names the instance whose orders may still be in flight: the
	// previous owner, FormerReleased or FormerUnknown. The owner clears it once no
	// such order can arrive any more. A write may take effect although its reply is
	// lost, so an owner that finds its own name in a record must be able to tell
	// from the record how long it has to wait.
	FormerOwner string `json:"former,omitempty"`
	// QuietMS is the number of milliseconds for which a released engine had been
	// sent no order when it was released.
	QuietMS int64 `json:"quiet_ms,omitempty"`
	// Era is the store era that the record was written for.
	Era      era.Era      `json:"era,omitempty"`
	Revision era.Revision `json:"-"` // of the record; the fence of its orders
}

// Values of Ownership.FormerOwner that are not the name of an instance.
const (
	FormerReleased = "-" // the previous owner released the engine
	FormerUnknown  = "?" // the store was restored from an older copy and has lost the last owner
)

// A Placer is the record that names the placer, the instance that places models. It
// is attached to the lease of that instance. An empty Name means that the last placer
// released the task at a planned stop and requests no more orders; such a record is
// attached to no lease.
type Placer struct {
	Name string `json:"name"`
	Boot uint64 `json:"boot"`
	// Loads is, in a released record, the number of loads from the weight store that
	// may start at once. It is negative if none may start yet.
	Loads float64 `json:"loads,omitempty"`
	// Era is the store era that the record was written for.
	Era      era.Era      `json:"era,omitempty"`
	Revision era.Revision `json:"-"`
}

// A Quarantine is the record of a cause with which requests are not run, because replicas
// terminated while they were running such requests. It is attached to a lease of its own and is
// deleted when the quarantine ends.
type Quarantine struct {
	ID       crash.CauseID `json:"-"`
	Replicas int           `json:"replicas"`         // number of replicas that terminated
	Traits   []crash.Trait `json:"traits,omitempty"` // of the cause, unless it is a whole request
}

// Cause returns the cause of the quarantine.
func (q Quarantine) Cause() crash.Cause {
	if len(q.Traits) == 0 {
		return crash.Cause{crash.Trait(q.ID)}
	}
	return crash.Cause(q.Traits)
}

// An EraRecord is the record of the store's current era. Claims are written on the condition
// that it is unchanged, so a claim meant for another era cannot take effect while it exists.
type EraRecord struct {
	Era era.Era `json:"-"`
	// First says that no record of the product can have been lost with an earlier era.
	First    bool         `json:"first,omitempty"`
	Revision era.Revision `json:"-"`
}

// Key returns the key of the era's record.
func (r EraRecord) Key() string { return eraPrefix + strconv.FormatUint(uint64(r.Era), 10) }

// A FleetRecord is the record that an instance of the fleet has run. It is created once, outlives all
// instances, and names the instance that created it.
type FleetRecord struct {
	Name string `json:"name"`
	Boot uint64 `json:"boot"`
	// Era is the store era that the record was written for.
	Era era.Era `json:"era,omitempty"`
}

// MaxClaims is the maximum number of ownerships in one write. Each needs a condition
// and a value, and stores limit the total number of both.
const MaxClaims = 15

// A Record is a registry record as the store holds it.
type Record struct {
	Key      string
	Data     []byte
	Revision era.Revision // of its last change; increases store-wide
	Gone     bool         // the record was deleted
}

// A Change lists what changed in the registry, decoded by kind of record.
type Change struct {
	Instances     []Instance
	GoneInstances []string
	Owners        []Ownership
	GoneOwners    []string
	Placer        *Placer // set if it changed
	PlacerGone    bool
	Quarantines   []Quarantine
	Marks         []EraRecord
	Fleet         *FleetRecord // set if it changed
	Unreadable    []string     // keys of records that cannot be decoded and are ignored
}

// ChangeOf decodes records into a Change. Of several records with the same key only the
// last counts, so records must be sorted by revision: one update may contain both the
// deletion of a record and its recreation. Records of kinds that this version of the
// program does not know are ignored.
func ChangeOf(records []Record) Change {
	last := make(map[string]int, len(records))
	for i, r := range records {
		last[r.Key] = i
	}
	var c Change
	for i, r := range records {
		if last[r.Key] == i {
			c.add(r)
		}
	}
	return c
}

func (c *Change) add(r Record) {
	switch {
	case r.Key == placerKey:
		c.addPlacer(r.Data, r.Revision, r.Gone)
	case r.Key == fleetKey:
		c.addFleetRecord(r)
	case strings.HasPrefix(r.Key, instancePrefix):
		c.addInstance(strings.TrimPrefix(r.Key, instancePrefix), r.Data, r.Gone)
	case strings.HasPrefix(r.Key, quarantinePrefix):
		c.addQuarantine(r.Key, r.Data, r.Gone)
	case strings.HasPrefix(r.Key, eraPrefix):
		c.addEraRecord(r)
	case strings.HasPrefix(r.Key, ownerPrefix):
		c.addOwner(strings.TrimPrefix(r.Key, ownerPrefix), r.Data, r.Revision, r.Gone)
	}
}

func (c *Change) addPlacer(value []byte, revision era.Revision, gone bool) {
	if gone {
		c.PlacerGone = true
		return
	}
	p := Placer{Revision: revision}
	if json.Unmarshal(value, &p) != nil {
		c.Unreadable = append(c.Unreadable, placerKey)
		return
	}
	c.Placer = &p
}

func (c *Change) addInstance(name string, value []byte, gone bool) {
	if gone {
		c.GoneInstances = append(c.GoneInstances, name)
		return
	}
	i := Instance{Name: name}
	if json.Unmarshal(value, &i) != nil {
		c.Unreadable = append(c.Unreadable, instancePrefix+name)
		return
	}
	c.Instances = append(c.Instances, i)
}

// addQuarantine decodes a quarantine's record. Deletions are ignored, since each
// instance computes the end of a quarantine itself.
func (c *Change) addQuarantine(key string, value []byte, gone bool) {
	if gone {
		return
	}
	id, err := strconv.ParseUint(strings.TrimPrefix(key, quarantinePrefix), 16, 64)
	q := Quarantine{ID: crash.CauseID(id)}
	if err != nil || id == 0 || json.Unmarshal(value, &q) != nil || !slices.IsSorted(q.Traits) || slices.Contains(q.Traits, 0) {
		c.Unreadable = append(c.Unreadable, key)
		return
	}
	c.Quarantines = append(c.Quarantines, q)
}

// addEraRecord decodes an era's record. Deletions are ignored, since only records of
// former eras are deleted.
func (c *Change) addEraRecord(r Record) {
	if r.Gone {
		return
	}
	n, err := strconv.ParseUint(strings.TrimPrefix(r.Key, eraPrefix), 10, 64)
	m := EraRecord{Era: era.Era(n), Revision: r.Revision}
	if err != nil || n > era.MaxEra || json.Unmarshal(r.Data, &m) != nil {
		c.Unreadable = append(c.Unreadable, r.Key)
		return
	}
	c.Marks = append(c.Marks, m)
}

// addFleetRecord decodes the fleet's record. One that cannot be decoded names no instance. Deletions are
// ignored, since the fleet has run all the same.
func (c *Change) addFleetRecord(r Record) {
	if r.Gone {
		return
	}
	c.Fleet = &FleetRecord{}
	if json.Unmarshal(r.Data, c.Fleet) != nil {
		c.Fleet = &FleetRecord{}
		c.Unreadable = append(c.Unreadable, fleetKey)
	}
}

func (c *Change) addOwner(engine string, value []byte, revision era.Revision, gone bool) {
	if gone {
		c.GoneOwners = append(c.GoneOwners, engine)
		return
	}
	o := Ownership{Engine: engine, Revision: revision}
	if json.Unmarshal(value, &o) != nil {
		c.Unreadable = append(c.Unreadable, ownerPrefix+engine)
		return
	}
	c.Owners = append(c.Owners, o)
}

// A Value is a key with the bytes to store under it.
type Value struct {
	Key  string
	Data []byte
}

// Value encodes the instance's record.
func (i Instance) Value() Value { return value(instancePrefix+i.Name, i) }

// Value encodes the ownership's record.
func (o Ownership) Value() Value { return value(ownerPrefix+o.Engine, o) }

// Value encodes the placer's record.
func (p Placer) Value() Value { return value(placerKey, p) }

// Value encodes the fleet's record.
func (f FleetRecord) Value() Value { return value(fleetKey, f) }

// Value encodes the era's record.
func (r EraRecord) Value() Value { return value(r.Key(), r) }

// Value encodes the quarantine's record.
func (q Quarantine) Value() Value { return value(quarantinePrefix+q.ID.String(), q) }

// value encodes record under key. It panics on failure, which cannot happen, since records
// consist of plain fields only.
func value(key string, record any) Value {
	data, err := json.Marshal(record)
	if err != nil {
		panic("registry: cannot encode a record: " + err.Error())
	}
	return Value{Key: key, Data: data}
}
