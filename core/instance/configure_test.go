package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/step"
)

// orderedModels returns the models for which actions contain a load order.
func orderedModels(actions []step.Action) []string {
	var models []string
	for _, a := range actions {
		if o, ok := a.(owned.SendOrder); ok && o.Request.Load {
			models = append(models, o.Request.Model)
		}
	}
	return models
}

// TestOwnedEnginesFollowTheConfiguration checks that an owner orders its engines by the model
// sizes of the configuration in force, not by those in force when it acquired the engine. A model
// that was added later could not be loaded there until the engine changed its owner.
func TestOwnedEnginesFollowTheConfiguration(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	m := fleetMachine(now, "a")
	ownEngine(t, m, now)
	m.Step(now, owned.StateReply{Engine: "e1", Sent: now, State: orders.State{Models: []pool.AnnouncedModel{{Name: "m0"}}}})

	added := orders.Request{Load: true, Model: "added"}
	is.Equal(orderedModels(m.Step(now, owned.RequestReceived{Token: 1, Engine: "e1", Request: added})), nil)

	doc := fleetDocument()
	doc.Revision++
	engines := doc.Services[0].Announced.Engine
	engines.Models = append(engines.Models, config.PooledModel{Name: "added", MemoryMB: 1, LoadTime: time.Second, AdapterCount: 1, AdapterMB: 1})
	snapshot, err := config.NewSnapshot(doc)
	is.NoErr(err)
	m.Step(now, ConfigReply{Snapshot: snapshot, Source: PlatformSource})
	is.Equal(orderedModels(m.Step(now, owned.RequestReceived{Token: 2, Engine: "e1", Request: added})), []string{"added"})
}
