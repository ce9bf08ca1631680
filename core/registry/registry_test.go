package registry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/crash"

	"github.com/birchdrift/birchdrift/core/era"
)

// TestLastRecordOfAKeyWins checks that the last of several records with the same key
// takes effect. One update may contain both the deletion and the recreation of a
// record, as after an outage in which the platform dropped every record. The deletion
// once took precedence: recreated instances were treated as absent, and instances kept
// taking over each other's engines.
func TestLastRecordOfAKeyWins(t *testing.T) {
	written := func(v Value, revision era.Revision) Record {
		return Record{Key: v.Key, Data: v.Data, Revision: revision}
	}
	gone := func(v Value, revision era.Revision) Record {
		return Record{Key: v.Key, Revision: revision, Gone: true}
	}
	instance := Instance{Name: "i"}.Value()
	owner := Ownership{Engine: "e", Owner: "i"}.Value()
	placer := Placer{Name: "i"}.Value()
	for _, tt := range []struct {
		name  string
		value Value
	}{
		{"instance", instance},
		{"owner", owner},
		{"placer", placer},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			recreated := ChangeOf([]Record{gone(tt.value, 1), written(tt.value, 2)})
			is.Equal(len(recreated.Instances)+len(recreated.Owners)+placers(recreated), 1)
			is.Equal(len(recreated.GoneInstances)+len(recreated.GoneOwners), 0)
			is.True(!recreated.PlacerGone)

			deleted := ChangeOf([]Record{written(tt.value, 1), gone(tt.value, 2)})
			is.Equal(len(deleted.Instances)+len(deleted.Owners)+placers(deleted), 0)
			is.True(len(deleted.GoneInstances)+len(deleted.GoneOwners) == 1 || deleted.PlacerGone)
		})
	}
}

// placers returns the number of placer records in c, which is 0 or 1.
func placers(c Change) int {
	if c.Placer == nil {
		return 0
	}
	return 1
}

// TestQuarantineRoundTrip checks that an encoded quarantine is decoded unchanged, that
// its deletion yields no change, and that invalid records are listed as unreadable.
func TestQuarantineRoundTrip(t *testing.T) {
	is := is.New(t)
	part := Quarantine{ID: 9, Replicas: 5, Traits: []crash.Trait{3, 1<<63 + 5}}
	is.Equal(part.Cause(), crash.Cause{3, 1<<63 + 5})
	encoded := part.Value()
	is.Equal(ChangeOf([]Record{{Key: encoded.Key, Data: encoded.Data, Revision: 1}}), Change{Quarantines: []Quarantine{part}})
	q := Quarantine{ID: 1<<63 + 5, Replicas: 3}
	is.Equal(q.Cause(), crash.Cause{1<<63 + 5})
	v := q.Value()
	is.Equal(ChangeOf([]Record{{Key: v.Key, Data: v.Data, Revision: 1}}), Change{Quarantines: []Quarantine{q}})
	is.Equal(ChangeOf([]Record{{Key: v.Key, Revision: 2, Gone: true}}), Change{})
	for _, r := range []Record{
		{Key: quarantinePrefix + "no number", Data: v.Data},
		{Key: quarantinePrefix + "0", Data: v.Data},
		{Key: v.Key, Data: []byte("[]")},
		{Key: v.Key, Data: []byte(`{"replicas":3,"traits":[2,1]}`)},
		{Key: v.Key, Data: []byte(`{"replicas":3,"traits":[0]}`)},
	} {
		is.Equal(ChangeOf([]Record{r}), Change{Unreadable: []string{r.Key}})
	}
}
