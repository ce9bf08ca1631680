package retrybudget_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/retrybudget"
	"github.com/birchdrift/birchdrift/core/retrybudget/budgettest"
)

// Guards against parts of the retry budget that are each small enough and together too large:
// the sum over a fleet, with what its instances had saved, stays below the limit by the reserve.
func TestPartsStayWithinLimit(t *testing.T) {
	for _, instances := range []int{1, 8, 46, 370} {
		for _, slack := range []float64{50, 54, 56, 132, 780} {
			t.Run(fmt.Sprintf("%d instances, slack %g", instances, slack), func(t *testing.T) {
				is := is.New(t)
				limit := retrybudget.Limit{Ratio: 0.2, Slack: slack, Window: 10 * time.Second}
				perCall, fixed := budgettest.Sum(limit, instances)
				is.True(perCall <= limit.Ratio)
				is.True(fixed <= (1-budgettest.ReserveShare)*limit.Slack)
			})
		}
	}
}
