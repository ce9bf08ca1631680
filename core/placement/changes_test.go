package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newInput returns an input with the given numbers of engines and models. Every model has
// a copy on one engine, some on more, and some have calls.
func newInput(engines, models int) Input {
	in := Input{Models: map[string]Model{}, Demand: map[string]Demand{}, StoreLoads: 2, MinimumStay: time.Second}
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		in.Models[name] = Model{MB: 70}
		if i%6 == 0 {
			in.Demand[name] = Demand{Work: 0.05 * float64(1+i%7), Rate: 1}
		}
	}
	for i := range engines {
		e := Engine{Name: fmt.Sprintf("e%d", i), Zone: fmt.Sprintf("z%d", i%4), Open: true, Sound: true, InMemory: map[string]bool{}, OnDisk: map[string]bool{}}
		for k := range 3 {
			name := fmt.Sprintf("m%d", (i*3+k)%models)
			e.Copies = append(e.Copies, Copy{Model: name, Ready: true, Age: time.Minute})
			e.OnDisk[name] = true
			e.OnDisk[fmt.Sprintf("m%d", (i*5+k)%models)] = true
		}
		in.Engines = append(in.Engines, e)
	}
	return in
}

// TestLastCachedCopyIsKept checks that the last copy of a model without calls is evicted
// only if another engine has its weights cached.
func TestLastCachedCopyIsKept(t *testing.T) {
	cases := []struct {
		name      string
		elsewhere bool
		want      int
	}{
		{"weights cached nowhere else", false, 0},
		{"weights cached elsewhere", true, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			in := Input{
				Models: map[string]Model{"rare": {MB: 70}, "busy": {MB: 70}},
				Demand: map[string]Demand{"busy": {Work: 0.5, Rate: 1}},
			}
			other := Engine{Name: "other", Open: true, Sound: true, Copies: []Copy{{Model: "busy", Ready: true, Age: time.Minute}}, OnDisk: map[string]bool{"rare": c.elsewhere}}
			holder := Engine{Name: "holder", Open: true, Sound: true, Copies: []Copy{{Model: "rare", Ready: true, Age: time.Minute}}, OnDisk: map[string]bool{"rare": true, "busy": true}}
			in.Engines = []Engine{holder, other}
			changes := Plan(in)
			is.Equal(len(changes), c.want)
			if c.want > 0 {
				is.Equal(changes[0].Load, "busy")
				is.Equal(changes[0].Drop, []string{"rare"})
			}
		})
	}
}

// BenchmarkChanges measures one placement plan at three sizes.
func BenchmarkChanges(b *testing.B) {
	for _, size := range []struct{ engines, models int }{{18, 39}, {144, 305}, {850, 1900}} {
		b.Run(fmt.Sprintf("%d_engines", size.engines), func(b *testing.B) {
			in := newInput(size.engines, size.models)
			for b.Loop() {
				Plan(in)
			}
		})
	}
}
