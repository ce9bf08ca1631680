package watch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWatchReason checks that the reason for a watch is the first one that applies.
func TestWatchReason(t *testing.T) {
	const maxAge = 2 * time.Second
	current := view{storeAge: maxAge, maxStoreAge: maxAge, configLag: MaxConfigLag}
	for _, tt := range []struct {
		name string
		view view
		want reason
	}{
		{"peers provide all updates", current, notNeeded},
		{"alone", view{isolated: true, engines: 1}, isolated},
		{"one of the watchers", view{onRoster: true, placer: true}, onRoster},
		{"an owner", view{engines: 1, placer: true}, ownsEngines},
		{"the placer", view{placer: true, storeAge: time.Hour}, isPlacer},
		{"updates from peers are too old", view{storeAge: maxAge + 1, maxStoreAge: maxAge, configLag: time.Hour}, storeTooOld},
		{"peers have a newer configuration", view{configLag: MaxConfigLag + 1}, peersAhead},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.view.reason(), tt.want)
		})
	}
}
