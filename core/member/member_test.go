package member

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock/clocktest"
)

// TestPeerLiveness checks that a peer is failing from the first failed exchange on
// and is assigned no tasks after LivenessTimeout, that an answer resets both, and
// that a leaving peer is assigned no tasks.
func TestPeerLiveness(t *testing.T) {
	start := clocktest.At(time.Hour)
	for _, tt := range []struct {
		name    string
		failed  []time.Duration // times of failed exchanges, after start
		heard   time.Duration   // time of its last message, after start; 0: never
		leaving bool
		at      time.Duration
		failing bool
		live    bool
	}{
		{name: "no exchange yet", live: true},
		{name: "one exchange failed", failed: []time.Duration{0}, at: LivenessTimeout - 1, failing: true, live: true},
		{name: "failing for the whole timeout", failed: []time.Duration{0}, at: LivenessTimeout, failing: true},
		{name: "later failures do not restart the timeout", failed: []time.Duration{0, LivenessTimeout / 2}, at: LivenessTimeout, failing: true},
		{name: "answered after a failure", failed: []time.Duration{0}, heard: time.Second, at: LivenessTimeout, live: true},
		{name: "peer is leaving", leaving: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := New("self", "z")
			table.Upsert("p", "z", "address")
			for _, d := range tt.failed {
				table.MarkFailed(start.Add(d), "p")
			}
			if tt.heard > 0 {
				table.MarkHeard(start.Add(tt.heard), "p")
			}
			table.SetLeaving("p", tt.leaving)
			p := table.Get("p")
			is.Equal(p.Failing(), tt.failing)
			is.Equal(p.Live(start.Add(tt.at)), tt.live)
		})
	}
}

// TestAssignedSelectsN checks that of instances that know each other exactly n find
// a task assigned to them, and that another instance replaces one that is missing.
func TestAssignedSelectsN(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	names := []string{"a", "b", "c", "d", "e"}
	assigned := func(names []string) map[string]bool {
		found := map[string]bool{}
		for _, self := range names {
			table := New(self, "z")
			for _, other := range names {
				table.Upsert(other, "z", other)
			}
			if table.Assigned(now, "task", 2) {
				found[self] = true
			}
		}
		return found
	}
	all := assigned(names)
	is.Equal(len(all), 2)
	for gone := range all {
		rest := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == gone })
		is.Equal(len(assigned(rest)), 2)
	}
}

// TestNeighbours checks that the neighbours are 1, 2 and 4 places ahead on the ring
// of names, and only in the instance's own zone.
func TestNeighbours(t *testing.T) {
	is := is.New(t)
	table := New("c", "z")
	for _, name := range []string{"a", "b", "d", "e", "f"} {
		table.Upsert(name, "z", name)
	}
	table.Upsert("abroad", "other", "abroad")
	var got []string
	for _, p := range table.Neighbours() {
		got = append(got, p.Name)
	}
	is.Equal(got, []string{"d", "e", "a"})
}
