package streams

import (
	"fmt"
	"testing"
	"time"

	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
)

// BenchmarkBegun measures what recording one stream costs while two versions serve, in fleets of the
// users' sizes, and how many requests it sends.
func BenchmarkBegun(b *testing.B) {
	for _, c := range []struct{ instances, zones int }{{8, 2}, {46, 3}, {370, 8}} {
		b.Run(fmt.Sprintf("%d instances", c.instances), func(b *testing.B) {
			f := newFixture("i0", "z0", c.instances <= 16, true)
			for i := range c.instances {
				name := fmt.Sprintf("i%d", i)
				f.instances[name] = registry.Instance{HoldsVersions: true}
				if i > 0 {
					f.Members.Upsert(name, fmt.Sprintf("z%d", i%c.zones), name)
				}
			}
			f.list(start, "v1", "v2")
			f.readList(start)
			v1 := Origin{Service: "s", Software: "v1"}
			sent := 0
			b.ReportAllocs()
			for id := range b.N {
				f.Begun(start.Add(time.Millisecond), ID(id+1), v1, pool.Incarnation{}, false)
				sent += len(f.requests())
				delete(f.records, ID(id+1))
			}
			b.ReportMetric(float64(sent)/float64(b.N), "requests/op")
		})
	}
}
