package instance

import (
	"fmt"
	"testing"
	"time"
)

func TestDebugPartition(t *testing.T) {
	for _, seed := range []int{3} {
		h := newPartitionFleet(uint64(seed+1), 8, 2*fleetEngines)
		h.startCalls(5 * time.Millisecond)
		h.f.run(5 * time.Second)
		h.partition(firstMembers(1)(h.f)[1:], linkHangs)
		h.f.run(partitionDuration + partitionReturn + 4*time.Second)
		p := h.cuts[0]
		for _, c := range h.order {
			if c.at > p.from-time.Second && c.at < p.from+4*time.Second && !c.served {
				fmt.Println(p.members[c.member], (c.at-p.from).Milliseconds()/100*100, c.kind, c.took.Milliseconds()/100*100, c.refusal.Code, c.refusal.Detail, c.runs)
			}
		}
	}
}
