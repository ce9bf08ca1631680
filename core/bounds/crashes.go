package bounds

import "time"

// Delays between the crash of a replica and the moment from which all instances refuse the requests
// that are blamed for it.
const (
	// CrashCheckDelay is how long after a severed call the replica is checked, if no other call
	// shows earlier that its process has ended: a process that ends closes its connections one
	// after the other, its listener among them.
	CrashCheckDelay = 30 * time.Millisecond
	// CrashConfirmDelay is the time from the first sign that a replica's process has ended to the
	// report. If the links to many replicas broke in that time, the links are at fault.
	CrashConfirmDelay = 20 * time.Millisecond
	// CrashShareInterval is the minimum interval between exchanges for crash reports: calls that
	// are severed together are reported together, at most ten times per second.
	CrashShareInterval = 100 * time.Millisecond
	// CrashSettleTime is how long the reports of other instances may take to arrive, including the
	// check of the replica and a few hops. If reports were evaluated earlier, a request that was
	// in flight by coincidence would be blamed while the report with the actual cause is still on
	// its way.
	CrashSettleTime = 400 * time.Millisecond
)

// Crashes are the longest delays, one after the other, between the crash of a replica and the last
// call that is sent of requests that are blamed because of it: no other call shows that the replica
// has ended, the report just misses an exchange, and arrives just before an evaluation, for which it
// is too new.
type Crashes struct {
	Check    time.Duration // until the check of the replica
	Dial     time.Duration // of the check's connection
	Confirm  time.Duration // until the report
	Share    time.Duration // until the next exchange
	Hop      time.Duration // to an instance that does not exchange with the reporter
	Settle   time.Duration // until the report counts
	Evaluate time.Duration // until the next evaluation
	Send     time.Duration // to a replica, of a call that was admitted before the verdict
}

// Crashes returns the delays of crash reports.
func (b Bounds) Crashes(t Timing) Crashes {
	d := b.Delays(t)
	return Crashes{
		Check:    CrashCheckDelay,
		Dial:     DialTimeout,
		Confirm:  CrashConfirmDelay,
		Share:    CrashShareInterval,
		Hop:      d.Hop,
		Settle:   CrashSettleTime,
		Evaluate: CrashSettleTime,
		Send:     d.Dial + d.Send,
	}
}

// Sum returns the longest time from the crash to the last call.
func (c Crashes) Sum() time.Duration {
	return c.Check + c.Dial + c.Confirm + c.Share + c.Hop + c.Settle + c.Evaluate + c.Send
}

// All returns the delays in their order.
func (c Crashes) All() []Delay {
	return []Delay{
		{"check", "until an instance checks whether a replica has ended that severed its call", c.Check},
		{"dial", "of the check's attempt to connect", c.Dial},
		{"confirm", "until the crash is reported", c.Confirm},
		{"share", "until the next exchange", c.Share},
		{"hop", "until an instance that does not exchange with the reporter has the report", c.Hop},
		{"settle", "until the report counts", c.Settle},
		{"evaluate", "until the next evaluation of reports", c.Evaluate},
		{"send", "connecting to a replica and sending a call that was admitted before", c.Send},
	}
}
