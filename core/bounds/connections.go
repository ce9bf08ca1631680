package bounds

import "time"

// ConnectionTimeouts say when a TCP connection gives up on its other end. On Linux, the limit on
// unacknowledged bytes (TCP_USER_TIMEOUT) decides that in all states, also for keep-alive probes,
// whatever their count.
type ConnectionTimeouts struct {
	Idle     time.Duration // time without received bytes after which the connection is probed
	Interval time.Duration // time between two probes
	Unacked  time.Duration // time for which sent bytes may stay unacknowledged
}

// DialedTimeouts are the timeouts of connections to replicas, the store and peers. They exceed the
// second for which a replica may be silent and go on.
var DialedTimeouts = ConnectionTimeouts{Idle: time.Second, Interval: time.Second, Unacked: 3 * time.Second}

// AcceptedTimeouts are the timeouts of accepted connections. A caller's connection may be idle for
// long, so it is probed seldom, and a slow reader may pause for some seconds.
var AcceptedTimeouts = ConnectionTimeouts{Idle: 5 * time.Second, Interval: 2 * time.Second, Unacked: 15 * time.Second}

// Probes returns the number of probes that are sent within Unacked.
func (t ConnectionTimeouts) Probes() int {
	return max(1, int((t.Unacked-t.Idle+t.Interval-1)/t.Interval))
}

// IdleGiveUp returns the time from the last received byte until a connection without bytes in
// flight gives up: when the first probe is due after Unacked, at least one having had no answer.
func (t ConnectionTimeouts) IdleGiveUp() time.Duration {
	return t.Idle + time.Duration(t.Probes())*t.Interval
}
