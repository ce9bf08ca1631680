package keyvalue

import (
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/gossip"
)

// Paths of the platform's API.
const (
	PathValue     = "/v1/kv/"       // + key: GET (with after, wait), PUT (with expect, ttl), DELETE (with expect)
	PathLease     = "/v1/leases/"   // + name: POST, DELETE
	PathInstances = "/v1/instances" // GET (with since, wait)
)

// Headers of the platform's responses.
const (
	// HeaderRevision carries the revision of a value; 0 if there is no value.
	HeaderRevision = "Platform-Revision"
)

// A LeaseRequest requests a lease, or renews it.
type LeaseRequest struct {
	Holder string `json:"holder"`
	TermMS int64  `json:"term_ms"`
	Renew  uint64 `json:"renew,omitempty"` // fence of the grant to renew
}

// A LeaseReply answers a LeaseRequest.
type LeaseReply struct {
	Granted bool   `json:"granted"`
	Fence   uint64 `json:"fence"`
	Holder  string `json:"holder"`
}

// An Instance is one entry of the platform's list.
type Instance struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"` // entry, upstream
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`   // live, leaving, gone
	Version uint64 `json:"version"` // of the list at the entry's last change
}

// An InstanceList holds the entries of the platform's list that changed after the requested
// version.
type InstanceList struct {
	Version   uint64     `json:"version"` // pass it as since to request the next changes
	Instances []Instance `json:"instances"`
}

// Kinds and states of an Instance.
const (
	KindEntry    = "entry"
	KindUpstream = "upstream"
	StateLive    = "live"
	StateLeaving = "leaving"
	StateGone    = "gone"
)

// decode returns the entry as the state machine represents it.
func (i Instance) decode() gossip.Listed {
	kind := gossip.Upstream
	if i.Kind == KindEntry {
		kind = gossip.Entry
	}
	return gossip.Listed{
		Name:    i.Name,
		Kind:    kind,
		Zone:    i.Zone,
		Address: i.Address,
		Leaving: i.State == StateLeaving,
		Gone:    i.State == StateGone,
		Version: era.Revision(i.Version),
	}
}
