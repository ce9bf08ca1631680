package gossip

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/crash/crashtest"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
)

// TestOlderRecordsAreIgnored checks that the record with the newest counters of its origin is
// kept, from whichever peer and in whichever order records arrive.
func TestOlderRecordsAreIgnored(t *testing.T) {
	residency := func(boot, change uint64) func(*Set) bool {
		return func(s *Set) bool {
			return s.AddResidency("", Residency{Engine: "e", Residency: pool.Residency{Boot: boot, Change: change}})
		}
	}
	listed := func(version era.Revision) func(*Set) bool {
		return func(s *Set) bool { return s.AddListed("", Listed{Name: "l", Version: version}) }
	}
	holder := func(fence uint64, instance string) func(*Set) bool {
		return func(s *Set) bool {
			return s.AddLeaseHolder("", LeaseHolder{Zone: "z", Instance: instance, Fence: fence})
		}
	}
	registered := func(revision era.Revision) func(*Set) bool {
		return func(s *Set) bool { return s.AddRegistered("", registry.Record{Key: "k", Revision: revision}) }
	}
	crashed := func(seq uint64, requests ...crash.Fingerprint) func(*Set) bool {
		return func(s *Set) bool {
			return s.AddCrash("", crash.Report{Observer: "i", Boot: 1, Seq: seq, Requests: crashtest.Requests(requests...), EventTime: clock.EventTime{At: clocktest.At(time.Hour)}})
		}
	}
	served := func(at time.Duration) func(*Set) bool {
		return func(s *Set) bool {
			return s.AddSuccess("", crash.Success{Trait: 1, EventTime: clock.EventTime{At: clocktest.At(at)}})
		}
	}
	leaving := func(born string) func(*Set) bool {
		return func(s *Set) bool {
			return s.AddLeaving("", Leaving{Incarnation: pool.Incarnation{Name: "r", Born: born}})
		}
	}
	limited := func(perSecond float64, at time.Duration) func(*Set) bool {
		return func(s *Set) bool {
			return s.AddLimit("", pool.Incarnation{Name: "r"}, pool.LimitReport{
				Limit: pool.RateLimit{Named: true, PerSecond: perSecond}, By: "i", EventTime: clock.EventTime{At: clocktest.At(at)},
			})
		}
	}
	for _, tt := range []struct {
		name   string
		first  func(*Set) bool
		second func(*Set) bool
		added  bool
	}{
		{"the same residency", residency(1, 5), residency(1, 5), false},
		{"a later change", residency(1, 5), residency(1, 6), true},
		{"an earlier change", residency(1, 5), residency(1, 4), false},
		{"a later boot", residency(1, 5), residency(2, 1), true},
		{"an earlier boot", residency(2, 1), residency(1, 5), false},
		{"another limit", limited(1, time.Minute), limited(2, time.Minute+time.Millisecond), true},
		{"another limit reported at the same time", limited(1, time.Minute), limited(2, time.Minute), false},
		{"the same limit a moment later", limited(1, time.Minute), limited(1, time.Minute+time.Second), false},
		{"the same limit a while later", limited(1, time.Minute), limited(1, time.Minute+minLimitGap), true},
		{"a later list", listed(3), listed(4), true},
		{"the same list", listed(3), listed(3), false},
		{"a higher fence", holder(1, "a"), holder(2, "b"), true},
		{"a lower fence", holder(2, "b"), holder(1, "a"), false},
		{"the holder released its lease", holder(2, "b"), holder(2, ""), true},
		{"a released lease is not held again", holder(2, ""), holder(2, "b"), false},
		{"a later revision", registered(1), registered(2), true},
		{"the same revision", registered(2), registered(2), false},
		{"another crash", crashed(1, 7), crashed(2, 7), true},
		{"the same crash", crashed(1, 7), crashed(1, 7), false},
		{"more requests of a crash", crashed(1, 7), crashed(1, 7, 8), true},
		{"fewer requests of a crash", crashed(1, 7, 8), crashed(1, 7), false},
		{"the same leaving incarnation", leaving("1"), leaving("1"), false},
		{"another leaving incarnation", leaving("1"), leaving("2"), true},
		{"a later success", served(time.Hour), served(2 * time.Hour), true},
		{"an earlier success", served(2 * time.Hour), served(time.Hour), false},
		{"a success with an imprecise age", served(time.Hour), served(time.Hour + minSuccessGap/2), false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := NewSet()
			is.True(tt.first(s)) // the first record of a name is new
			stamp := s.Stamp()
			is.Equal(tt.second(s), tt.added)
			is.Equal(s.Stamp() > stamp, tt.added)
		})
	}
}

