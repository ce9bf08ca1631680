package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
)

func limitOf(perSecond float64) RateLimit { return RateLimit{Named: true, PerSecond: perSecond} }

// TestObserveLimitOrder checks which of two responses of a replica determines its limit. The
// second arrives at minute one and answers a request sent before or after the first arrived.
func TestObserveLimitOrder(t *testing.T) {
	start := clocktest.At(time.Hour)
	first, second := start.Add(50*time.Second), start.Add(time.Minute)
	none := RateLimit{}
	unclear := RateLimit{Unclear: true}
	before, after := -time.Millisecond, time.Millisecond
	cases := []struct {
		name    string
		known   RateLimit
		limit   RateLimit
		sent    time.Duration // after the first arrived
		want    RateLimit
		changed bool
	}{
		{"the first limit", none, limitOf(3), before, limitOf(3), true},
		{"the same again", limitOf(3), limitOf(3), after, limitOf(3), true},
		{"the same, out of order", limitOf(3), limitOf(3), before, limitOf(3), false},
		{"less", limitOf(3), limitOf(1), after, limitOf(1), true},
		{"less, out of order", limitOf(3), limitOf(1), before, limitOf(1), true},
		{"more", limitOf(3), limitOf(5), after, limitOf(5), true},
		{"more, out of order", limitOf(3), limitOf(5), before, limitOf(3), false},
		{"limit lifted", limitOf(3), none, after, RateLimit{PerSecond: 3}, true},
		{"limit lifted, out of order", limitOf(3), none, before, limitOf(3), false},
		{"not parseable", limitOf(3), unclear, after, limitOf(3), false},
		{"not parseable, without a known limit", none, unclear, after, none, false},
		{"none, without a known limit", none, none, after, none, false},
		{"a limit of zero", limitOf(3), limitOf(0), before, limitOf(0), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := New()
			p.Announce(start, "r", Announcement{Service: "s", Address: "r"})
			if c.known != none {
				is.True(p.ObserveLimit(first, "r", first, c.known, "i"))
			}
			is.Equal(p.ObserveLimit(second, "r", first.Add(c.sent), c.limit, "j"), c.changed)
			is.Equal(p.Get("r").LimitReport().Limit, c.want)
		})
	}
}

// TestLimitBelongsToIncarnation checks that another incarnation has its own limit, at the same
// address or another one, and that a response to a request to the previous incarnation is
// ignored.
func TestLimitBelongsToIncarnation(t *testing.T) {
	is := is.New(t)
	start := clocktest.At(time.Hour)
	p := New()
	p.Announce(start, "r", Announcement{Service: "s", Address: "r", Born: "1"})
	is.True(p.ObserveLimit(start, "r", start, limitOf(3), "i"))
	later := start.Add(time.Second)
	p.Announce(later, "r", Announcement{Service: "s", Address: "r", Born: "2"})
	_, limited := p.Get("r").RateLimit(later)
	is.True(!limited)
	is.True(!p.ObserveLimit(later, "r", start, limitOf(3), "i"))
	is.True(!p.ObservePeerLimit(Incarnation{Name: "r", Born: "1"}, LimitReport{Limit: limitOf(3), By: "j", EventTime: clock.EventTime{At: later}}))
	is.True(p.ObservePeerLimit(Incarnation{Name: "r", Born: "2"}, LimitReport{Limit: limitOf(4), By: "j", EventTime: clock.EventTime{At: later}}))
	is.True(!p.ObserveLimit(later, "gone", later, limitOf(3), "i"))
	// A rest and leaving do not affect the limit.
	p.ObserveNotice(later, "r", later, Notice{Rest: time.Second, Leaving: true})
	r := p.Get("r")
	rate, limited := r.RateLimit(later)
	is.True(limited && rate == 4 && r.Resting(later) && r.Leaving())
}

// TestNewerLimitReportWins checks that the later one of this instance's and a peer's limit report
// is used.
func TestNewerLimitReportWins(t *testing.T) {
	is := is.New(t)
	start := clocktest.At(time.Hour)
	p := New()
	p.Announce(start, "r", Announcement{Service: "s", Address: "r"})
	observePeer := func(after time.Duration, l RateLimit) bool {
		return p.ObservePeerLimit(Incarnation{Name: "r"}, LimitReport{Limit: l, By: "j", EventTime: clock.EventTime{At: start.Add(after)}})
	}
	is.True(observePeer(time.Second, limitOf(2)))
	is.True(!observePeer(time.Second, limitOf(5)))
	is.True(!observePeer(900*time.Millisecond, RateLimit{}))
	is.True(!p.ObserveLimit(start.Add(2*time.Second), "r", start.Add(900*time.Millisecond), limitOf(5), "i")) // sent before the known report
	is.True(p.ObserveLimit(start.Add(2*time.Second), "r", start.Add(1100*time.Millisecond), limitOf(5), "i"))
	is.True(!observePeer(1500*time.Millisecond, limitOf(2)))
	is.Equal(p.Get("r").LimitReport().By, "i")
}

// TestLimitReportRate checks the rate by the reported limit and its age.
func TestLimitReportRate(t *testing.T) {
	start := clocktest.At(time.Hour)
	cases := []struct {
		name    string
		limit   RateLimit
		age     time.Duration
		want    float64
		limited bool
	}{
		{"named", limitOf(3), time.Hour, 3, true},
		{"a limit of zero: enough to learn of its end", limitOf(0), 0, minRate, true},
		{"less than the minimum rate", limitOf(0.01), 0, minRate, true},
		{"more than any replica is sent", limitOf(1e6), 0, 1e6, false},
		{"lifted just now", RateLimit{PerSecond: 4}, 0, 4, true},
		{"lifted a second ago", RateLimit{PerSecond: 4}, time.Second, 8, true},
		{"lifted, and was zero", RateLimit{}, 2 * time.Second, 4 * recoveryMinRate, true},
		{"lifted long ago", RateLimit{PerSecond: 4}, recoveryPeriod, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			report := LimitReport{Limit: c.limit, By: "i", EventTime: clock.EventTime{At: start}}
			rate, limited := report.Rate(start.Add(c.age))
			is.Equal(rate, c.want)
			is.Equal(limited, c.limited)
		})
	}
	rate, limited := LimitReport{}.Rate(start)
	is.New(t).True(rate == 0 && !limited)
}

// TestRateLimitDelayAndStaleness checks the expected wait of a request for a limit, and when a
// request is sent to check whether the limit still holds.
func TestRateLimitDelayAndStaleness(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	p := New()
	p.Announce(now, "r", Announcement{Service: "s", Address: "r"})
	r := p.Get("r")
	is.Equal(r.RateLimitDelay(now), time.Duration(0))
	is.True(!r.LimitStale(now.Add(time.Hour)))
	p.ObserveLimit(now, "r", now, limitOf(2), "i")
	is.Equal(r.RateLimitDelay(now), 250*time.Millisecond)
	r.SetNextSend(now.Add(2 * time.Second))
	is.Equal(r.RateLimitDelay(now), 2*time.Second)
	is.Equal(r.RateLimitDelay(now.Add(1900*time.Millisecond)), 250*time.Millisecond)
	is.True(!r.LimitStale(now.Add(staleLimitAge - time.Millisecond)))
	is.True(r.LimitStale(now.Add(staleLimitAge)))
	r.SetNextSend(now.Add(staleLimitAge + time.Second))
	is.True(!r.LimitStale(now.Add(staleLimitAge)))
	is.True(r.LimitStale(now.Add(staleLimitAge + time.Second)))
}
