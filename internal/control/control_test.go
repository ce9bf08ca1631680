package control

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// TestExamplesAreValid checks that every example configuration passes validation.
func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	names, err := filepath.Glob("../../examples/*.yaml")
	is.NoErr(err)
	is.True(len(names) >= 2)
	for _, name := range names {
		data, err := os.ReadFile(name)
		is.NoErr(err)
		if _, faults := Validate(data); len(faults) > 0 {
			t.Errorf("%s: %v", name, faults)
		}
	}
}
