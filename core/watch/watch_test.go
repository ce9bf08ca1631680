package watch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWatchReason: of what makes an instance watch, the first that holds is named.
func TestWatchReason(t *testing.T) {
	const silence = 2 * time.Second
	told := view{newsAge: silence, maxNewsAge: silence, behind: MaxConfigLag}
	for _, tt := range []struct {
		name string
		view view
		want reason
	}{
		{"peers tell it all", told, notNeeded},
		{"alone", view{alone: true, engines: 1}, isolated},
		{"on the roster", view{onRoster: true, placer: true}, onRoster},
		{"an owner", view{engines: 1, placer: true}, ownsEngines},
		{"the placer", view{placer: true, newsAge: time.Hour}, isPlacer},
		{"its news grew old", view{newsAge: silence + 1, maxNewsAge: silence, behind: time.Hour}, newsTooOld},
		{"peers are ahead", view{behind: MaxConfigLag + 1}, peersAhead},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.view.reason(), tt.want)
		})
	}
}
