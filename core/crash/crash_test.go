package crash

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/pool"
)

// start is when the first replica ends in these tests; each further one ends crashInterval
// later.
var start = clocktest.At(time.Hour)

const crashInterval = 10 * time.Second

// incarnation returns an incarnation of a replica.
func incarnation(name, born string) pool.Incarnation { return pool.Incarnation{Name: name, Born: born} }

// whole returns requests whose prompts have no shared parts.
func whole(fingerprints ...Fingerprint) []Request {
	var out []Request
	for _, f := range fingerprints {
		out = append(out, Request{Fingerprint: f})
	}
	return out
}

// restartReports returns reports like crashReports, of a number of replicas that take turns and
// restart under their names.
func restartReports(replicas int, requests ...[]Fingerprint) []Report {
	reports := crashReports(requests...)
	for n := range reports {
		reports[n].Replica = incarnation(string(rune('a'+n%replicas)), string(rune('0'+n)))
	}
	return reports
}

// crashReports returns the reports of one crash after the other, with the requests in flight.
func crashReports(requests ...[]Fingerprint) []Report {
	var reports []Report
	for n, inFlight := range requests {
		reports = append(reports, Report{
			Observer: "i", Seq: uint64(n + 1), Replica: incarnation(string(rune('a'+n)), ""), Requests: whole(inFlight...), EventTime: clock.EventTime{At: start.Add(time.Duration(n) * crashInterval)},
		})
	}
	return reports
}

// unrelatedReports returns n reports of replicas that ended for another reason, one second
// apart, the last of them at start plus last.
func unrelatedReports(last time.Duration, n int) []Report {
	var reports []Report
	for i := range n {
		reports = append(reports, Report{
			Observer: "i", Seq: uint64(100 + i), Replica: incarnation("other"+string(rune('a'+i)), ""), Requests: whole(Fingerprint(100 + i)),
			EventTime: clock.EventTime{At: start.Add(last - time.Duration(i)*time.Second)},
		})
	}
	return reports
}

func blamed(reports []Report, served map[Fingerprint]clock.Instant, before []Fingerprint) []Fingerprint {
	known := History{Served: func(t Trait) clock.Instant { return served[Fingerprint(t)] }}
	for _, r := range before {
		known.Blamed = append(known.Blamed, Cause{r.Trait()})
	}
	var out []Fingerprint
	for _, a := range Blame(reports, known, start.Add(time.Hour)) {
		out = append(out, Fingerprint(a.Cause.ID()))
	}
	slices.Sort(out)
	return out
}

