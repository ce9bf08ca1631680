// Package shared provides what the modules of one machine have in common: who the
// instance is, its tunables and random draws, the output of the step, and the views
// of its peers, its replicas, the configuration and the platform.
package shared

import (
	"math/rand/v2"
	"time"

	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/outage"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/step"
)

// A State is shared by the modules of one machine. Each field has one writer:
// Options and Config are replaced by core/instance alone, the others are changed
// through their own methods.
type State struct {
	Self    member.Identity
	Options *option.Options
	Rand    *rand.Rand
	Out     *step.Output
	Members *member.Table
	Pool    *pool.Pool
	Records *gossip.Set // that instances tell each other
	Config  *config.Current
	Outage  *outage.Tracker
}

// maxRetryDelay returns after how long the platform is called again at the latest after a failure.
func maxRetryDelay(opt option.Options) time.Duration {
	if opt.Environment == option.Platform {
		return opt.Bounds.MaxRetryDelay()
	}
	return outage.DefaultMaxRetryDelay
}

// New returns the state of an instance that knows nothing yet. Its random draws
// come from seed.
func New(self member.Identity, opt option.Options, seed uint64) State {
	out := &step.Output{}
	return State{
		Self:    self,
		Options: &opt,
		Rand:    rand.New(rand.NewPCG(seed, self.Boot)),
		Out:     out,
		Members: member.New(self.Name, self.Zone),
		Pool:    pool.New(),
		Records: gossip.NewSet(),
		Config:  &config.Current{},
		Outage:  outage.New(out, maxRetryDelay(opt)),
	}
}
