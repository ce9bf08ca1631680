package integration

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRevisionSpreadsWithoutWaiting: instances that do not watch the platform
// are told by those that do, at once, not at the next turn of the exchanges'
// rhythm, which is set to a minute here.
func TestRevisionSpreadsWithoutWaiting(t *testing.T) {
	is := is.New(t)
	w := newTestbed(t)
	w.addZones("z1")
	w.addReplica("stock", "s1", "z1")
	for i := range 6 {
		w.startInstance(fmt.Sprintf("entry-%d", i+1), "z1", "--exchange-every", "2s")
	}
	w.apply()
	// Peers must know of each other before they can tell each other.
	for _, in := range w.instances {
		w.await(in.Name+" knows its peers", func() bool {
			st, err := in.Status()
			return err == nil && len(st.Peers) == 5
		})
	}
	for range 3 {
		begun := time.Now()
		w.apply()
		t.Logf("in force on 6 instances after %v", time.Since(begun))
		is.True(time.Since(begun) < time.Second)
	}
}
