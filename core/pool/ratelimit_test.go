package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
)

func namedLimit(perSecond float64) RateLimit { return RateLimit{Named: true, PerSecond: perSecond} }

// TestObserveLimitOrder tables two answers of a replica that come one after the other,
// the second at minute one: to a request that was sent before or after the first came.
func TestObserveLimitOrder(t *testing.T) {
	start := clocktest.At(time.Hour)
	first, second := start.Add(50*time.Second), start.Add(time.Minute)
	none := RateLimit{}
	unclear := RateLimit{Unclear: true}
	before, after := -time.Millisecond, time.Millisecond
	cases := []struct {
		name string
		was  RateLimit
		said RateLimit
		sent time.Duration // after the first came
		want RateLimit
		news bool
	}{
		{"its first word", none, namedLimit(3), before, namedLimit(3), true},
		{"the same again", namedLimit(3), namedLimit(3), after, namedLimit(3), true},
		{"the same, overtaken", namedLimit(3), namedLimit(3), before, namedLimit(3), false},
		{"less", namedLimit(3), namedLimit(1), after, namedLimit(1), true},
		{"less, overtaken", namedLimit(3), namedLimit(1), before, namedLimit(1), true},
		{"more", namedLimit(3), namedLimit(5), after, namedLimit(5), true},
		{"more, overtaken", namedLimit(3), namedLimit(5), before, namedLimit(3), false},
		{"none any more", namedLimit(3), none, after, RateLimit{PerSecond: 3}, true},
		{"none, overtaken", namedLimit(3), none, before, namedLimit(3), false},
		{"what makes no sense", namedLimit(3), unclear, after, namedLimit(3), false},
		{"what makes no sense, of one that named none", none, unclear, after, none, false},
		{"none, of one that named none", none, none, after, none, false},
		{"none at all", namedLimit(3), namedLimit(0), before, namedLimit(0), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := New()
			p.Announce(start, "r", Announcement{Service: "s", Address: "r"})
			if c.was != none {
				is.True(p.ObserveLimit(first, "r", first, c.was, "i"))
			}
			is.Equal(p.ObserveLimit(second, "r", first.Add(c.sent), c.said, "j"), c.news)
			is.Equal(p.Get("r").LimitReport().Limit, c.want)
		})
	}
}

// TestLimitBelongsToIncarnation: another life names its own, at the same address or another; what
// was sent to the life before says nothing.
func TestLimitBelongsToIncarnation(t *testing.T) {
	is := is.New(t)
	start := clocktest.At(time.Hour)
	p := New()
	p.Announce(start, "r", Announcement{Service: "s", Address: "r", Born: "1"})
	is.True(p.ObserveLimit(start, "r", start, namedLimit(3), "i"))
	later := start.Add(time.Second)
	p.Announce(later, "r", Announcement{Service: "s", Address: "r", Born: "2"})
	_, limited := p.Get("r").RateLimit(later)
	is.True(!limited)
	is.True(!p.ObserveLimit(later, "r", start, namedLimit(3), "i"))
	is.True(!p.ObservePeerLimit(Incarnation{Name: "r", Born: "1"}, LimitReport{Limit: namedLimit(3), By: "j", EventTime: clock.EventTime{At: later}}))
	is.True(p.ObservePeerLimit(Incarnation{Name: "r", Born: "2"}, LimitReport{Limit: namedLimit(4), By: "j", EventTime: clock.EventTime{At: later}}))
	is.True(!p.ObserveLimit(later, "gone", later, namedLimit(3), "i"))
	// A rest and its leaving are beside it.
	p.ObserveNotice(later, "r", later, Notice{Rest: time.Second, Leaving: true})
	r := p.Get("r")
	rate, limited := r.RateLimit(later)
	is.True(limited && rate == 4 && r.Resting(later) && r.Leaving())
}

// TestNewerLimitReportWins: of an own answer and a peer's the later one holds.
func TestNewerLimitReportWins(t *testing.T) {
	is := is.New(t)
	start := clocktest.At(time.Hour)
	p := New()
	p.Announce(start, "r", Announcement{Service: "s", Address: "r"})
	told := func(after time.Duration, l RateLimit) bool {
		return p.ObservePeerLimit(Incarnation{Name: "r"}, LimitReport{Limit: l, By: "j", EventTime: clock.EventTime{At: start.Add(after)}})
	}
	is.True(told(time.Second, namedLimit(2)))
	is.True(!told(time.Second, namedLimit(5)))
	is.True(!told(900*time.Millisecond, RateLimit{}))
	is.True(!p.ObserveLimit(start.Add(2*time.Second), "r", start.Add(900*time.Millisecond), namedLimit(5), "i")) // sent before that was said
	is.True(p.ObserveLimit(start.Add(2*time.Second), "r", start.Add(1100*time.Millisecond), namedLimit(5), "i"))
	is.True(!told(1500*time.Millisecond, namedLimit(2)))
	is.Equal(p.Get("r").LimitReport().By, "i")
}

// TestLimitReportRate tables the rate by what was named and how long ago.
func TestLimitReportRate(t *testing.T) {
	start := clocktest.At(time.Hour)
	cases := []struct {
		name    string
		limit   RateLimit
		age     time.Duration
		want    float64
		limited bool
	}{
		{"named", namedLimit(3), time.Hour, 3, true},
		{"none at all: enough to hear of its end", namedLimit(0), 0, minRate, true},
		{"less than that", namedLimit(0.01), 0, minRate, true},
		{"more than anybody sends", namedLimit(1e6), 0, 1e6, false},
		{"ended just now", RateLimit{PerSecond: 4}, 0, 4, true},
		{"ended a second ago", RateLimit{PerSecond: 4}, time.Second, 8, true},
		{"ended, and it was none at all", RateLimit{}, 2 * time.Second, 4 * recoveryMinRate, true},
		{"ended long ago", RateLimit{PerSecond: 4}, recoveryPeriod, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := LimitReport{Limit: c.limit, By: "i", EventTime: clock.EventTime{At: start}}
			rate, limited := w.Rate(start.Add(c.age))
			is.Equal(rate, c.want)
			is.Equal(limited, c.limited)
		})
	}
	rate, limited := LimitReport{}.Rate(start)
	is.New(t).True(rate == 0 && !limited)
}

// TestRateLimitDelayAndStaleness: what a request waits for a limit as far as is known, and when one goes there to
// hear whether it still holds.
func TestRateLimitDelayAndStaleness(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	p := New()
	p.Announce(now, "r", Announcement{Service: "s", Address: "r"})
	r := p.Get("r")
	is.Equal(r.RateLimitDelay(now), time.Duration(0))
	is.True(!r.LimitStale(now.Add(time.Hour)))
	p.ObserveLimit(now, "r", now, namedLimit(2), "i")
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
