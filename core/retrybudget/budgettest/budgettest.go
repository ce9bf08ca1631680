// Package budgettest adds up the parts of a retry budget, for tests and documentation.
package budgettest

import "github.com/birchdrift/birchdrift/core/retrybudget"

const (
	// LapsedShare is the number of instances whose registration has lapsed while they still run
	// and count themselves, for each registered one: those of one zone of three that is cut off.
	LapsedShare = 1. / 3
	// ReserveShare is the share of the slack that the parts must leave. It covers retries that
	// were charged just before a window and arrive in it, and calls that an instance read long
	// after they were sent.
	ReserveShare = 0.05
)

// Sum returns the most retries that all instances together make within a window, as a multiple
// of the calls of the window and a number in addition. It takes all of them to have saved as
// much as they may when the window begins, and counts those whose registration has lapsed.
func Sum(l retrybudget.Limit, fleetSize int) (perCall, fixed float64) {
	p := l.Parts(fleetSize)
	running := (1 + LapsedShare) * float64(fleetSize)
	return p.Earned + p.Saved, running * (p.Burst + p.Refill)
}
