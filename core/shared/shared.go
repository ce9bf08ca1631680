// Package shared provides the state that the modules of one machine share: the
// instance's identity, its options and random number generator, the output of the
// current step, and its view of the peers, the replicas, the configuration and the
// platform.
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
	"github.com/birchdrift/birchdrift/core/saturation"
	"github.com/birchdrift/birchdrift/core/step"
)

// State is the state that the modules of one machine share. Each field has one
// writer: only core/instance replaces the values of Options and Config, and the
// other fields are changed through their own methods.
type State struct {
	Self    member.Identity
	Options *option.Options
	Rand    *rand.Rand
	Out     *step.Output
	Members *member.Table
	Pool    *pool.Pool
	Records *gossip.Set // the records that instances exchange
	Config  *config.Current
	Outage  *outage.Tracker
	// Saturation is the saturation of the instance itself.
	Saturation *saturation.State
}

// maxRetryDelay returns the longest delay between a failed call to the platform and
// the next one.
func maxRetryDelay(opt option.Options) time.Duration {
	if opt.Environment == option.Platform {
		return opt.Bounds.MaxRetryDelay()
	}
	return outage.DefaultMaxRetryDelay
}

// New returns the state of an instance that has not received any information yet.
// The seed determines its random numbers.
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

		Saturation: &saturation.State{},
	}
}
