package forwarding

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/route"
)

// TestForecast checks when a call would be too late and when it would delay the streams
// of its engine, at and just beyond each bound.
func TestForecast(t *testing.T) {
	const ms = time.Millisecond
	for _, tt := range []struct {
		name            string
		forecast        forecast
		tooLate, delays bool
	}{
		{"an idle engine", forecast{expected: 30 * ms, target: 400 * ms, prefillBacklog: 20 * ms, ownPrefill: 20 * ms, gap: 250 * ms}, false, false},
		{"latest allowed", forecast{expected: 600 * ms, target: 400 * ms}, false, false},
		{"later", forecast{expected: 600*ms + 1, target: 400 * ms}, true, false},
		{"no target", forecast{expected: time.Hour}, false, false},
		{"largest backlog allowed", forecast{prefillBacklog: 250 * ms, ownPrefill: 20 * ms, gap: 250 * ms}, false, false},
		{"larger backlog", forecast{prefillBacklog: 250*ms + 1, ownPrefill: 20 * ms, gap: 250 * ms}, false, true},
		{"a long prompt almost alone", forecast{prefillBacklog: 375 * ms, ownPrefill: 300 * ms, gap: 250 * ms}, false, false},
		{"a long prompt behind others", forecast{prefillBacklog: 376 * ms, ownPrefill: 300 * ms, gap: 250 * ms}, false, true},
		{"any pause allowed", forecast{prefillBacklog: time.Hour}, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.forecast.tooLate(), tt.tooLate)
			is.Equal(tt.forecast.delaysStreams(), tt.delays)
		})
	}
}

// TestSheddingDecision checks that a call with time to spare waits instead of being
// refused, and is sent once it has waited as long as it may.
func TestSheddingDecision(t *testing.T) {
	const ms = time.Millisecond
	backlogged := forecast{target: 5 * time.Second, prefillBacklog: 400 * ms, ownPrefill: 20 * ms, gap: 250 * ms}
	for _, tt := range []struct {
		name     string
		expected time.Duration
		waited   bool
		want     sheddingDecision
	}{
		{"time to spare", 2500*ms - 1, false, holdBack},
		{"still time to spare", 2500*ms - 1, true, holdBack},
		{"no time to spare, after a wait", 2500 * ms, true, sendNow},
		{"no time to spare from the beginning", 2500 * ms, false, refuseNow},
		{"too late", 7501 * ms, true, refuseNow},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			fc := backlogged
			fc.expected = tt.expected
			is.Equal(fc.decide(tt.waited), tt.want)
		})
	}
	is := is.New(t)
	is.Equal(forecast{expected: 100 * ms, target: 400 * ms}.decide(false), sendNow)
	is.Equal(forecast{expected: time.Hour, prefillBacklog: 400 * ms, gap: 250 * ms}.decide(false), sendNow) // no target
}

// TestOverloadIsRefusedAtOnce checks that a call that no engine can serve in time is
// refused as not run, with a Retry-After. A call that may have run is not refused, and
// neither is a call to a plain service.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	for _, tt := range []struct {
		name    string
		prepare func(c *calls.Call)
		refused bool
	}{
		{"a call that was not sent", func(*calls.Call) {}, true},
		{"a call that a replica refused", func(c *calls.Call) {
			c.History = c.History.WithAttempt().WithFailure(attempt.Refused)
		}, true},
		{"a call that may have run", func(c *calls.Call) {
			c.History = c.History.WithAttempt().WithFailure(attempt.MaybeSent)
		}, false},
		{"a call to a plain service", func(c *calls.Call) { c.Item = "" }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := testForwarder(t)
			c, _ := f.testCall(config.Stream, true)
			c.Item = "m"
			tt.prepare(c)
			best := route.Estimate{Replica: &pool.Replica{}, Ahead: 3 * time.Second}
			is.Equal(f.shed(start, c, best), tt.refused)
			refused, _ := finalAnswers(f.Out)
			r, ok := refused[c.ID]
			is.Equal(ok, tt.refused)
			if ok {
				is.Equal(r.Code, code.TargetMissed)
				is.Equal(r.Run, code.NotRun)
				is.True(r.RetryAfter >= noReplicaRetryAfter)
			}
		})
	}
}
