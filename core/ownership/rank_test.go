package ownership

import (
	"testing"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/rendezvous"
)

// TestOwnerRankPrefersOwnZone checks that candidates of the engine's zone rank first,
// and that each rank is assigned once, so that no two instances claim an engine at the
// same time.
func TestOwnerRankPrefersOwnZone(t *testing.T) {
	all := []candidate{{name: "a", zone: "z"}, {name: "b", zone: "z"}, {name: "c", zone: "y"}, {name: "d", zone: "y"}}
	key := rendezvous.Key("e")
	for _, tt := range []struct {
		name  string
		zone  string // the engine's
		first string // the zone whose instances come first
	}{
		{"engine in zone z", "z", "z"},
		{"engine in zone y", "y", "y"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			byRank := make([]candidate, len(all))
			for _, c := range all {
				byRank[ownerRank("e", tt.zone, c, all)] = c
			}
			is.Equal([]string{byRank[0].zone, byRank[1].zone}, []string{tt.first, tt.first})
			is.True(byRank[2].zone != tt.first && byRank[3].zone != tt.first) // the other zone's candidates come last
			is.True(rendezvous.Score(key, byRank[0].name) > rendezvous.Score(key, byRank[1].name))
			is.True(rendezvous.Score(key, byRank[2].name) > rendezvous.Score(key, byRank[3].name))
		})
	}
	is := is.New(t)
	is.True(ownerRank("e", "z", candidate{name: "late", zone: "x"}, all) >= 2) // after the two of the engine's zone
}

// TestPlacerRankPrefersMoreCPU checks that candidates with a larger CPU quota rank first,
// and that each rank is assigned once.
func TestPlacerRankPrefersMoreCPU(t *testing.T) {
	is := is.New(t)
	all := []candidate{{name: "a", processor: 0.2}, {name: "b", processor: 0.9}, {name: "c", processor: 0.2}, {name: "d", processor: 0.5}}
	byRank := make([]string, len(all))
	for _, c := range all {
		byRank[placerRank(c, all)] = c.name
	}
	is.Equal(byRank[:2], []string{"b", "d"})
	is.True(byRank[2] != "" && byRank[3] != "") // equal quotas are ordered by hash
	is.Equal(placerRank(candidate{name: "weak"}, all), 4)
}
