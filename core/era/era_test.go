package era

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// TestRevisionsOrderByEra: however the store's own numbers went back.
func TestRevisionsOrderByEra(t *testing.T) {
	is := is.New(t)
	is.True(Era(0).Revision(7) < Era(0).Revision(8))
	is.True(Era(0).Revision(MaxRevision) < Era(1).Revision(1))
	is.True(Era(2).Revision(MaxRevision) < Era(3).Revision(1))
	is.Equal(Era(0).Revision(7), Revision(7)) // a store without eras: its own numbers
	is.Equal(Era(3).Revision(0), Revision(0)) // none is none in each era
}

// TestRevisionRoundTrip, also the largest.
func TestRevisionRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, e := range []Era{0, 1, 2, Era(MaxEra)} {
		for _, raw := range []uint64{1, 41, MaxRevision} {
			n := e.Revision(raw)
			is.Equal(n.Era(), e)
			is.Equal(n.Raw(), raw)
			is.True(uint64(n) < 1<<53)
		}
	}
	is.Equal(Era(0).Revision(41).String(), "41")
	is.Equal(Era(2).Revision(41).String(), "2/41")
}

// TestRevisionLogFormat: one with an era is a text, for the integer says nothing to a reader.
func TestRevisionLogFormat(t *testing.T) {
	is := is.New(t)
	for n, want := range map[Revision]string{41: `41`, Era(2).Revision(41): `"2/41"`} {
		data, err := json.Marshal(n)
		is.NoErr(err)
		is.Equal(string(data), want)
	}
}
