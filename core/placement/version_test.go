package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestModelsAreLoadedForStreamsOfAVersion guards against streams that do not go on because no engine of
// the version that began them holds their model, while engines of that version could load it.
func TestModelsAreLoadedForStreamsOfAVersion(t *testing.T) {
	for _, c := range []struct {
		name   string
		misses []VersionMiss
		change func(in *Input)
		want   string // the engine that loads the model, "" if none does
	}{
		{"no stream misses it", nil, nil, ""},
		{"streams of a version miss it", []VersionMiss{{"m", "v2", 0.5}}, nil, "b"},
		{"the only engine of the version that is said to hold it has ended", []VersionMiss{{"m", "v1", 0.5}}, nil, "c"},
		{"an engine of the version loads it", []VersionMiss{{"m", "v2", 0.5}}, func(in *Input) {
			in.Engines[1].Copies[0] = Copy{Model: "m"}
		}, ""},
		{"no engine of the version", []VersionMiss{{"m", "v3", 0.5}}, nil, ""},
		{"a model that is not configured", []VersionMiss{{"other", "v2", 0.5}}, nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			engine := func(name, software, model string) Engine {
				return Engine{Name: name, Software: software, Open: true, Sound: true, Copies: []Copy{{Model: model, Ready: true, Age: time.Minute}}}
			}
			in := Input{
				Models: map[string]Model{"m": {MB: 70}, "x": {MB: 70}}, Demand: map[string]Demand{"m": {Work: 0.1, Rate: 1}}, StoreLoads: 2,
				Engines:       []Engine{engine("a", "v1", "m"), engine("b", "v2", "x"), engine("c", "v1", "x")},
				VersionMisses: c.misses,
			}
			if c.change != nil {
				c.change(&in)
			}
			got := ""
			for _, change := range Plan(in) {
				if change.Load == "m" {
					got = change.Engine
				}
			}
			is.Equal(got, c.want)
		})
	}
}
