package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock/clocktest"
)

// TestUsageOfUnreachableReplicas checks what an instance reports to its peers of replicas to which it
// cannot connect: those of a service whose links it has lost are not reported as unreachable, and
// prompts that were sent into silence, without a relay, are not reported as work there.
func TestUsageOfUnreachableReplicas(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	p := New()
	for _, name := range []string{"direct", "refused", "silent"} {
		p.Announce(now, name, Announcement{Service: "s", Address: name, Zone: "z", Slots: 4, Engine: true})
		p.Get(name).StartPrefill(now, 1, Prefill{Work: time.Second})
		p.Get(name).StartPrefill(now, 2, Prefill{Work: 10 * time.Second, Relayed: true})
	}
	p.Get("refused").LinkFailed(now, false)
	p.Get("silent").LinkFailed(now, true)
	for _, lost := range []bool{false, true} {
		uses := p.OwnUsage(func(service string) bool { return lost && service == "s" })
		is.Equal(uses["direct"].Prefill.Sum(), 11*time.Second)
		is.Equal(uses["refused"].Prefill.Sum(), 11*time.Second)
		is.Equal(uses["silent"].Prefill.Sum(), 10*time.Second) // the relayed one
		is.Equal(uses["direct"].Unreachable, false)
		is.Equal(uses["refused"].Unreachable, !lost)
		is.Equal(uses["silent"].Unreachable, !lost)
	}
	is.Equal(p.Get("silent").Load(now).Prefill.Sum(), 10*time.Second)
}
