package era

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// TestRevisionsOrderByEra checks that revisions of a later era are greater, whatever the
// store's own revisions were reset to.
func TestRevisionsOrderByEra(t *testing.T) {
	is := is.New(t)
	is.True(Era(0).Revision(7) < Era(0).Revision(8))
	is.True(Era(0).Revision(MaxRevision) < Era(1).Revision(1))
	is.True(Era(2).Revision(MaxRevision) < Era(3).Revision(1))
	is.Equal(Era(0).Revision(7), Revision(7)) // a store without eras: its own revisions
	is.Equal(Era(3).Revision(0), Revision(0)) // 0 means none in every era
}

// TestRevisionRoundTrip checks that era and raw revision are recovered from a Revision, up
// to the largest of both, and that every Revision stays below 2^53.
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

// TestRevisionLogFormat checks that a revision with an era is logged as a string, since the
// combined integer is of no use to a reader.
func TestRevisionLogFormat(t *testing.T) {
	is := is.New(t)
	for n, want := range map[Revision]string{41: `41`, Era(2).Revision(41): `"2/41"`} {
		data, err := json.Marshal(n)
		is.NoErr(err)
		is.Equal(string(data), want)
	}
}
