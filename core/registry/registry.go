// Package registry provides the records that instances keep in the platform's
// store: who is there, who orders which engine, who places models, and which requests
// are not run.
//
// The idea: a record is a key with a small JSON value. An instance's own record
// hangs on its lease and goes with it. An ownership outlives its owner, so that
// whoever takes an engine over knows whose orders may still be on their way.
//
// Invariant: an ownership changes hands only under the condition that it is
// still as its taker last read it, so two instances never both hold one.
package registry

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/era"
)

// Keys of the records, below the product's own part of the store.
const (
	instancePrefix   = "instances/"
	ownerPrefix      = "owners/"
	placerKey        = "placer"
	quarantinePrefix = "quarantine/"
	eraPrefix        = "eras/"
)

// An Instance is the record of one entry instance.
type Instance struct {
	Name    string `json:"-"`
	Zone    string `json:"zone"`
	Address string `json:"address"` // of its peers' listener
	Boot    uint64 `json:"boot"`
	// Processor is the share of a core that the instance may use; tasks go to
	// the instances that have most.
	Processor float64 `json:"processor,omitempty"`
}

// An Ownership says which instance orders an engine. An empty owner gave it
// back and sends no more orders.
type Ownership struct {
	Engine string `json:"-"`
	Owner  string `json:"owner"`
	Boot   uint64 `json:"boot"` // of the owner when it took the engine
	// FormerOwner is whose orders may still be on their way: the owner before, or
	// Returned. It is cleared by the owner once they cannot be any more. A
	// write may take effect without an answer, so an owner that finds its own
	// name in a record must be able to tell what it has to wait for.
	FormerOwner string `json:"former,omitempty"`
	// QuietMS is, of an engine that was given back, for how many milliseconds
	// it had been sent no order then.
	QuietMS int64 `json:"quiet_ms,omitempty"`
	// Era is the one of the store that the record was meant for.
	Era      era.Era      `json:"era,omitempty"`
	Revision era.Revision `json:"-"` // of the record; the fence of its orders
}

// Formers that are no owner's name.
const (
	FormerReleased = "-" // its owner gave the engine back
	FormerUnknown  = "?" // the store went back, and has lost who owned the engine last
)

// A Placer says which instance places models. Its record hangs on the lease of
// that instance. An empty name gave the task back, at a planned stop, and gives no
// more orders; that record hangs on no lease.
type Placer struct {
	Name string `json:"name"`
	Boot uint64 `json:"boot"`
	// Loads is, of a task that was given back, how many loads from the weight store
	// may begin at once; less than 0 while none may.
	Loads float64 `json:"loads,omitempty"`
	// Era is the one of the store that the record was meant for.
	Era      era.Era      `json:"era,omitempty"`
	Revision era.Revision `json:"-"`
}

// A Quarantine says that a request is not run, since replicas ended under it. Its
// record hangs on a lease of its own, and goes when the quarantine is over.
type Quarantine struct {
	Request  crash.Fingerprint `json:"-"`
	Replicas int               `json:"replicas"` // that ended
}

// An EraRecord stands for one era of the store. Claims depend on it, so none that was meant for
// another era can be carried out while it stands.
type EraRecord struct {
	Era era.Era `json:"-"`
	// First says that no record of ours can have been lost with an era before.
	First    bool         `json:"first,omitempty"`
	Revision era.Revision `json:"-"`
}

// Key returns the key of the era's record.
func (m EraRecord) Key() string { return eraPrefix + strconv.FormatUint(uint64(m.Era), 10) }

// MaxClaims is the most ownerships that one write holds: each is a condition
// and a value, and stores bound the two together.
const MaxClaims = 15

// A Record is one of the registry's values as the store holds it.
type Record struct {
	Key      string
	Data     []byte
	Revision era.Revision // of its last change; rises over the whole store
	Gone     bool         // it was there and is not any more
}

// A Change is news of the registry.
type Change struct {
	Instances     []Instance
	GoneInstances []string
	Owners        []Ownership
	GoneOwners    []string
	Placer        *Placer // set if it changed
	PlacerGone    bool
	Quarantines   []Quarantine
	Marks         []EraRecord
	Unreadable    []string // keys of records that cannot be read, and are passed over
}

// ChangeOf returns what records change. Of several with one key the last counts, so
// they must be in the order of their revisions: news may bring that a record went
// and that it was written anew. Records of kinds that this version of the program
// does not know are passed over.
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

// addQuarantine reads a quarantine's record. One that went says nothing: each instance
// knows itself when a quarantine is over.
func (c *Change) addQuarantine(key string, value []byte, gone bool) {
	if gone {
		return
	}
	request, err := strconv.ParseUint(strings.TrimPrefix(key, quarantinePrefix), 16, 64)
	q := Quarantine{Request: crash.Fingerprint(request)}
	if err != nil || request == 0 || json.Unmarshal(value, &q) != nil {
		c.Unreadable = append(c.Unreadable, key)
		return
	}
	c.Quarantines = append(c.Quarantines, q)
}

// addEraRecord reads an era's record. One that went is of an era that is over.
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

// A Value is a key with the bytes to write there.
type Value struct {
	Key  string
	Data []byte
}

// Value returns the instance's record.
func (i Instance) Value() Value { return value(instancePrefix+i.Name, i) }

// Value returns the ownership's record.
func (o Ownership) Value() Value { return value(ownerPrefix+o.Engine, o) }

// Value returns the placer's record.
func (p Placer) Value() Value { return value(placerKey, p) }

// Value returns the era's record.
func (m EraRecord) Value() Value { return value(m.Key(), m) }

// Value returns the quarantine's record.
func (q Quarantine) Value() Value { return value(quarantinePrefix+q.Request.String(), q) }

func value(key string, record any) Value {
	data, err := json.Marshal(record)
	if err != nil {
		panic("registry: a record of plain fields cannot be encoded: " + err.Error())
	}
	return Value{Key: key, Data: data}
}
