package crash

import (
	"fmt"
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

// A partCrash is a replica that ended, and the parts of the requests in flight there. Each request is
// another one, with a part of its own.
type partCrash struct {
	after    time.Duration // since start
	requests [][]PartID
}

// partReports returns the reports of crashes under requests with parts.
func partReports(crashes ...partCrash) []Report {
	var reports []Report
	own := PartID(1_000_000)
	for n, c := range crashes {
		r := Report{Observer: "i", Seq: uint64(n + 1), Replica: incarnation(fmt.Sprintf("r%02d", n), ""), Service: "s", EventTime: clock.EventTime{At: start.Add(c.after)}}
		for _, parts := range c.requests {
			own++
			r.Requests = append(r.Requests, Request{Fingerprint: Fingerprint(own), Parts: append(slices.Clone(parts), own)})
		}
		reports = append(reports, r)
	}
	return reports
}

// everySecond returns crashes one second apart, each under one request with the next of the parts.
func everySecond(requests ...[]PartID) []partCrash {
	var out []partCrash
	for n, parts := range requests {
		out = append(out, partCrash{time.Duration(n) * time.Second, [][]PartID{parts}})
	}
	return out
}

// blamedParts returns the causes that are blamed, as the parts that they consist of, sorted.
func blamedParts(crashes []partCrash, served map[PartID]clock.Instant) [][]PartID {
	known := History{Served: func(t Trait) clock.Instant {
		for part, at := range served {
			if t == partTrait("s", "", part) {
				return at
			}
		}
		return clock.Instant{}
	}}
	reports := partReports(crashes...)
	var out [][]PartID
	for _, a := range Blame(reports, known, start.Add(time.Hour)) {
		out = append(out, partsIn(a.Cause, reports))
	}
	slices.SortFunc(out, slices.Compare)
	return out
}

// partsIn returns the parts that a cause consists of, sorted.
func partsIn(c Cause, reports []Report) []PartID {
	var out []PartID
	for _, r := range reports {
		for _, request := range r.Requests {
			for _, t := range c {
				if part, ok := request.PartOf(r.Service, t); ok {
					out = append(out, part)
				}
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// TestBlameOfParts guards against a part of prompts that crashes replicas and is not blamed, and
// against sound parts that are blamed beside it. Parts 1 and 2 crash replicas, the others are sound.
func TestBlameOfParts(t *testing.T) {
	type parts = []PartID
	repeat := func(n int, requests ...parts) []parts { return slices.Repeat(requests, n) }
	before, between, after := start.Add(-time.Second), start.Add(1500*time.Millisecond), start.Add(time.Minute)
	atOnce := func(n int, requests ...parts) []partCrash {
		var out []partCrash
		for range n {
			out = append(out, partCrash{0, requests})
		}
		return out
	}
	inASecond := func(n int, requests ...parts) []partCrash {
		var out []partCrash
		for i := range n {
			out = append(out, partCrash{time.Duration(i) * time.Second / time.Duration(n), requests})
		}
		return out
	}
	cases := []struct {
		name    string
		crashes []partCrash
		served  map[PartID]clock.Instant
		want    []parts
	}{
		{"two crashes are too few", everySecond(repeat(2, parts{1})...), nil, nil},
		{"three crashes", everySecond(repeat(3, parts{1})...), nil, []parts{{1}}},
		{"no part in common", everySecond(parts{1}, parts{2}, parts{3}, parts{4}, parts{5}), nil, nil},
		{"with a sound part that was served before: not told apart", everySecond(repeat(3, parts{8, 1})...), map[PartID]clock.Instant{8: before}, []parts{{1, 8}}},
		{"with sound parts that were served after", everySecond(repeat(3, parts{8, 1})...), map[PartID]clock.Instant{8: after}, []parts{{1}}},
		{"always with the same other part", everySecond(repeat(3, parts{8, 1})...), nil, []parts{{1, 8}}},
		{"always with the same other part, until it comes without it", everySecond(parts{8, 1}, parts{8, 1}, parts{8, 1}, parts{1}), nil, []parts{{1}}},
		{"with other sound parts each time", everySecond(parts{7, 1}, parts{8, 1}, parts{9, 1}), nil, []parts{{1}}},
		{"served since", everySecond(repeat(6, parts{1})...), map[PartID]clock.Instant{1: after}, nil},
		{"served in between, too few since", everySecond(repeat(4, parts{1})...), map[PartID]clock.Instant{1: between}, nil},
		{"served before: six are too few", everySecond(repeat(6, parts{1})...), map[PartID]clock.Instant{1: before}, nil},
		{"served before: seven", everySecond(repeat(7, parts{1})...), map[PartID]clock.Instant{1: before}, []parts{{1}}},
		{"served before: many within a second", inASecond(9, parts{1}), map[PartID]clock.Instant{1: before}, nil},
		{"served before, with another popular part at each crash and at one more", append(everySecond(repeat(8, parts{1}, parts{8})[1:]...), partCrash{8 * time.Second, [][]PartID{{8}, {1}}}), map[PartID]clock.Instant{1: before, 8: before}, nil},
		{"many at the same moment", atOnce(9, parts{1}), nil, nil},
		{"a popular part beside it that was not served yet", []partCrash{
			{0, [][]PartID{{1, 8}, {8}}}, {time.Second, [][]PartID{{1}, {8}}}, {2 * time.Second, [][]PartID{{1}}}, {3 * time.Second, [][]PartID{{1}}},
		}, nil, []parts{{1}}},
		{"two parts", everySecond(parts{1}, parts{2}, parts{1}, parts{2}, parts{1}, parts{2}, parts{1}, parts{2}, parts{1}, parts{2}), nil, []parts{{1}, {2}}},
		{"three among other crashes", everySecond(parts{1}, parts{3}, parts{1}, parts{4}, parts{1}), nil, nil},
		{"two after it was held back, among other crashes", everySecond(parts{1}, parts{3}, parts{1}, parts{4}, parts{1}, parts{1}), nil, []parts{{1}}},
		{"five among other crashes", everySecond(parts{1}, parts{3}, parts{1}, parts{4}, parts{1}, parts{1}, parts{5}, parts{1}), nil, []parts{{1}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(blamedParts(c.crashes, c.served), c.want)
			slices.Reverse(c.crashes)
			is.Equal(blamedParts(c.crashes, c.served), c.want) // in any order
		})
	}
}

// TestLimitsOfPartsStayWithinUsersBounds guards against a part that is blamed only after more crashes
// than users allow. Requests with a held part crash one replica after the other, so what is blamed after
// the fifth crash costs one late request each.
func TestLimitsOfPartsStayWithinUsersBounds(t *testing.T) {
	const (
		usersCrashes = 5 // after which no request with the part may be sent
		usersLate    = 3 // requests that may be sent later nevertheless
	)
	is := is.New(t)
	is.True(minPartOccasions <= certainPartOccasions)
	is.True(certainPartOccasions <= usersCrashes)
	is.True(heldServedCrashes <= usersCrashes)
	is.True(heldServedCrashes+minPartTurns <= usersCrashes+usersLate)
}

// TestOneRequestIsBlamedBeforeItsParts guards against a part that is refused because one request with
// it, which its caller repeats, crashes replicas.
func TestOneRequestIsBlamedBeforeItsParts(t *testing.T) {
	is := is.New(t)
	reports := partReports(everySecond(slices.Repeat([][]PartID{{8}}, 5)...)...)
	for i := range reports {
		reports[i].Requests[0].Fingerprint = 1
	}
	known := History{Served: func(Trait) clock.Instant { return clock.Instant{} }}
	for _, n := range []int{3, 4, 5} {
		attributions := Blame(reports[:n], known, start.Add(time.Hour))
		is.Equal(len(attributions), 1)
		is.Equal(attributions[0].Cause, Cause{Fingerprint(1).Trait()})
	}
}

// TestAPartOfOneModel guards against a part that is refused at all models because it crashes the
// replicas of one. Other models serve it.
func TestAPartOfOneModel(t *testing.T) {
	is := is.New(t)
	reports := partReports(everySecond(slices.Repeat([][]PartID{{1}}, 4)...)...)
	for i := range reports {
		reports[i].Requests[0].Model = "m"
	}
	general, ofModel := partTrait("s", "", 1), partTrait("s", "m", 1)
	known := History{Served: func(t Trait) clock.Instant {
		if t == general {
			return start.Add(time.Minute)
		}
		return clock.Instant{}
	}}
	attributions := Blame(reports, known, start.Add(time.Hour))
	is.Equal(len(attributions), 1)
	is.Equal(attributions[0].Cause, Cause{ofModel})
	is.True(attributions[0].Cause.Covers(reports[0].Requests[0].Traits("s")))
	is.True(!attributions[0].Cause.Covers(Request{Fingerprint: 9, Model: "other", Parts: []PartID{1}}.Traits("s")))
	is.True(!attributions[0].Cause.Covers(Request{Fingerprint: 9, Model: "m", Parts: []PartID{1}}.Traits("other")))
}

// TestHeld checks from when on requests with a part are sent one after the other.
func TestHeld(t *testing.T) {
	before, after := start.Add(-time.Second), start.Add(time.Minute)
	cases := []struct {
		name    string
		crashes int
		served  clock.Instant
		want    int
	}{
		{"one crash", 1, clock.Instant{}, 0},
		{"two crashes", 2, clock.Instant{}, 1},
		{"served before: four crashes", 4, before, 0},
		{"served before: five crashes", 5, before, 1},
		{"served since", 5, after, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			reports := partReports(everySecond(slices.Repeat([][]PartID{{1}}, c.crashes)...)...)
			known := History{Served: func(Trait) clock.Instant { return c.served }}
			is.Equal(len(Held(reports, known, start.Add(time.Hour))), c.want)
		})
	}
}
