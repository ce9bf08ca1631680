package bounds

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestIdleGiveUp checks the time after which an idle connection gives up on an end that vanished.
func TestIdleGiveUp(t *testing.T) {
	is := is.New(t)
	is.Equal(DialedTimeouts.IdleGiveUp(), 3*time.Second)
	is.Equal(DialedTimeouts.Probes(), 2)
	is.Equal(AcceptedTimeouts.IdleGiveUp(), 15*time.Second)
	is.Equal(AcceptedTimeouts.Probes(), 5)
	uneven := ConnectionTimeouts{Idle: time.Second, Interval: 2 * time.Second, Unacked: 4 * time.Second}
	is.Equal(uneven.IdleGiveUp(), 5*time.Second) // the first probe that is due after Unacked
}
