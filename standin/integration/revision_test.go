package integration

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRevisionSpreadsWithoutWaiting checks that instances that watch the platform pass a
// new revision on to the others at once, instead of with the next periodic exchange
// (every 2 s here).
func TestRevisionSpreadsWithoutWaiting(t *testing.T) {
	is := is.New(t)
	tb := newTestbed(t)
	tb.addZones("z1")
	tb.addReplica("stock", "s1", "z1")
	for i := range 6 {
		tb.startInstance(fmt.Sprintf("entry-%d", i+1), "z1", "--exchange-every", "2s")
	}
	tb.apply()
	// Peers must know each other before they can exchange revisions.
	for _, in := range tb.instances {
		tb.await(in.Name+" knows its peers", func() bool {
			st, err := in.Status()
			return err == nil && len(st.Peers) == 5
		})
	}
	for range 3 {
		start := time.Now()
		tb.apply()
		t.Logf("in force on 6 instances after %v", time.Since(start))
		is.True(time.Since(start) < time.Second)
	}
}