// TestBlame checks which requests are blamed for crashes. Requests 1 and 2 crash replicas, the
// others are harmless.
func TestBlame(t *testing.T) {
	type inFlight = []Fingerprint
	repeat := func(n int, requests ...Fingerprint) []inFlight {
		return slices.Repeat([]inFlight{requests}, n)
	}
	cases := []struct {
		name    string
		reports []Report
		served  map[Fingerprint]clock.Instant
		before  []Fingerprint
		want    []Fingerprint
	}{
		{"two replicas are too few", crashReports(repeat(2, 1)...), nil, nil, nil},
		{"three replicas", crashReports(inFlight{1, 8}, inFlight{1, 9}, inFlight{1, 7}), nil, nil, []Fingerprint{1}},
		{"another request at two of them", crashReports(inFlight{1, 9}, inFlight{1, 9}, inFlight{1}), nil, nil, []Fingerprint{1}},
		{"another request at all of them", crashReports(repeat(3, 1, 9)...), nil, nil, nil},
		{"a fourth crash tells the requests apart", crashReports(inFlight{1, 9}, inFlight{1, 9}, inFlight{1, 9}, inFlight{1}), nil, nil, []Fingerprint{1}},
		{"two requests with as many crashes, some the same", crashReports(inFlight{1}, inFlight{1, 9}, inFlight{1, 9}, inFlight{9}), nil, nil, nil},
		{"two requests together too often for a coincidence", crashReports(repeat(4, 1, 2)...), nil, nil, []Fingerprint{1, 2}},
		{"two requests, one after the other", crashReports(inFlight{1, 9}, inFlight{1}, inFlight{1, 8}, inFlight{2, 9}, inFlight{2}, inFlight{2, 8}), nil, nil, []Fingerprint{1, 2}},
		{"among many unrelated crashes", append(crashReports(inFlight{1}, inFlight{1}, inFlight{1}), unrelatedReports(2*crashInterval, 4)...), nil, nil, nil},
		{"a fourth crash among many unrelated ones", append(crashReports(inFlight{1}, inFlight{1}, inFlight{1}, inFlight{1}), unrelatedReports(3*crashInterval, 4)...), nil, nil, []Fingerprint{1}},
		{"with one unrelated crash", append(crashReports(inFlight{1}, inFlight{1}, inFlight{1}), unrelatedReports(2*crashInterval, 1)...), nil, nil, nil},
		{"long after unrelated crashes", append(crashReports(inFlight{1}, inFlight{1}, inFlight{1}), unrelatedReports(0, 4)...), nil, nil, []Fingerprint{1}},
		{"its crashes are explained by another request", crashReports(inFlight{1, 9}, inFlight{1, 9}, inFlight{1, 9}, inFlight{1}, inFlight{1}), nil, nil, []Fingerprint{1}},
		{"succeeded since", crashReports(repeat(3, 1)...), map[Fingerprint]clock.Instant{1: start.Add(2 * crashInterval).Add(1)}, nil, nil},
		{"succeeded in between", crashReports(repeat(4, 1)...), map[Fingerprint]clock.Instant{1: start.Add(1)}, nil, []Fingerprint{1}},
		{"blamed before", crashReports(inFlight{1}), nil, []Fingerprint{1}, []Fingerprint{1}},
		{"requests without a fingerprint", crashReports(repeat(4, 0)...), nil, nil, nil},
		{"one crash in two reports", append(crashReports(repeat(2, 1)...), Report{
			Observer: "j", Replica: incarnation("b", ""), Requests: whole(1), EventTime: clock.EventTime{At: start.Add(crashInterval).Add(time.Second)},
		}), nil, nil, nil},
		{"one crash in two reports, one of them from an instance that was paused", append(crashReports(repeat(2, 1)...), Report{
			Observer: "j", Replica: incarnation("b", ""), Requests: whole(1), EventTime: clock.EventTime{At: start.Add(5 * crashInterval)},
		}), nil, nil, nil},
		{"one replica that restarts repeatedly", restartReports(1, repeat(3, 1)...), nil, nil, []Fingerprint{1}},
		{"two replicas that restart in turn", restartReports(2, repeat(6, 1)...), nil, nil, []Fingerprint{1}},
		{"two replicas that restart in turn, another request at all crashes", restartReports(2, repeat(3, 1, 9)...), nil, nil, nil},
		{"one incarnation in two reports", append(restartReports(1, repeat(2, 1)...), Report{
			Observer: "j", Replica: incarnation("a", "1"), Requests: whole(1), EventTime: clock.EventTime{At: start.Add(5 * crashInterval)},
		}), nil, nil, nil},
		{"another observer's report completes a crash", append(crashReports(inFlight{9}, inFlight{1, 9}, inFlight{1, 9}, inFlight{1}), Report{
			Observer: "j", Replica: incarnation("a", ""), Requests: whole(1), EventTime: clock.EventTime{At: start},
		}), nil, nil, []Fingerprint{1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(blamed(c.reports, c.served, c.before), c.want)
			slices.Reverse(c.reports)
			is.Equal(blamed(c.reports, c.served, c.before), c.want) // in any order
		})
	}
}

// TestLimitParts checks that requests with many parts give way to those with few.
func TestLimitParts(t *testing.T) {
	is := is.New(t)
	requests := []Request{{Fingerprint: 1, Parts: []PartID{1}}, {Fingerprint: 2, Parts: []PartID{1, 2, 3, 4, 5}}, {Fingerprint: 3}}
	is.Equal(LimitParts(requests, 6), requests)
	limited := LimitParts(requests, 4)
	is.Equal(limited[0].Parts, []PartID{1})
	is.Equal(limited[1].Parts, []PartID{1, 2, 3})
	is.Equal(len(requests[1].Parts), 5)
	is.Equal(PartCount(LimitParts(requests, 0)), 0)
}

// TestUnsettledReportsAreIgnored checks that a report counts only once it has settled: before
// that the reports of other instances may be missing, and a request that was there by
// coincidence would be blamed.
func TestUnsettledReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	reports := crashReports(slices.Repeat([][]Fingerprint{{1}}, 3)...)
	known := History{Served: func(Trait) clock.Instant { return clock.Instant{} }}
	third := reports[2].At
	is.Equal(len(Blame(reports, known, third.Add(-1))), 0)
	is.Equal(Blame(reports, known, third), []Attribution{{Cause: Cause{1}, Replicas: []pool.Incarnation{incarnation("a", ""), incarnation("b", ""), incarnation("c", "")}}})
}

// TestEventTimesKeepTheirAge checks that an event time in a message has the same age on arrival
// as when it was sent, by the receiver's clocks.
func TestEventTimesKeepTheirAge(t *testing.T) {
	is := is.New(t)
	sent := clock.EventTime{At: start}.ForWire(start.Add(7 * time.Second))
	is.Equal(sent, clock.EventTime{Age: 7 * time.Second})
	there := clocktest.At(time.Minute)
	is.Equal(sent.FromWire(there), clock.EventTime{At: there.Add(-7 * time.Second)})
	// The time for which the machine was suspended counts.
	asleep := clock.Instant{Mono: start.Mono, Wall: start.Wall.Add(time.Minute)}
	is.Equal(clock.EventTime{At: start}.ForWire(asleep).Age, time.Minute)
}
