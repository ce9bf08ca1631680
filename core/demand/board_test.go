package demand

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock/clocktest"
)

// TestVersionMisses checks that the misses of streams which go on at one version are reported apart
// from those of the model, and are forgotten.
func TestVersionMisses(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	tracker, totals := NewTracker(), NewTotals()
	tracker.RecordCall(now, "m", time.Second)
	tracker.RecordVersionMiss(now, "m", "v1")
	tracker.RecordVersionMiss(now, "m", "v2")
	totals.Report(now, "i", tracker.Items(now))
	sum := totals.Sum(now)
	is.Equal(len(sum), 3)
	is.Equal(sum[0].Software, "")
	is.Equal(sum[0].Absent, 0.)
	is.Equal(sum[1].Software, "v1")
	is.Equal(sum[1].Absent, 0.5)
	is.Equal(sum[2].Software, "v2")
	is.Equal(len(tracker.Items(now.Add(10*time.Second))), 1)
}

// TestSumIsIndependentOfReportOrder checks that the same reports give exactly the same sum,
// regardless of how often and in which order they arrive. Reports were once added in map order,
// so that two runs of the state machine over the same events logged different figures.
func TestSumIsIndependentOfReportOrder(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	sum := func(first int) Item {
		totals := NewTotals()
		for i := range 16 {
			n := (first + i) % 16
			totals.Report(now, fmt.Sprintf("i%02d", n), []Item{{Name: "m", Rate: 0.1 * float64(n+1), Concurrent: 1 / float64(n+1)}})
		}
		return totals.Sum(now)[0]
	}
	want := sum(0)
	for i := range 200 {
		is.Equal(sum(i%16), want)
	}
}