// TestSinceReturnsWhatPeerLacks checks that a peer is not sent records that it confirmed, that
// it sent itself, loads if it does not use them, or records of the platform's store that it
// read there itself.
func TestSinceReturnsWhatPeerLacks(t *testing.T) {
	s := NewSet()
	s.AddRegistered("", registry.Record{Key: "old", Revision: 1})
	confirmed := s.Stamp()
	s.AddRegistered("", registry.Record{Key: "heard", Revision: 7})
	s.AddRegistered("", registry.Record{Key: "new", Revision: 8})
	s.AddRegistered("peer", registry.Record{Key: "told", Revision: 9})
	s.AddLoad("", Load{Engine: "e"})
	for _, tt := range []struct {
		name      string
		stamp     uint64
		withLoads bool
		known     era.Revision
		keys      []string
		loads     int
	}{
		{"all", 0, true, 0, []string{"old", "heard", "new"}, 1},
		{"records that it did not confirm", confirmed, true, 0, []string{"heard", "new"}, 1},
		{"it is in another zone", confirmed, false, 0, []string{"heard", "new"}, 0},
		{"it reads the store itself", confirmed, false, 7, []string{"new"}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			records := s.Since(tt.stamp, "peer", tt.withLoads, tt.known)
			var keys []string
			for _, r := range records.Registered {
				keys = append(keys, r.Key)
			}
			is.Equal(keys, tt.keys)
			is.Equal(len(records.Loads), tt.loads)
		})
	}
}

// TestMissing checks that a record absent from a listing of the whole registry is deleted,
// unless it was written after the listing.
func TestMissing(t *testing.T) {
	is := is.New(t)
	s := NewSet()
	for key, revision := range map[string]era.Revision{"there": 1, "gone": 2, "later": 9} {
		s.AddRegistered("", registry.Record{Key: key, Revision: revision})
	}
	s.AddRegistered("", registry.Record{Key: "known", Revision: 3, Gone: true})
	gone := s.Missing([]registry.Record{{Key: "there", Revision: 1}}, 8)
	is.Equal(gone, []registry.Record{{Key: "gone", Revision: 8, Gone: true}})
}

// TestPruneCrashes checks that crash reports are removed by age, and the oldest if there are
// too many.
func TestPruneCrashes(t *testing.T) {
	is := is.New(t)
	s := NewSet()
	now := clocktest.At(time.Hour)
	for seq := range uint64(5) {
		s.AddCrash("", crash.Report{Observer: "i", Seq: seq, EventTime: clock.EventTime{At: now.Add(-time.Duration(seq) * time.Minute)}})
		s.AddSuccess("", crash.Success{Trait: crash.Trait(seq), EventTime: clock.EventTime{At: now.Add(-time.Duration(seq) * time.Minute)}})
	}
	is.True(!s.PruneCrashes(now, time.Hour, 5, 100))
	is.True(s.PruneCrashes(now, 3*time.Minute, 5, 100))
	is.Equal(len(s.Crashes()), 4)
	is.True(s.LastSuccess(4).IsZero())
	is.True(s.PruneCrashes(now, time.Hour, 2, 100))
	is.Equal(len(s.Crashes()), 2)
	for _, r := range s.Crashes() {
		is.True(now.Since(r.At) <= time.Minute)
	}
}

// TestPruneCrashesByTraits guards against reports that take unlimited memory because callers make up
// parts of prompts.
func TestPruneCrashesByTraits(t *testing.T) {
	is := is.New(t)
	s := NewSet()
	now := clocktest.At(time.Hour)
	for seq := range uint64(5) {
		request := crash.NewRequest(crash.Fingerprint(seq+1), "", []crash.PartID{1, 2, 3})
		s.AddCrash("", crash.Report{Observer: "i", Seq: seq, Requests: []crash.Request{request}, EventTime: clock.EventTime{At: now.Add(-time.Duration(seq) * time.Minute)}})
	}
	is.True(!s.PruneCrashes(now, time.Hour, 5, 15)) // three traits each: the request, and two parts
	is.True(s.PruneCrashes(now, time.Hour, 5, 8))
	is.Equal(len(s.Crashes()), 2)
	for _, r := range s.Crashes() {
		is.True(now.Since(r.At) <= time.Minute)
	}
}
