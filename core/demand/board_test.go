package demand

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock/clocktest"
)

// TestSumIsIndependentOfReportOrder: the same reports give the same sum to
// the last digit, however often and in whatever order they came. They once were
// added in the order of a map, so that two runs of one machine over the same
// events logged different figures.
func TestSumIsIndependentOfReportOrder(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	sum := func(first int) Item {
		b := NewTotals()
		for i := range 16 {
			n := (first + i) % 16
			b.Report(now, fmt.Sprintf("i%02d", n), []Item{{Name: "m", Rate: 0.1 * float64(n+1), Concurrent: 1 / float64(n+1)}})
		}
		return b.Sum(now)[0]
	}
	want := sum(0)
	for i := range 200 {
		is.Equal(sum(i%16), want)
	}
}
