package plan

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/demand"
	"github.com/birchdrift/birchdrift/core/own/book"
)

// input returns the input for one engine that has space for two models, both of which are
// resident.
func input(demands ...demand.Item) Input {
	return Input{
		Items: map[string]Item{"a": {Name: "a", MiB: 10}, "b": {Name: "b", MiB: 10}, "c": {Name: "c", MiB: 10}},
		Engines: []Engine{{
			Name: "e", Sequences: 8, Capacity: 20, Usable: true,
			Residents: []Resident{{Name: "a", Since: time.Hour, Settled: true}, {Name: "b", Since: time.Hour, Settled: true}},
		}},
		Demand: demands, MoveCost: 1, MinimumStay: time.Minute, Loads: 1,
	}
}

// demandItem returns the demand for an item at a rate in calls per second, unmet for the
// given time.
func demandItem(name string, rate float64, unmet time.Duration) demand.Item {
	return demand.Item{Name: name, Rate: rate, Concurrent: rate, Weight: 1, Unmet: unmet}
}

func TestSteps(t *testing.T) {
	cases := []struct {
		name   string
		in     Input
		change func(*Input)
		want   string // "op item" of each step
	}{
		{"equal demand moves nothing", input(demandItem("a", 1, 0), demandItem("b", 1, 0), demandItem("c", 1, 0)), nil, ""},
		{"slightly more demand moves nothing", input(demandItem("a", 1, 0), demandItem("b", 1, 0), demandItem("c", 1.2, 0)), nil, ""},
		{"much more demand replaces the item with the least", input(demandItem("a", 1, 0), demandItem("b", 0.5, 0), demandItem("c", 3, 0)), nil, "unload b"},
		{"a higher move cost moves nothing", input(demandItem("a", 1, 0), demandItem("b", 0.5, 0), demandItem("c", 3, 0)), func(in *Input) { in.MoveCost = 200 }, ""},
		{"not within the minimum stay", input(demandItem("a", 9, 0), demandItem("b", 0.5, 0), demandItem("c", 3, 0)), func(in *Input) { in.Engines[0].Residents[1].Since = time.Second }, ""},
		// A starving item whose value justifies the unload need not wait for Starve,
		// which only limits starving items whose value does not. It once had to wait.
		{"starving and worth the cost", input(demandItem("a", 1, 0), demandItem("b", 0.5, 0), demandItem("c", 3, time.Minute)), nil, "unload b"},
		{"starving, not worth the cost, Starve not set", input(demandItem("a", 9, 0), demandItem("b", 9, 0), demandItem("c", 0.1, 7*time.Second)), nil, ""},
		{"starving, not worth the cost, Starve set", input(demandItem("a", 9, 0), demandItem("b", 8, 0), demandItem("c", 0.1, 7*time.Second)), func(in *Input) { in.Starve = true }, "unload b"},
		{"another zone places the first copy", input(demandItem("a", 1, 0), demandItem("b", 0.5, 0), demandItem("c", 3, 0)), func(in *Input) { in.Leads = func(string) bool { return false } }, ""},
		{"another zone has a copy", input(demandItem("a", 1, 0), demandItem("b", 0.5, 0), demandItem("c", 3, 0)), func(in *Input) { in.Elsewhere = map[string]int{"c": 1} }, ""},
		{"no loads allowed", input(demandItem("a", 1, 0), demandItem("b", 0.5, 0), demandItem("c", 3, 0)), func(in *Input) { in.Loads = 0 }, ""},
		{"free memory is used without unloading", input(demandItem("c", 0.1, 0)), func(in *Input) { in.Engines[0].Capacity, in.Engines[0].Free = 30, 10 }, "load c"},
		{"a leaving engine gets no orders", input(demandItem("c", 9, 0)), func(in *Input) { in.Engines[0].Usable = false }, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.change != nil {
				c.change(&c.in)
			}
			got := ""
			for _, s := range Steps(c.in) {
				if got != "" {
					got += ", "
				}
				got += s.Op.String() + " " + s.Item
			}
			is.New(t).Equal(got, c.want)
		})
	}
}

// TestAdaptersGoBeforeTheirModel checks that adapters are unloaded before their model,
// since an engine refuses to unload a model with adapters.
func TestAdaptersGoBeforeTheirModel(t *testing.T) {
	is := is.New(t)
	in := input(demandItem("a", 9, 0), demandItem("b", 0.1, 0), demandItem("c", 3, 0))
	in.Items["x"] = Item{Name: "x", Base: "b", MiB: 1}
	in.Engines[0].Residents = append(in.Engines[0].Residents, Resident{Name: "x", Since: time.Hour, Settled: true})
	steps := Steps(in)
	is.Equal(len(steps), 2)
	is.Equal(steps[0].Item, "x")
	is.Equal(steps[1].Item, "b")
	is.Equal(steps[0].Op, book.Unload)
}
